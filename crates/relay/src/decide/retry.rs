//! Retry decisions after failed attempts.

use crate::plan::RouteKind;

/// Why an attempt at a replica failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The replica was not reached; nothing was sent.
    NotReached,
    /// The replica reported that it did not execute the request.
    NotRun,
    /// The request was sent and may have been executed.
    MayHaveRun,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at another replica.
    Elsewhere,
    /// Retry at the same replica, which does not use up another one.
    SameReplica,
    /// Report to the caller that the request was not executed.
    RefuseNotRun,
    /// Report to the caller that the request failed and may have been executed.
    Fail,
}

/// Retry limits of a request and their use so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    /// Execution semantics of the request.
    pub kind: RouteKind,
    /// Maximum number of replicas that may execute the request.
    pub max_replicas: u32,
    /// Number of replicas that may have executed the request, including this one.
    pub replicas_used: u32,
    /// Number of sends so far, including refused ones.
    pub sends: u32,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// Maximum number of sends per request; limits the work that a request can cause.
const MAX_SENDS: u32 = 5;
/// Minimum time until the deadline for a retry, in milliseconds; a later one is
/// unlikely to succeed in time.
const MIN_REMAINING_MS: u64 = 40;

/// Decides whether and where a request is retried after a failed attempt.
#[must_use]
pub fn decide_retry(failure: AttemptFailure, budget: &RetryBudget) -> RetryDecision {
    let may_send = budget.sends < MAX_SENDS && budget.remaining_ms >= MIN_REMAINING_MS;
    let may_have_run = budget.replicas_used > 0;
    match failure {
        AttemptFailure::NotReached | AttemptFailure::NotRun if may_send => RetryDecision::Elsewhere,
        AttemptFailure::NotReached | AttemptFailure::NotRun if !may_have_run => {
            RetryDecision::RefuseNotRun
        }
        AttemptFailure::MayHaveRun if may_send && budget.kind.is_repeatable() => {
            if budget.replicas_used < budget.max_replicas {
                RetryDecision::Elsewhere
            } else {
                RetryDecision::SameReplica
            }
        }
        _ => RetryDecision::Fail,
    }
}
