//! Stateful fuzz of the program table against an oracle, with death and pause
//! of the owner, unknown outcomes, late finishes, repeats and sub-agents.

#[path = "owner_fuzz/calls.rs"]
mod calls;
#[path = "owner_fuzz/checks.rs"]
mod checks;
#[path = "owner_fuzz/ends.rs"]
mod ends;
#[path = "owner_fuzz/oracle.rs"]
mod oracle;
#[path = "owner_fuzz/owner.rs"]
mod owner;
#[path = "owner_fuzz/world.rs"]
mod world;

use std::env;

use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use owner::{Fixture, Source};

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
    StartChild {
        parent: usize,
    },
    Request {
        program: usize,
        ahead: i8,
        attempt: u8,
        digest: Option<bool>,
    },
    StaleRequest {
        program: usize,
        ahead: i8,
        attempt: u8,
    },
    ForeignRequest {
        program: usize,
    },
    Advance {
        ticket: usize,
    },
    Finish {
        ticket: usize,
        reply: Reply,
        is_stored: bool,
    },
    Kill,
    Pause,
    End {
        program: usize,
    },
    Cancel {
        program: usize,
    },
    Withdraw {
        program: usize,
    },
    Wait {
        millis: u64,
    },
    LeaveWait {
        waiter: usize,
    },
    Confirm {
        order: usize,
    },
    Flush,
}

struct Requests;

impl ReferenceStateMachine for Requests {
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
        let ahead = prop_oneof![8 => Just(0_i8), 2 => 1..=2_i8, 1 => Just(9_i8), 2 => -2..=-1_i8];
        let digest = prop_oneof![3 => Just(None), 5 => Just(Some(true)), 1 => Just(Some(false))];
        prop_oneof![
            4 => Just(Transition::Start),
            3 => index.clone().prop_map(|parent| Transition::StartChild { parent }),
            28 => (index.clone(), ahead, 0..5_u8, digest).prop_map(
                |(program, ahead, attempt, digest)| {
                    Transition::Request { program, ahead, attempt, digest }
                }
            ),
            4 => (index.clone(), -1..=1_i8, 0..5_u8).prop_map(|(program, ahead, attempt)| {
                Transition::StaleRequest { program, ahead, attempt }
            }),
            1 => index.clone().prop_map(|program| Transition::ForeignRequest { program }),
            24 => index.clone().prop_map(|ticket| Transition::Advance { ticket }),
            20 => (index.clone(), reply, prop::bool::weighted(0.8)).prop_map(
                |(ticket, reply, is_stored)| Transition::Finish { ticket, reply, is_stored }
            ),
            3 => Just(Transition::Kill),
            3 => Just(Transition::Pause),
            2 => index.clone().prop_map(|program| Transition::End { program }),
            2 => index.clone().prop_map(|program| Transition::Cancel { program }),
            1 => index.clone().prop_map(|program| Transition::Withdraw { program }),
            4 => (1..30_000_u64).prop_map(|millis| Transition::Wait { millis }),
            1 => index.clone().prop_map(|waiter| Transition::LeaveWait { waiter }),
            4 => index.prop_map(|order| Transition::Confirm { order }),
            3 => Just(Transition::Flush),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

struct OwnerTest;

impl StateMachineTest for OwnerTest {
    type SystemUnderTest = Fixture;
    type Reference = Requests;

    fn init_test((): &()) -> Fixture {
        Fixture::new()
    }

    fn apply(mut fixture: Fixture, (): &(), transition: Transition) -> Fixture {
        match transition {
            Transition::Start => fixture.start(None),
            Transition::StartChild { parent } => fixture.start(Some(parent)),
            Transition::Request {
                program,
                ahead,
                attempt,
                digest,
            } => {
                fixture.request(program, ahead, attempt, digest);
            }
            Transition::StaleRequest {
                program,
                ahead,
                attempt,
            } => {
                fixture.request_stale(program, ahead, attempt);
            }
            Transition::ForeignRequest { program } => fixture.request_foreign(program),
            Transition::Advance { ticket } => fixture.advance(ticket),
            Transition::Finish {
                ticket,
                reply,
                is_stored,
            } => {
                fixture.finish(ticket, reply, is_stored);
            }
            Transition::Kill => fixture.take_over(false),
            Transition::Pause => fixture.take_over(true),
            Transition::End { program } => fixture.end(program, Source::Caller),
            Transition::Cancel { program } => fixture.end(program, Source::Operator),
            Transition::Withdraw { program } => fixture.end(program, Source::KeyWithdrawal),
            Transition::Wait { millis } => fixture.wait(millis),
            Transition::LeaveWait { waiter } => fixture.leave_wait(waiter),
            Transition::Confirm { order } => fixture.confirm(order),
            Transition::Flush => fixture.flush_all(),
        }
        fixture
    }

    fn check_invariants(fixture: &Fixture, (): &()) {
        fixture.check();
    }

    fn teardown(fixture: Fixture, (): ()) {
        fixture.close();
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
    fn an_owner_keeps_order_budget_history_and_promises(sequential 1..60 => OwnerTest);
}
