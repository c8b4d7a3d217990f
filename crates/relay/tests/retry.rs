//! Retry decisions after failed attempts.

use ibisdale_relay::decide::{AttemptFailure, RetryDecision, RetryInput, decide_retry};
use ibisdale_relay::plan::ExecutionSemantics;
use rstest::rstest;

fn input(kind: ExecutionSemantics, max_replicas: u32, replicas_used: u32) -> RetryInput {
    RetryInput {
        kind,
        max_replicas,
        replicas_used,
        may_have_run: replicas_used > 0,
        sends: 1,
        remaining_ms: 1_000,
        crashes: 0,
    }
}

#[rstest]
#[case::once(ExecutionSemantics::Once)]
#[case::stream(ExecutionSemantics::StreamOnce)]
fn non_repeatable_request_that_may_have_run_is_not_retried(#[case] kind: ExecutionSemantics) {
    let decision = decide_retry(AttemptFailure::MayHaveRun, &input(kind, 3, 1));
    assert_eq!(decision, RetryDecision::Fail);
}

#[rstest]
#[case(ExecutionSemantics::Repeatable, 2, RetryDecision::Elsewhere)]
#[case(ExecutionSemantics::Repeatable, 1, RetryDecision::SameReplica)]
#[case(ExecutionSemantics::StreamResumable, 1, RetryDecision::SameReplica)]
fn repeatable_request_is_retried_within_its_replica_limit(
    #[case] kind: ExecutionSemantics,
    #[case] max_replicas: u32,
    #[case] expected: RetryDecision,
) {
    let decision = decide_retry(AttemptFailure::MayHaveRun, &input(kind, max_replicas, 1));
    assert_eq!(decision, expected);
}

#[rstest]
#[case::not_run_yet(0, RetryDecision::RefuseNotRun)]
#[case::may_have_run(1, RetryDecision::Fail)]
fn not_run_is_reported_only_if_no_replica_may_have_run_the_request(
    #[case] replicas_used: u32,
    #[case] expected: RetryDecision,
) {
    let input = RetryInput {
        sends: 5,
        ..input(ExecutionSemantics::Repeatable, 2, replicas_used)
    };
    assert_eq!(decide_retry(AttemptFailure::NotRun, &input), expected);
    assert_eq!(decide_retry(AttemptFailure::NotReached, &input), expected);
}

#[test]
fn request_is_not_retried_shortly_before_its_deadline() {
    let input = RetryInput {
        remaining_ms: 10,
        ..input(ExecutionSemantics::Repeatable, 2, 0)
    };
    let decision = decide_retry(AttemptFailure::NotReached, &input);
    assert_eq!(decision, RetryDecision::RefuseNotRun);
}

/// Guards against a second replica after the only one of a route has refused a resumption.
#[rstest]
#[case::first_replica(0, RetryDecision::Elsewhere)]
#[case::another_replica_runs_it(1, RetryDecision::Fail)]
fn refused_request_goes_elsewhere_only_within_its_replica_limit(
    #[case] replicas_used: u32,
    #[case] expected: RetryDecision,
) {
    let input = input(ExecutionSemantics::StreamResumable, 1, replicas_used);
    assert_eq!(decide_retry(AttemptFailure::NotRun, &input), expected);
    assert_eq!(decide_retry(AttemptFailure::NotReached, &input), expected);
}

/// Guards against requests that fail because a replica has ended as planned.
#[test]
fn request_of_a_replica_that_has_left_goes_elsewhere() {
    let input = RetryInput {
        may_have_run: true,
        ..input(ExecutionSemantics::StreamResumable, 1, 0)
    };
    let decision = decide_retry(AttemptFailure::ReplicaGone, &input);
    assert_eq!(decision, RetryDecision::Elsewhere);
}

/// Guards against retries that end replica after replica under one request (incident BUDGET).
#[rstest]
#[case::first_end(ExecutionSemantics::StreamResumable, 1, RetryDecision::Elsewhere)]
#[case::second_end(ExecutionSemantics::StreamResumable, 2, RetryDecision::Fail)]
#[case::second_end_within_its_route(ExecutionSemantics::Repeatable, 2, RetryDecision::Fail)]
#[case::not_repeatable(ExecutionSemantics::Once, 1, RetryDecision::Fail)]
fn request_under_which_replicas_ended_is_retried_once_at_most(
    #[case] kind: ExecutionSemantics,
    #[case] crashes: u8,
    #[case] expected: RetryDecision,
) {
    let input = RetryInput {
        crashes,
        ..input(kind, 3, 1)
    };
    let decision = decide_retry(AttemptFailure::ReplicaEnded, &input);
    assert_eq!(decision, expected);
}
