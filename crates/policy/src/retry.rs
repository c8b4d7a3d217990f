//! Retries of failed attempts, limited by retry budgets.

use std::time::Duration;

use ibisdale_core::{RunState, TimeStamp};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Number of doublings after which the backoff stops growing.
const BACKOFF_DOUBLINGS_MAX: u32 = 16;

/// Kind of failure that ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The connection could not be opened.
    Connect,
    /// The upstream reported that it is busy.
    Busy,
    /// The upstream failed or its response was incomplete.
    Upstream,
    /// No progress was made before the timeout.
    Timeout,
    /// The upstream rejected the request as invalid; no attempt can succeed.
    Rejected,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// Kind of failure.
    pub failure: FailureKind,
    /// Whether the attempt ran, as far as is known.
    pub run_state: RunState,
    /// Whether the request is safe to run more than once.
    pub is_idempotent: bool,
    /// Whether part of the response was already sent to the caller.
    pub has_response_started: bool,
    /// Number of attempts made so far, including this one.
    pub attempts: u32,
    /// Retry delay requested by the upstream.
    pub retry_after: Option<Duration>,
    /// Time by which the request must be complete.
    pub deadline: Option<TimeStamp>,
}

/// Reason why a failed attempt is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// The attempt may have run and the request is not idempotent.
    MayHaveRun,
    /// Part of the response was already sent to the caller.
    AnswerBegun,
    /// No attempt can succeed.
    Rejected,
    /// The maximum number of attempts was made.
    AttemptLimit,
    /// The deadline would pass before the next attempt.
    Deadline,
    /// The retry budget of the workspace or of the upstream is empty.
    BudgetEmpty,
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after this delay.
    Retry(Duration),
    /// Do not retry; return the failure to the caller.
    Stop(StopReason),
}

/// Limits the number of attempts and the delay between them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct RetryPolicy {
    /// Maximum number of attempts, including the first.
    pub attempt_limit: u32,
    /// Maximum backoff before the second attempt, in milliseconds; doubles with each
    /// further attempt.
    pub backoff_ms: u64,
    /// Upper limit of the backoff before any attempt, in milliseconds.
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
    /// Decides whether to retry a failed attempt; a granted retry is deducted from
    /// both budgets.
    pub fn decide(
        &self,
        report: &AttemptReport,
        workspace_budget: &mut RetryBudget,
        upstream_budget: &mut RetryBudget,
        now: TimeStamp,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        if let Some(reason) = self.stop_reason(report) {
            return RetryDecision::Stop(reason);
        }
        let delay = self.retry_delay(report, rng);
        if report
            .deadline
            .is_some_and(|deadline| now.plus(delay) >= deadline)
        {
            return RetryDecision::Stop(StopReason::Deadline);
        }
        if !workspace_budget.allows_retry(now) || !upstream_budget.allows_retry(now) {
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
        if report.has_response_started {
            return Some(StopReason::AnswerBegun);
        }
        if report.run_state != RunState::NotRun && !report.is_idempotent {
            return Some(StopReason::MayHaveRun);
        }
        (report.attempts >= self.attempt_limit).then_some(StopReason::AttemptLimit)
    }

    /// Returns the delay requested by the upstream plus a random backoff between zero
    /// and the exponentially growing bound (full jitter).
    fn retry_delay(&self, report: &AttemptReport, rng: &mut impl Rng) -> Duration {
        let doublings = report.attempts.saturating_sub(1).min(BACKOFF_DOUBLINGS_MAX);
        let bound_ms = self.backoff_ms.saturating_mul(1 << doublings);
        let bound_ms = bound_ms.min(self.backoff_max_ms);
        let jitter = Duration::from_millis(rng.random_range(0..=bound_ms));
        report.retry_after.unwrap_or_default() + jitter
    }
}

/// Refill rates and capacity of a retry budget.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct RetryBudgetSettings {
    /// Retries added to the budget by the first attempt of each request.
    pub retries_per_request: f64,
    /// Retries added to the budget each second, even without requests.
    pub retries_per_second: f64,
    /// Maximum number of retries in the budget.
    pub retry_limit: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            retries_per_request: 0.1,
            retries_per_second: 0.2,
            retry_limit: 10.0,
        }
    }
}

/// Token bucket of the retries available to a workspace or an upstream.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    balance: f64,
    updated_at: TimeStamp,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings, now: TimeStamp) -> Self {
        let balance = settings.retry_limit;
        Self {
            settings,
            balance,
            updated_at: now,
        }
    }

    /// Records the first attempt of a request, which adds to the budget.
    pub fn deposit(&mut self, now: TimeStamp) {
        self.refill(now);
        let balance = self.balance + self.settings.retries_per_request;
        self.balance = balance.min(self.settings.retry_limit);
    }

    /// Returns whether the budget allows a retry.
    pub fn allows_retry(&mut self, now: TimeStamp) -> bool {
        self.refill(now);
        self.balance >= 1.0
    }

    fn withdraw(&mut self, now: TimeStamp) {
        self.refill(now);
        self.balance -= 1.0;
    }

    fn refill(&mut self, now: TimeStamp) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let balance = self.balance + elapsed * self.settings.retries_per_second;
        self.balance = balance.min(self.settings.retry_limit);
    }
}
