//! Retry decisions after failed attempts.

use ibisdale_relay::decide::{AttemptFailure, RetryBudget, RetryDecision, decide_retry};
use ibisdale_relay::plan::RouteKind;
use rstest::rstest;

fn budget(kind: RouteKind, max_replicas: u32, replicas_used: u32) -> RetryBudget {
    RetryBudget {
        kind,
        max_replicas,
        replicas_used,
        sends: 1,
        remaining_ms: 1_000,
    }
}

#[rstest]
#[case::once(RouteKind::Once)]
#[case::stream(RouteKind::StreamOnce)]
fn non_repeatable_request_that_may_have_run_is_not_retried(#[case] kind: RouteKind) {
    let decision = decide_retry(AttemptFailure::MayHaveRun, &budget(kind, 3, 1));
    assert_eq!(decision, RetryDecision::Fail);
}

#[rstest]
#[case(RouteKind::Repeatable, 2, RetryDecision::Elsewhere)]
#[case(RouteKind::Repeatable, 1, RetryDecision::SameReplica)]
#[case(RouteKind::StreamResumable, 1, RetryDecision::SameReplica)]
fn repeatable_request_is_retried_within_its_replica_limit(
    #[case] kind: RouteKind,
    #[case] max_replicas: u32,
    #[case] expected: RetryDecision,
) {
    let decision = decide_retry(AttemptFailure::MayHaveRun, &budget(kind, max_replicas, 1));
    assert_eq!(decision, expected);
}

#[rstest]
#[case::not_run_yet(0, RetryDecision::RefuseNotRun)]
#[case::run_before(1, RetryDecision::Fail)]
fn not_run_is_reported_only_if_no_replica_may_have_run_the_request(
    #[case] replicas_used: u32,
    #[case] expected: RetryDecision,
) {
    let budget = RetryBudget {
        sends: 5,
        ..budget(RouteKind::Repeatable, 2, replicas_used)
    };
    assert_eq!(decide_retry(AttemptFailure::NotRun, &budget), expected);
    assert_eq!(decide_retry(AttemptFailure::NotReached, &budget), expected);
}

#[test]
fn request_is_not_retried_shortly_before_its_deadline() {
    let budget = RetryBudget {
        remaining_ms: 10,
        ..budget(RouteKind::Repeatable, 2, 0)
    };
    let decision = decide_retry(AttemptFailure::NotReached, &budget);
    assert_eq!(decision, RetryDecision::RefuseNotRun);
}
