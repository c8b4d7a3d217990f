//! Compares the program table with an oracle in random sequences of requests, with
//! crashes and pauses of the owner, unknown outcomes, late finishes, repeated
//! requests and sub-agents.

#[path = "owner_fuzz/calls.rs"]
mod calls;
#[path = "owner_fuzz/checks.rs"]
mod checks;
#[path = "owner_fuzz/ends.rs"]
mod ends;
#[path = "owner_fuzz/fakes.rs"]
mod fakes;
#[path = "owner_fuzz/oracle.rs"]
mod oracle;
#[path = "owner_fuzz/owner.rs"]
mod owner;

use std::env;

use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use owner::{EndSource, Fixture};

const CASES: u32 = 2_000;

#[derive(Clone, Copy, Debug)]
enum Reply {
    Answer(u8),
    NotRun,
    Ran,
    Unknown,
}

#[derive(Clone, Debug)]
enum Transition {
    Start,
    StartSubAgent {
        parent: usize,
    },
    Request {
        program: usize,
        step_offset: i8,
        attempt: u8,
        /// Whether the expected digest is correct; `None` sends none.
        digest: Option<bool>,
    },
    RequestToPreviousOwner {
        program: usize,
        step_offset: i8,
        attempt: u8,
    },
    RequestFromOtherWorkspace {
        program: usize,
    },
    AdvanceCall {
        ticket: usize,
    },
    FinishCall {
        ticket: usize,
        reply: Reply,
        is_stored: bool,
    },
    CrashOwner,
    PauseOwner,
    EndProgram {
        program: usize,
    },
    CancelProgram {
        program: usize,
    },
    WithdrawKey {
        program: usize,
    },
    AdvanceTime {
        millis: u64,
    },
    DisconnectWaiter {
        waiter: usize,
    },
    ConfirmCleanup {
        request: usize,
    },
    StoreRecords,
}

struct TransitionGenerator;

impl ReferenceStateMachine for TransitionGenerator {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let index = 0..16_usize;
        let reply = prop_oneof![
            6 => (1..=30_u8).prop_map(Reply::Answer),
            2 => Just(Reply::NotRun),
            1 => Just(Reply::Ran),
            2 => Just(Reply::Unknown),
        ];
        let step_offset =
            prop_oneof![8 => Just(0_i8), 2 => 1..=2_i8, 1 => Just(9_i8), 2 => -2..=-1_i8];
        let digest = prop_oneof![3 => Just(None), 5 => Just(Some(true)), 1 => Just(Some(false))];
        prop_oneof![
            4 => Just(Transition::Start),
            3 => index.clone().prop_map(|parent| Transition::StartSubAgent { parent }),
            28 => (index.clone(), step_offset, 0..5_u8, digest).prop_map(
                |(program, step_offset, attempt, digest)| {
                    Transition::Request { program, step_offset, attempt, digest }
                }
            ),
            4 => (index.clone(), -1..=1_i8, 0..5_u8).prop_map(|(program, step_offset, attempt)| {
                Transition::RequestToPreviousOwner { program, step_offset, attempt }
            }),
            1 => index.clone().prop_map(|program| {
                Transition::RequestFromOtherWorkspace { program }
            }),
            24 => index.clone().prop_map(|ticket| Transition::AdvanceCall { ticket }),
            20 => (index.clone(), reply, prop::bool::weighted(0.8)).prop_map(
                |(ticket, reply, is_stored)| Transition::FinishCall { ticket, reply, is_stored }
            ),
            3 => Just(Transition::CrashOwner),
            3 => Just(Transition::PauseOwner),
            2 => index.clone().prop_map(|program| Transition::EndProgram { program }),
            2 => index.clone().prop_map(|program| Transition::CancelProgram { program }),
            1 => index.clone().prop_map(|program| Transition::WithdrawKey { program }),
            4 => (1..30_000_u64).prop_map(|millis| Transition::AdvanceTime { millis }),
            1 => index.clone().prop_map(|waiter| Transition::DisconnectWaiter { waiter }),
            4 => index.prop_map(|request| Transition::ConfirmCleanup { request }),
            3 => Just(Transition::StoreRecords),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

struct OwnerTest;

impl StateMachineTest for OwnerTest {
    type SystemUnderTest = Fixture;
    type Reference = TransitionGenerator;

    fn init_test((): &()) -> Fixture {
        Fixture::new()
    }

    fn apply(mut fixture: Fixture, (): &(), transition: Transition) -> Fixture {
        match transition {
            Transition::Start => fixture.start(None),
            Transition::StartSubAgent { parent } => fixture.start(Some(parent)),
            Transition::Request {
                program,
                step_offset,
                attempt,
                digest,
            } => {
                fixture.request(program, step_offset, attempt, digest);
            }
            Transition::RequestToPreviousOwner {
                program,
                step_offset,
                attempt,
            } => {
                fixture.request_previous_owner(program, step_offset, attempt);
            }
            Transition::RequestFromOtherWorkspace { program } => {
                fixture.request_from_other_workspace(program);
            }
            Transition::AdvanceCall { ticket } => fixture.advance_call(ticket),
            Transition::FinishCall {
                ticket,
                reply,
                is_stored,
            } => {
                fixture.finish(ticket, reply, is_stored);
            }
            Transition::CrashOwner => fixture.take_over(false),
            Transition::PauseOwner => fixture.take_over(true),
            Transition::EndProgram { program } => fixture.end(program, EndSource::Caller),
            Transition::CancelProgram { program } => fixture.end(program, EndSource::Operator),
            Transition::WithdrawKey { program } => fixture.end(program, EndSource::KeyWithdrawal),
            Transition::AdvanceTime { millis } => fixture.advance_time(millis),
            Transition::DisconnectWaiter { waiter } => fixture.disconnect_waiter(waiter),
            Transition::ConfirmCleanup { request } => fixture.confirm_cleanup(request),
            Transition::StoreRecords => fixture.store_all_records(),
        }
        fixture
    }

    fn check_invariants(fixture: &Fixture, (): &()) {
        fixture.check();
    }

    fn teardown(fixture: Fixture, (): ()) {
        fixture.end_all();
    }
}

fn config() -> Config {
    let mut config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    if env::var_os("PROPTEST_CASES").is_none() {
        config.cases = CASES;
    }
    config
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn an_owner_preserves_order_budgets_history_and_run_states(sequential 1..60 => OwnerTest);
}
