//! Retry decisions after failed attempts.

use crate::plan::ExecutionSemantics;

/// What is known about the execution of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The replica was not reached; nothing was sent.
    NotReached,
    /// The replica reported that it did not execute the request.
    NotRun,
    /// The request was sent and may have been executed.
    MayHaveRun,
    /// The replica ended while it had the request, which may be the cause.
    ReplicaEnded,
    /// The request was sent to a replica that has ended for another reason, for example as
    /// planned.
    ReplicaGone,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at another replica.
    Elsewhere,
    /// Retry at the same replica, since the limit on replicas is reached.
    SameReplica,
    /// Report to the caller that the request was not executed.
    RefuseNotRun,
    /// Report to the caller that the request failed and may have been executed.
    Fail,
}

/// Inputs to a retry decision: limits and attempts so far of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryInput {
    /// Execution semantics of the request.
    pub kind: ExecutionSemantics,
    /// Maximum number of replicas that may execute the request.
    pub max_replicas: u32,
    /// Number of replicas that may have executed the request and have not ended.
    pub replicas_used: u32,
    /// Whether any replica may have executed the request.
    pub may_have_run: bool,
    /// Number of attempts so far that reached a replica.
    pub sends: u32,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Number of replicas that have ended under the request, one after the other.
    pub crashes: u8,
}

/// Maximum number of attempts per request that reach a replica; limits the work that a request can
/// cause. Those that reach none end when no replica is left.
const MAX_SENDS: u32 = 5;
/// Minimum time until the deadline for a retry, in milliseconds; a later one is
/// unlikely to succeed in time.
const MIN_REMAINING_MS: u64 = 40;
/// Number of replicas that may end under a request before only its caller sends it again; most of
/// what the first end cuts is not its cause.
const CRASHES_BEFORE_RETRY_MAX: u8 = 1;

/// Returns whether a response with this status promises its caller that the request has not run
/// and never will; a replica that means this says so in a header of its own.
///
/// 402 is such a promise for requests with a token budget only, `has_budget`.
#[must_use]
pub fn promises_not_run(status: u16, has_budget: bool) -> bool {
    matches!(status, 408 | 421 | 429 | 503) || (status == 402 && has_budget)
}

/// Decides whether and where a request is retried after a failed attempt.
#[must_use]
pub fn decide_retry(failure: AttemptFailure, input: &RetryInput) -> RetryDecision {
    let may_send = input.sends < MAX_SENDS && input.remaining_ms >= MIN_REMAINING_MS;
    let may_use_another = input.replicas_used < input.max_replicas.max(1);
    match failure {
        AttemptFailure::NotReached | AttemptFailure::NotRun if may_send && may_use_another => {
            RetryDecision::Elsewhere
        }
        AttemptFailure::NotReached | AttemptFailure::NotRun if !input.may_have_run => {
            RetryDecision::RefuseNotRun
        }
        AttemptFailure::MayHaveRun if may_send && input.kind.can_resend() => {
            if may_use_another {
                RetryDecision::Elsewhere
            } else {
                RetryDecision::SameReplica
            }
        }
        AttemptFailure::ReplicaGone if may_send && input.kind.can_resend() => {
            RetryDecision::Elsewhere
        }
        AttemptFailure::ReplicaEnded
            if may_send && input.kind.can_resend() && input.crashes <= CRASHES_BEFORE_RETRY_MAX =>
        {
            RetryDecision::Elsewhere
        }
        _ => RetryDecision::Fail,
    }
}
