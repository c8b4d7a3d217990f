//! Targeted fault tests of slot ownership, for faults that the fuzz test did not detect.

mod fleet;

use std::time::Duration;

use fleet::simulation::FleetSimulation;

const SLOTS: u16 = 8;

/// Creates two daemons, the first of which has recorded a paid action in each of its
/// slots.
fn fleet_with_actions() -> FleetSimulation {
    let mut fleet = FleetSimulation::new(2, SLOTS, |options| options);
    (0..2).for_each(|daemon| fleet.start(daemon));
    fleet.run_without_faults(Duration::from_secs(20));
    (0..SLOTS).for_each(|slot| fleet.request_action(0, slot, 0, 1));
    advance_rounds(&mut fleet, 10);
    fleet
}

fn advance_rounds(fleet: &mut FleetSimulation, rounds: u32) {
    for _ in 0..rounds {
        fleet.advance(50);
        fleet.deliver_unpaused(usize::MAX);
        (0..2).for_each(|daemon| fleet.deliver_changes(daemon, usize::MAX));
        fleet.check_invariants();
    }
}

/// Guards against a takeover that relies on a stale journal read and so loses recorded
/// actions. The owner drains while all reads are 4 revisions behind.
#[test]
fn takeover_does_not_rely_on_stale_journal_read() {
    let mut fleet = fleet_with_actions();
    fleet.drain(0);
    fleet.set_read_lag(4);
    advance_rounds(&mut fleet, 100);
    fleet.run_without_faults(Duration::from_secs(10));
    fleet.check_all_owned();
}

/// Guards against sending a paid action twice. The owner is paused with a journal write
/// in flight and its lease is ended; the new owner is asked to record the same steps.
#[test]
fn action_recorded_by_a_paused_owner_is_not_sent_again() {
    let mut fleet = fleet_with_actions();
    fleet.pause_with_journal_write_in_flight(0, 2);
    advance_rounds(&mut fleet, 200);
    for step in 1..3 {
        (0..SLOTS).for_each(|slot| fleet.request_action(1, slot, 0, step));
    }
    fleet.run_without_faults(Duration::from_secs(40));
    fleet.check_all_owned();
}
