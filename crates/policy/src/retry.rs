//! When a failed attempt is tried again.

use std::time::Duration;

use ibisdale_core::{RunState, TimeStamp};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Doublings after which the backoff stops growing.
const BACKOFF_DOUBLINGS_MAX: u32 = 16;

/// Tells what kind of failure ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The connection could not be opened.
    Connect,
    /// The upstream said that it is busy.
    Busy,
    /// The upstream failed or its answer was cut.
    Upstream,
    /// No progress came in time.
    Timeout,
    /// The upstream refused the request as wrong; no attempt can succeed.
    Rejected,
}

/// Describes a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// What failed.
    pub failure: FailureKind,
    /// Whether the attempt is proven not to have run.
    pub run_state: RunState,
    /// Whether the request may run twice without harm.
    pub is_idempotent: bool,
    /// Whether a part of the answer has gone to the caller.
    pub is_answer_begun: bool,
    /// Attempts made so far, this one included.
    pub attempts: u32,
    /// When the upstream asked to come back.
    pub retry_after: Option<Duration>,
    /// Time by which the request must be done.
    pub deadline: Option<TimeStamp>,
}

/// Tells why there is no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// The attempt may have run and the request is not idempotent.
    MayHaveRun,
    /// A part of the answer has gone to the caller.
    AnswerBegun,
    /// No attempt can succeed.
    Rejected,
    /// All attempts are used up.
    AttemptLimit,
    /// The deadline would pass first.
    Deadline,
    /// The workspace or the upstream has no retries left.
    BudgetEmpty,
}

/// Tells what follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Tries again after this time.
    Retry(Duration),
    /// Answers the caller now.
    Stop(StopReason),
}

/// Bounds how many attempts follow a failure, and how fast.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct RetryPolicy {
    /// Attempts at most, the first included.
    pub attempt_limit: u32,
    /// Longest wait before the second attempt, in milliseconds; doubles each time.
    pub backoff_ms: u64,
    /// Longest wait before any attempt, in milliseconds.
    pub backoff_max_ms: u64,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            attempt_limit: 4,
            backoff_ms: 50,
            backoff_max_ms: 2_000,
        }
    }
}

impl RetryPolicy {
    /// Decides what follows a failed attempt, and takes from both budgets when
    /// it is tried again.
    pub fn decide(
        &self,
        report: &AttemptReport,
        workspace_budget: &mut RetryBudget,
        upstream_budget: &mut RetryBudget,
        now: TimeStamp,
        random: &mut impl Rng,
    ) -> RetryDecision {
        if let Some(reason) = self.stop_reason(report) {
            return RetryDecision::Stop(reason);
        }
        let delay = self.backoff(report, random);
        if report
            .deadline
            .is_some_and(|deadline| now.plus(delay) >= deadline)
        {
            return RetryDecision::Stop(StopReason::Deadline);
        }
        if !workspace_budget.is_available(now) || !upstream_budget.is_available(now) {
            return RetryDecision::Stop(StopReason::BudgetEmpty);
        }
        workspace_budget.withdraw(now);
        upstream_budget.withdraw(now);
        RetryDecision::Retry(delay)
    }

    fn stop_reason(&self, report: &AttemptReport) -> Option<StopReason> {
        if report.failure == FailureKind::Rejected {
            return Some(StopReason::Rejected);
        }
        if report.is_answer_begun {
            return Some(StopReason::AnswerBegun);
        }
        if report.run_state != RunState::NotRun && !report.is_idempotent {
            return Some(StopReason::MayHaveRun);
        }
        (report.attempts >= self.attempt_limit).then_some(StopReason::AttemptLimit)
    }

    /// Draws a wait between zero and the doubled bound, after the time that the
    /// upstream asked for.
    fn backoff(&self, report: &AttemptReport, random: &mut impl Rng) -> Duration {
        let doublings = report.attempts.saturating_sub(1).min(BACKOFF_DOUBLINGS_MAX);
        let bound_ms = self.backoff_ms.saturating_mul(1 << doublings);
        let bound_ms = bound_ms.min(self.backoff_max_ms);
        let jitter = Duration::from_millis(random.random_range(0..=bound_ms));
        report.retry_after.unwrap_or_default() + jitter
    }
}

/// Bounds of a retry budget.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct BudgetLimits {
    /// Retries earned by each first attempt.
    pub retries_per_request: f64,
    /// Retries earned a second without any request.
    pub retries_per_second: f64,
    /// Retries saved up at most.
    pub retry_limit: f64,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            retries_per_request: 0.1,
            retries_per_second: 0.2,
            retry_limit: 10.0,
        }
    }
}

/// Retries that a workspace or an upstream has left.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    balance: f64,
    updated: TimeStamp,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(limits: BudgetLimits, now: TimeStamp) -> Self {
        let balance = limits.retry_limit;
        Self {
            limits,
            balance,
            updated: now,
        }
    }

    /// Notes the first attempt of a request.
    pub fn deposit(&mut self, now: TimeStamp) {
        self.refill(now);
        let earned = self.balance + self.limits.retries_per_request;
        self.balance = earned.min(self.limits.retry_limit);
    }

    /// Returns whether a retry may be made.
    pub fn is_available(&mut self, now: TimeStamp) -> bool {
        self.refill(now);
        self.balance >= 1.0
    }

    fn withdraw(&mut self, now: TimeStamp) {
        self.refill(now);
        self.balance -= 1.0;
    }

    fn refill(&mut self, now: TimeStamp) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let earned = self.balance + elapsed * self.limits.retries_per_second;
        self.balance = earned.min(self.limits.retry_limit);
    }
}
