//! Early refusal of calls that cannot meet their deadline.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::queue::{FairQueue, ShareKey};

/// Weight of a new observation in the moving average of the service rate.
const LEARNING_RATE: f64 = 0.2;
/// Shortest time over which the service rate is measured.
const RATE_WINDOW_MIN: Duration = Duration::from_millis(500);

/// Tunes admission.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct AdmissionLimits {
    /// Part of the expected wait that must fit before the deadline; below one,
    /// calls that may just miss their deadline are let in.
    pub wait_margin: f64,
    /// Longest time to come back that a refusal names, in milliseconds.
    pub retry_after_max_ms: u64,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self {
            wait_margin: 0.7,
            retry_after_max_ms: 30_000,
        }
    }
}

/// Describes a call that asks to be let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The call's workspace.
    pub share: ShareKey,
    /// Time that the call takes once it starts.
    pub expected_service: Duration,
    /// Time by which the call must be done.
    pub deadline: Option<TimeStamp>,
}

/// Says that a call cannot meet its deadline; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("the call would wait {} ms and miss its deadline", expected_wait.as_millis()))]
pub struct AdmissionRefusal {
    /// The wait that was expected.
    pub expected_wait: Duration,
    /// When to come back.
    pub retry_after: Duration,
}

/// Decides whether calls may wait, from the rate at which tokens are served.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    limits: AdmissionLimits,
    tokens_per_ms: Option<f64>,
    window_start: TimeStamp,
    window_tokens: u64,
}

impl AdmissionGate {
    /// Creates a gate that lets everything in until it has seen some service.
    #[must_use]
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            tokens_per_ms: None,
            window_start: TimeStamp::default(),
            window_tokens: 0,
        }
    }

    /// Notes tokens that were served while calls were waiting.
    ///
    /// `is_saturated` says whether calls wait; the rate of an idle system says
    /// nothing of what it can serve.
    pub fn record_served(&mut self, tokens: u32, is_saturated: bool, now: TimeStamp) {
        if !is_saturated {
            self.window_start = now;
            self.window_tokens = 0;
            return;
        }
        self.window_tokens += u64::from(tokens);
        let elapsed = now.since(self.window_start);
        if elapsed < RATE_WINDOW_MIN {
            return;
        }
        #[expect(clippy::cast_precision_loss)]
        let rate = self.window_tokens as f64 / (elapsed.as_secs_f64() * 1_000.0);
        let known = self.tokens_per_ms.unwrap_or(rate);
        self.tokens_per_ms = Some(known + LEARNING_RATE * (rate - known));
        self.window_start = now;
        self.window_tokens = 0;
    }

    /// Lets a call wait, or refuses it at once.
    ///
    /// Returns the expected wait. Only the workspace's own waiting calls count,
    /// against its part of the service, so that another's overload does not
    /// refuse it.
    ///
    /// # Errors
    ///
    /// Fails when the call cannot meet its deadline.
    pub fn admit(
        &self,
        queue: &FairQueue,
        request: &AdmissionRequest,
        now: TimeStamp,
    ) -> Result<Duration, AdmissionRefusal> {
        let wait = self.expected_wait(queue, request.share);
        let Some(deadline) = request.deadline else {
            return Ok(wait);
        };
        let optimistic = (wait + request.expected_service).mul_f64(self.limits.wait_margin);
        let left = deadline.since(now);
        if optimistic <= left {
            return Ok(wait);
        }
        let excess = (wait + request.expected_service).saturating_sub(left);
        let longest = Duration::from_millis(self.limits.retry_after_max_ms);
        Err(AdmissionRefusal {
            expected_wait: wait,
            retry_after: excess.min(longest).max(Duration::from_millis(1)),
        })
    }

    fn expected_wait(&self, queue: &FairQueue, share: ShareKey) -> Duration {
        let Some(rate) = self.tokens_per_ms.filter(|rate| *rate > 0.0) else {
            return Duration::ZERO;
        };
        #[expect(clippy::cast_precision_loss)]
        let waiting = queue.get_waiting_tokens(share) as f64;
        let wait_ms = waiting / (rate * queue.get_fraction(share));
        Duration::try_from_secs_f64(wait_ms / 1_000.0).unwrap_or(Duration::MAX / 4)
    }
}
