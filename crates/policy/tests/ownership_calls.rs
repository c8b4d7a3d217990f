//! Counted calls of ownership to the key-value service.

mod fleet;

use std::time::Duration;

use fleet::world::World;
use ibisdale_policy::ownership::{
    OwnershipOptions, PlanDaemon, PlanOwner, SessionPhase, plan_moves,
};
use rstest::rstest;

const SETTLE_TIME: Duration = Duration::from_mins(1);

fn default(options: OwnershipOptions) -> OwnershipOptions {
    options
}

fn settled_fleet(daemons: usize, slots: u16) -> World {
    let mut world = World::new(daemons, slots, default);
    (0..daemons).for_each(|daemon| world.start(daemon));
    world.settle(SETTLE_TIME);
    world.check_all_owned();
    world
}

/// Registration: a lease, and one write; then the writes that take the slots,
/// each of one previous owner.
#[rstest]
#[case(1, 64)]
#[case(7, 1_024)]
#[case(40, 1_024)]
fn start_of_a_fleet_costs_a_bounded_number_of_calls(#[case] daemons: usize, #[case] slots: u16) {
    let world = settled_fleet(daemons, slots);
    let daemons = daemons as u64;
    let batches = u64::from(slots).div_ceil(32) + daemons;
    let expected = daemons + 2 * batches;
    let writes = world.store.write_count;
    assert!(writes <= expected, "{writes} writes, bound {expected}");
    let reads = world.store.read_count;
    assert!(reads <= 2 * daemons + batches, "{reads} reads");
}

#[rstest]
#[case(7, 1_024)]
#[case(40, 1_024)]
fn fleet_without_changes_only_renews_leases(#[case] daemons: usize, #[case] slots: u16) {
    let mut world = settled_fleet(daemons, slots);
    let (writes, reads) = (world.store.write_count, world.store.read_count);
    let renewals = world.store.renew_count;
    world.settle(Duration::from_mins(2));
    assert_eq!(world.store.write_count, writes);
    assert_eq!(world.store.read_count, reads);
    let renewed = world.store.renew_count - renewals;
    // Three renewals in a lease time of 12 s, each up to a poll late.
    let expected = daemons as u64 * 30;
    assert!(renewed <= expected, "{renewed} renewals, bound {expected}");
}

/// One read of the journal for each daemon that takes slots, one write for each
/// batch, and one repeat at most where the seal came from another.
#[rstest]
#[case(7, 1_024, 1)]
#[case(7, 1_024, 2)]
#[case(40, 1_024, 1)]
#[case(40, 1_024, 10)]
fn death_of_daemons_costs_calls_by_slots_and_takers(
    #[case] daemons: usize,
    #[case] slots: u16,
    #[case] dead: usize,
) {
    let mut world = settled_fleet(daemons, slots);
    let (writes, reads) = (world.store.write_count, world.store.read_count);
    (0..dead).for_each(|daemon| world.kill(daemon));
    world.settle(SETTLE_TIME);
    world.check_all_owned();
    let lost = usize::from(slots).div_ceil(daemons) * dead;
    // A taker's share of each dead daemon is at least one batch.
    let takes = lost.min((daemons - dead) * dead) + lost.div_ceil(32);
    let bound = 3 * takes as u64;
    let writes = world.store.write_count - writes;
    let reads = world.store.read_count - reads;
    println!("{daemons} daemons, {dead} dead: {writes} writes, {reads} reads, {takes} takes");
    assert!(writes <= bound, "{writes} writes, bound {bound}");
    assert!(reads <= bound, "{reads} reads, bound {bound}");
}

#[test]
fn restart_of_a_whole_fleet_ends_with_every_slot_owned() {
    let mut world = settled_fleet(7, 1_024);
    let writes = world.store.write_count;
    (0..7).for_each(|daemon| world.kill(daemon));
    (0..7).for_each(|daemon| world.start(daemon));
    world.settle(SETTLE_TIME);
    world.check_all_owned();
    let writes = world.store.write_count - writes;
    println!("restart of 7 daemons: {writes} writes");
    assert!(writes <= 7 + 3 * (7 * 7 + 32), "{writes} writes");
}

#[test]
fn draining_daemon_hands_over_without_a_seal_and_ends() {
    let mut world = settled_fleet(4, 256);
    let writes = world.store.write_count;
    world.drain(0);
    world.settle(Duration::from_secs(5));
    assert_eq!(world.phase(0), Some(SessionPhase::Ended));
    world.check_all_owned();
    let writes = world.store.write_count - writes;
    println!("drain of 64 slots: {writes} writes");
    // The announcement, two batches given up, and each taken by three.
    assert!(writes <= 1 + 2 + 2 * 2 * 3, "{writes} writes");
}

#[test]
fn journal_writes_of_a_busy_fleet_keep_to_the_pace() {
    const DAEMONS: usize = 4;
    const ROUNDS: u32 = 400;
    let mut world = settled_fleet(DAEMONS, 64);
    let writes = world.store.write_count;
    for round in 1..=ROUNDS {
        for daemon in 0..DAEMONS {
            (0..64).for_each(|slot| world.ask(daemon, slot, 0, round));
        }
        world.advance(5);
        world.deliver_running(usize::MAX);
        world.check();
        for daemon in 0..DAEMONS {
            (0..64).for_each(|slot| world.finish(daemon, slot, 0, round.saturating_sub(8)));
        }
    }
    let writes = world.store.write_count - writes;
    println!("{writes} journal writes in 2 s");
    // One write in 5 ms for the fleet, and one for each daemon at the start.
    assert!((100..=404).contains(&writes), "{writes} writes");
}

#[test]
fn late_daemon_gets_its_share() {
    let mut world = World::new(4, 256, default);
    (0..3).for_each(|daemon| world.start(daemon));
    world.settle(SETTLE_TIME);
    world.start(3);
    world.settle(SETTLE_TIME);
    world.check_all_owned();
    let counts = world.own_counts();
    // A sixteenth of its share stays with each owner.
    assert!(
        counts.iter().all(|count| (52..=68).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn plan_gives_each_daemon_its_share() {
    let daemons: Vec<PlanDaemon> = (0..360)
        .map(|daemon| PlanDaemon {
            name: fleet::world::name_of(daemon),
            is_draining: daemon == 0,
        })
        .collect();
    let moves = plan_moves(&daemons, &[PlanOwner::Unowned; 1_024]);
    let mut counts = vec![0; daemons.len()];
    for step in &moves {
        counts[step.to] += 1;
    }
    assert_eq!(moves.len(), 1_024);
    assert_eq!(counts[0], 0);
    assert!(counts[1..].iter().all(|count| (2..=3).contains(count)));
}
