//! Bounds on the number of calls that slot ownership makes to the key-value service.

mod fleet;

use std::time::Duration;

use fleet::simulation::FleetSimulation;
use ibisdale_policy::ownership::{
    OwnershipOptions, PlanDaemon, PlanOwner, RegistrationPhase, plan_moves,
};
use rstest::rstest;

const CONVERGENCE_TIME: Duration = Duration::from_mins(1);

fn unchanged_options(options: OwnershipOptions) -> OwnershipOptions {
    options
}

fn converged_fleet(daemons: usize, slots: u16) -> FleetSimulation {
    let mut fleet = FleetSimulation::new(daemons, slots, unchanged_options);
    (0..daemons).for_each(|daemon| fleet.start(daemon));
    fleet.run_without_faults(CONVERGENCE_TIME);
    fleet.check_all_owned();
    fleet
}

/// Registration takes one lease, two reads and one write per daemon. Each daemon's slots
/// are rounded up to whole batches; the bound allows two writes for each batch.
#[rstest]
#[case(1, 64)]
#[case(7, 1_024)]
#[case(40, 1_024)]
fn fleet_start_makes_a_bounded_number_of_calls(#[case] daemons: usize, #[case] slots: u16) {
    let fleet = converged_fleet(daemons, slots);
    let daemons = daemons as u64;
    let batches = u64::from(slots).div_ceil(32) + daemons;
    let bound = daemons + 2 * batches;
    let writes = fleet.store.write_count;
    assert!(writes <= bound, "{writes} writes, bound {bound}");
    let reads = fleet.store.read_count;
    let bound = 2 * daemons + batches;
    assert!(reads <= bound, "{reads} reads, bound {bound}");
}

#[rstest]
#[case(7, 1_024)]
#[case(40, 1_024)]
fn fleet_without_changes_only_renews_leases(#[case] daemons: usize, #[case] slots: u16) {
    let mut fleet = converged_fleet(daemons, slots);
    let (writes, reads) = (fleet.store.write_count, fleet.store.read_count);
    let renewals = fleet.store.renew_count;
    fleet.run_without_faults(Duration::from_mins(2));
    assert_eq!(fleet.store.write_count, writes);
    assert_eq!(fleet.store.read_count, reads);
    let renewed = fleet.store.renew_count - renewals;
    // At most three renewals per time to live of 12 s.
    let bound = daemons as u64 * 30;
    assert!(renewed <= bound, "{renewed} renewals, bound {bound}");
}

/// A batch takes one read of the previous owner's journal and one write, both repeated at
/// most once if another daemon sealed the journal first. The bound allows three of each.
#[rstest]
#[case(7, 1_024, 1)]
#[case(7, 1_024, 2)]
#[case(40, 1_024, 1)]
#[case(40, 1_024, 10)]
fn takeover_calls_are_bounded_by_slots_and_takers(
    #[case] daemons: usize,
    #[case] slots: u16,
    #[case] dead: usize,
) {
    let mut fleet = converged_fleet(daemons, slots);
    let (writes, reads) = (fleet.store.write_count, fleet.store.read_count);
    (0..dead).for_each(|daemon| fleet.kill(daemon));
    fleet.run_without_faults(CONVERGENCE_TIME);
    fleet.check_all_owned();
    let lost = usize::from(slots).div_ceil(daemons) * dead;
    // Each daemon that takes slots of a dead daemon needs at least one write for them.
    let takeover_writes = lost.min((daemons - dead) * dead) + lost.div_ceil(32);
    let bound = 3 * takeover_writes as u64;
    let writes = fleet.store.write_count - writes;
    let reads = fleet.store.read_count - reads;
    println!("{daemons} daemons, {dead} dead: {writes} writes, {reads} reads, bound {bound}");
    assert!(writes <= bound, "{writes} writes, bound {bound}");
    assert!(reads <= bound, "{reads} reads, bound {bound}");
}

#[test]
fn every_slot_is_owned_after_restart_of_the_whole_fleet() {
    let mut fleet = converged_fleet(7, 1_024);
    let writes = fleet.store.write_count;
    (0..7).for_each(|daemon| fleet.kill(daemon));
    (0..7).for_each(|daemon| fleet.start(daemon));
    fleet.run_without_faults(CONVERGENCE_TIME);
    fleet.check_all_owned();
    let writes = fleet.store.write_count - writes;
    println!("restart of 7 daemons: {writes} writes");
    let bound = 7 + 3 * (7 * 7 + 32);
    assert!(writes <= bound, "{writes} writes, bound {bound}");
}

#[test]
fn draining_daemon_hands_over_its_slots_and_ends() {
    let mut fleet = converged_fleet(4, 256);
    let writes = fleet.store.write_count;
    fleet.drain(0);
    fleet.run_without_faults(Duration::from_secs(5));
    assert_eq!(fleet.phase(0), Some(RegistrationPhase::Ended));
    fleet.check_all_owned();
    let writes = fleet.store.write_count - writes;
    println!("drain of 64 slots: {writes} writes");
    // One write marks the daemon as draining and two release its slots. Three daemons
    // take slots of each batch; the bound allows two writes for each of them.
    let bound = 1 + 2 + 2 * 2 * 3;
    assert!(writes <= bound, "{writes} writes, bound {bound}");
}

#[test]
fn journal_writes_of_a_busy_fleet_are_limited_by_the_commit_interval() {
    const DAEMONS: usize = 4;
    const ROUNDS: u32 = 400;
    let mut fleet = converged_fleet(DAEMONS, 64);
    let writes = fleet.store.write_count;
    for round in 1..=ROUNDS {
        for daemon in 0..DAEMONS {
            (0..64).for_each(|slot| fleet.request_action(daemon, slot, 0, round));
        }
        fleet.advance(5);
        fleet.deliver_unpaused(usize::MAX);
        fleet.check_invariants();
        for daemon in 0..DAEMONS {
            (0..64).for_each(|slot| fleet.store_outcome(daemon, slot, 0, round.saturating_sub(8)));
        }
    }
    let writes = fleet.store.write_count - writes;
    println!("{writes} journal writes in 2 s");
    // One write every 5 ms for the whole fleet, and one per daemon at the start.
    let bounds = 100..=404;
    assert!(
        bounds.contains(&writes),
        "{writes} writes, bounds {bounds:?}"
    );
}

#[test]
fn daemon_that_joins_later_gets_its_share() {
    let mut fleet = FleetSimulation::new(4, 256, unchanged_options);
    (0..3).for_each(|daemon| fleet.start(daemon));
    fleet.run_without_faults(CONVERGENCE_TIME);
    fleet.start(3);
    fleet.run_without_faults(CONVERGENCE_TIME);
    fleet.check_all_owned();
    let counts = fleet.own_counts();
    // Each earlier owner may keep 1/16 more than its share of 64.
    assert!(
        counts.iter().all(|count| (52..=68).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn plan_gives_each_daemon_its_share() {
    let daemons: Vec<PlanDaemon> = (0..360)
        .map(|daemon| PlanDaemon {
            name: fleet::simulation::daemon_name(daemon),
            is_draining: daemon == 0,
        })
        .collect();
    let moves = plan_moves(&daemons, &[PlanOwner::Unowned; 1_024]);
    let mut counts = vec![0; daemons.len()];
    for slot_move in &moves {
        counts[slot_move.to] += 1;
    }
    assert_eq!(moves.len(), 1_024);
    assert_eq!(counts[0], 0);
    assert!(counts[1..].iter().all(|count| (2..=3).contains(count)));
}
