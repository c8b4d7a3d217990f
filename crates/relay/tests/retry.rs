//! What follows an attempt without an answer.

use ibisdale_relay::decide::{AttemptEnd, NextStep, RetryRule, next_step};
use ibisdale_relay::plan::RouteKind;
use rstest::rstest;

fn rule(kind: RouteKind, attempts: u32, used: u32) -> RetryRule {
    RetryRule {
        kind,
        attempts,
        used,
        sends: 1,
        left_ms: 1_000,
    }
}

#[rstest]
#[case::once(RouteKind::Once)]
#[case::stream(RouteKind::StreamOnce)]
fn request_that_may_have_run_is_not_sent_again(#[case] kind: RouteKind) {
    let step = next_step(AttemptEnd::MayHaveRun, &rule(kind, 3, 1));
    assert_eq!(step, NextStep::Fail);
}

#[rstest]
#[case(RouteKind::Repeatable, 2, NextStep::Elsewhere)]
#[case(RouteKind::Repeatable, 1, NextStep::SameReplica)]
#[case(RouteKind::StreamResumable, 1, NextStep::SameReplica)]
fn repeatable_request_stays_within_its_replicas(
    #[case] kind: RouteKind,
    #[case] attempts: u32,
    #[case] expected: NextStep,
) {
    let step = next_step(AttemptEnd::MayHaveRun, &rule(kind, attempts, 1));
    assert_eq!(step, expected);
}

#[rstest]
#[case::not_run_yet(0, NextStep::RefuseNotRun)]
#[case::run_before(1, NextStep::Fail)]
fn refusal_says_not_run_only_if_that_is_true(#[case] used: u32, #[case] expected: NextStep) {
    let rule = RetryRule {
        sends: 5,
        ..rule(RouteKind::Repeatable, 2, used)
    };
    assert_eq!(next_step(AttemptEnd::NotRun, &rule), expected);
    assert_eq!(next_step(AttemptEnd::NotReached, &rule), expected);
}

#[test]
fn nothing_is_sent_without_time_left() {
    let rule = RetryRule {
        left_ms: 10,
        ..rule(RouteKind::Repeatable, 2, 0)
    };
    let step = next_step(AttemptEnd::NotReached, &rule);
    assert_eq!(step, NextStep::RefuseNotRun);
}
