//! Stateful fuzz of ownership and the journal against a simple oracle.
//!
//! The oracle checks each write when it reaches the store: one owner an epoch,
//! epochs rise, no slot is taken before its owner's journal is sealed, nothing
//! is recorded after the seal or by another than the owner. At the end every
//! slot must have an owner within a bounded time. `PROPTEST_CASES` sets the
//! number of cases and `FUZZ_SEED` the seed for longer runs.

mod fleet;

use std::time::Duration;

use fleet::world::{CallFate, World};
use ibisdale_policy::ownership::OwnershipOptions;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const DAEMONS: usize = 3;
const SLOTS: u16 = 6;
const CASES: u32 = 1_000;
const STEPS: std::ops::Range<usize> = 40..160;
const SEED: u8 = 7;
/// Two lease times, the spread of takeovers and a batch for each daemon.
const SETTLE_TIME: Duration = Duration::from_secs(40);

#[derive(Clone, Debug)]
enum Transition {
    Advance(u64),
    Deliver(usize, CallFate),
    DeliverAll,
    Report(usize, usize),
    ReportAll,
    Start(usize),
    Kill(usize),
    Pause(usize),
    Resume(usize),
    Lapse(usize),
    Outage(bool),
    Drain(usize),
    MissChanges(usize),
    Stall(usize, u32),
    Lag(u8),
    Ask(usize, u16, u8, u32),
    Finish(usize, u16, u8, u32),
}

fn fate() -> impl Strategy<Value = CallFate> {
    prop_oneof![
        8 => Just(CallFate::Answered),
        2 => Just(CallFate::AnswerLost),
        1 => Just(CallFate::RequestLost),
        2 => Just(CallFate::Late),
        2 => (1_u8..8).prop_map(CallFate::Lagging),
    ]
}

fn transition() -> impl Strategy<Value = Transition> {
    let daemon = 0..DAEMONS;
    let action = (0..DAEMONS, 0..SLOTS, 0_u8..2, 1_u32..3);
    prop_oneof![
        12 => prop_oneof![1_u64..40, 100_u64..900, 3_000_u64..6_000].prop_map(Transition::Advance),
        16 => (0_usize..8, fate()).prop_map(|(pick, fate)| Transition::Deliver(pick, fate)),
        8 => Just(Transition::DeliverAll),
        4 => (daemon.clone(), 1_usize..4).prop_map(|(of, count)| Transition::Report(of, count)),
        6 => Just(Transition::ReportAll),
        3 => daemon.clone().prop_map(Transition::Start),
        1 => daemon.clone().prop_map(Transition::Kill),
        1 => daemon.clone().prop_map(Transition::Pause),
        2 => daemon.clone().prop_map(Transition::Resume),
        1 => daemon.clone().prop_map(Transition::Lapse),
        1 => any::<bool>().prop_map(Transition::Outage),
        2 => daemon.clone().prop_map(Transition::Drain),
        2 => (0_u8..10).prop_map(Transition::Lag),
        1 => daemon.clone().prop_map(Transition::MissChanges),
        1 => (daemon, 1_u32..3).prop_map(|(of, step)| Transition::Stall(of, step)),
        8 => action.clone().prop_map(|(of, slot, program, step)| Transition::Ask(of, slot, program, step)),
        3 => action.prop_map(|(of, slot, program, step)| Transition::Finish(of, slot, program, step)),
    ]
}

/// The reference needs no state: the oracle stands in the store.
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

fn tune(options: OwnershipOptions) -> OwnershipOptions {
    options
        .batch_slots(4)
        .rebalance_delay(Duration::from_secs(1))
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test((): &()) -> World {
        let mut world = World::new(DAEMONS, SLOTS, tune);
        for daemon in 0..DAEMONS {
            world.start(daemon);
        }
        world.settle(Duration::from_secs(3));
        world
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        match transition {
            Transition::Advance(millis) => world.advance(millis),
            Transition::Deliver(pick, fate) => world.deliver(pick, fate),
            Transition::DeliverAll => world.deliver_running(8),
            Transition::Report(daemon, count) => world.report(daemon, count),
            Transition::ReportAll => {
                (0..DAEMONS).for_each(|daemon| world.report(daemon, usize::MAX));
            }
            Transition::Start(daemon) => world.start(daemon),
            Transition::Kill(daemon) => world.kill(daemon),
            Transition::Pause(daemon) => world.set_paused(daemon, true),
            Transition::Resume(daemon) => world.set_paused(daemon, false),
            Transition::Lapse(daemon) => world.lapse(daemon),
            Transition::Outage(is_outage) => world.set_outage(is_outage),
            Transition::Drain(daemon) => world.drain(daemon),
            Transition::MissChanges(daemon) => world.miss_changes(daemon),
            Transition::Lag(revisions) => world.set_read_lag(revisions),
            Transition::Stall(daemon, step) => world.stall(daemon, step),
            Transition::Ask(daemon, slot, program, step) => world.ask(daemon, slot, program, step),
            Transition::Finish(daemon, slot, program, step) => {
                world.finish(daemon, slot, program, step);
            }
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }

    fn teardown(mut world: World, (): ()) {
        world.settle(SETTLE_TIME);
        world.check_all_owned();
    }
}

fn number_from<T: std::str::FromStr>(variable: &str) -> Option<T> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn one_owner_an_epoch_and_paid_actions_at_most_once() {
    let config = Config {
        cases: number_from("PROPTEST_CASES").unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    };
    let seed = number_from("FUZZ_SEED").unwrap_or(SEED);
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
