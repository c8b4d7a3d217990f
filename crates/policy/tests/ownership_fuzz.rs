//! Stateful fuzz test of slot ownership and the journal against a test oracle.
//!
//! The oracle checks each write when it reaches the store: each epoch of a
//! slot has one owner, epochs only increase, no slot is taken before the journal of
//! its lost owner is sealed, and nothing is recorded after the seal or by a daemon
//! that does not own the slot. At the end, every slot must have an owner within a
//! bounded time. For longer runs, `PROPTEST_CASES` sets the number of cases and
//! `FUZZ_SEED` the seed.

mod fleet;

use std::time::Duration;

use fleet::simulation::{CallDelivery, FleetSimulation};
use ibisdale_policy::ownership::OwnershipOptions;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const DAEMONS: usize = 3;
const SLOTS: u16 = 6;
const CASES: u32 = 1_000;
const STEPS: std::ops::Range<usize> = 40..160;
const SEED: u8 = 7;
/// Covers two lease TTLs, the takeover window and one batch per daemon.
const CONVERGENCE_TIME: Duration = Duration::from_secs(40);

#[derive(Clone, Debug)]
enum Transition {
    Advance(u64),
    Deliver(usize, CallDelivery),
    DeliverAll,
    DeliverChanges(usize, usize),
    DeliverAllChanges,
    Start(usize),
    Kill(usize),
    Pause(usize),
    Resume(usize),
    ExpireLease(usize),
    Outage(bool),
    Drain(usize),
    DropWatch(usize),
    PauseWithJournalWriteInFlight(usize, u32),
    ReadLag(u8),
    RequestAction(usize, u16, u8, u32),
    StoreOutcome(usize, u16, u8, u32),
}

fn delivery() -> impl Strategy<Value = CallDelivery> {
    prop_oneof![
        8 => Just(CallDelivery::Delivered),
        2 => Just(CallDelivery::ResponseLost),
        1 => Just(CallDelivery::RequestLost),
        2 => Just(CallDelivery::Delayed),
        2 => (1_u8..8).prop_map(CallDelivery::StaleRead),
    ]
}

fn transition() -> impl Strategy<Value = Transition> {
    let daemon = 0..DAEMONS;
    let action = (0..DAEMONS, 0..SLOTS, 0_u8..2, 1_u32..3);
    prop_oneof![
        12 => prop_oneof![1_u64..40, 100_u64..900, 3_000_u64..6_000].prop_map(Transition::Advance),
        16 => (0_usize..8, delivery())
            .prop_map(|(call_choice, delivery)| Transition::Deliver(call_choice, delivery)),
        8 => Just(Transition::DeliverAll),
        4 => (daemon.clone(), 1_usize..4)
            .prop_map(|(daemon, count)| Transition::DeliverChanges(daemon, count)),
        6 => Just(Transition::DeliverAllChanges),
        3 => daemon.clone().prop_map(Transition::Start),
        1 => daemon.clone().prop_map(Transition::Kill),
        1 => daemon.clone().prop_map(Transition::Pause),
        2 => daemon.clone().prop_map(Transition::Resume),
        1 => daemon.clone().prop_map(Transition::ExpireLease),
        1 => any::<bool>().prop_map(Transition::Outage),
        2 => daemon.clone().prop_map(Transition::Drain),
        2 => (0_u8..10).prop_map(Transition::ReadLag),
        1 => daemon.clone().prop_map(Transition::DropWatch),
        1 => (daemon, 1_u32..3).prop_map(|(daemon, step)| {
            Transition::PauseWithJournalWriteInFlight(daemon, step)
        }),
        8 => action.clone().prop_map(|(daemon, slot, program, step)| {
            Transition::RequestAction(daemon, slot, program, step)
        }),
        3 => action.prop_map(|(daemon, slot, program, step)| {
            Transition::StoreOutcome(daemon, slot, program, step)
        }),
    ]
}

/// Reference without state, since the oracle is part of the model store.
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        transition().boxed()
    }

    fn apply((): (), _: &Transition) {}
}

fn configure(options: OwnershipOptions) -> OwnershipOptions {
    options
        .batch_slots(4)
        .rebalance_delay(Duration::from_secs(1))
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = FleetSimulation;
    type Reference = Reference;

    fn init_test((): &()) -> FleetSimulation {
        let mut fleet = FleetSimulation::new(DAEMONS, SLOTS, configure);
        for daemon in 0..DAEMONS {
            fleet.start(daemon);
        }
        fleet.run_without_faults(Duration::from_secs(3));
        fleet
    }

    fn apply(mut fleet: FleetSimulation, (): &(), transition: Transition) -> FleetSimulation {
        match transition {
            Transition::Advance(millis) => fleet.advance(millis),
            Transition::Deliver(call_choice, delivery) => fleet.deliver(call_choice, delivery),
            Transition::DeliverAll => fleet.deliver_unpaused(8),
            Transition::DeliverChanges(daemon, count) => fleet.deliver_changes(daemon, count),
            Transition::DeliverAllChanges => {
                (0..DAEMONS).for_each(|daemon| fleet.deliver_changes(daemon, usize::MAX));
            }
            Transition::Start(daemon) => fleet.start(daemon),
            Transition::Kill(daemon) => fleet.kill(daemon),
            Transition::Pause(daemon) => fleet.set_paused(daemon, true),
            Transition::Resume(daemon) => fleet.set_paused(daemon, false),
            Transition::ExpireLease(daemon) => fleet.expire_lease(daemon),
            Transition::Outage(is_outage) => fleet.set_outage(is_outage),
            Transition::Drain(daemon) => fleet.drain(daemon),
            Transition::DropWatch(daemon) => fleet.drop_watch(daemon),
            Transition::ReadLag(revisions) => fleet.set_read_lag(revisions),
            Transition::PauseWithJournalWriteInFlight(daemon, step) => {
                fleet.pause_with_journal_write_in_flight(daemon, step);
            }
            Transition::RequestAction(daemon, slot, program, step) => {
                fleet.request_action(daemon, slot, program, step);
            }
            Transition::StoreOutcome(daemon, slot, program, step) => {
                fleet.store_outcome(daemon, slot, program, step);
            }
        }
        fleet
    }

    fn check_invariants(fleet: &FleetSimulation, (): &()) {
        fleet.check_invariants();
    }

    fn teardown(mut fleet: FleetSimulation, (): ()) {
        fleet.run_without_faults(CONVERGENCE_TIME);
        fleet.check_all_owned();
    }
}

fn parse_env<T: std::str::FromStr>(variable: &str) -> Option<T> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn epochs_have_one_owner_and_paid_actions_are_sent_at_most_once() {
    let config = Config {
        cases: parse_env("PROPTEST_CASES").unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    };
    let seed = parse_env("FUZZ_SEED").unwrap_or(SEED);
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config.clone(), random);
    let sequences = Reference::sequential_strategy(STEPS);
    let result = runner.run(&sequences, |(state, transitions, seen)| {
        FleetTest::test_sequential(config.clone(), state, transitions, seen);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
