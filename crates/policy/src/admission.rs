//! Admission control: refuses calls that are not expected to meet their
//! deadline.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::queue::{FairQueue, WorkspaceKey};

/// Smoothing factor of the exponential moving average of the service rate.
const RATE_SMOOTHING: f64 = 0.2;
/// Minimum interval over which the service rate is measured.
const RATE_WINDOW_MIN: Duration = Duration::from_millis(500);

/// Settings of admission control.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct AdmissionSettings {
    /// Fraction of the expected wait and service time that must fit before the
    /// deadline; a value below 1 also admits calls that are expected to miss it.
    pub wait_margin: f64,
    /// Upper limit of the retry delay in a refusal, in milliseconds.
    pub retry_after_max_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            wait_margin: 0.7,
            retry_after_max_ms: 30_000,
        }
    }
}

/// A call to admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The call's workspace.
    pub workspace: WorkspaceKey,
    /// Expected duration of the call once it starts.
    pub expected_service_time: Duration,
    /// Time by which the call must be complete.
    pub deadline: Option<TimeStamp>,
}

/// Error returned for a call that is not expected to meet its deadline; the call has
/// not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display(
    "the call is not expected to meet its deadline: expected time in the queue {} ms",
    expected_wait.as_millis()
))]
pub struct AdmissionRefusal {
    /// Expected time in the queue.
    pub expected_wait: Duration,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

/// Admits calls to the queue, based on the rate at which tokens are served.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    tokens_per_ms: Option<f64>,
    window_start: TimeStamp,
    window_tokens: u64,
}

impl AdmissionController {
    /// Creates a controller that expects no wait until it has measured a service rate.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            tokens_per_ms: None,
            window_start: TimeStamp::default(),
            window_tokens: 0,
        }
    }

    /// Records tokens that were served.
    ///
    /// `is_saturated` is true if calls are waiting. The rate is measured only while
    /// they are, since the rate of an unsaturated system does not show its capacity.
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
        let average = self.tokens_per_ms.unwrap_or(rate);
        self.tokens_per_ms = Some(average + RATE_SMOOTHING * (rate - average));
        self.window_start = now;
        self.window_tokens = 0;
    }

    /// Admits a call and returns its expected wait.
    ///
    /// The wait is computed from the waiting calls of the call's workspace and its
    /// fraction of the service rate, so that overload of one workspace does not cause
    /// refusals of another's calls.
    ///
    /// # Errors
    ///
    /// Fails when the call is not expected to meet its deadline.
    pub fn admit(
        &self,
        queue: &FairQueue,
        request: &AdmissionRequest,
        now: TimeStamp,
    ) -> Result<Duration, AdmissionRefusal> {
        let wait = self.expected_wait(queue, request.workspace);
        let Some(deadline) = request.deadline else {
            return Ok(wait);
        };
        let discounted = (wait + request.expected_service_time).mul_f64(self.settings.wait_margin);
        let left = deadline.since(now);
        if discounted <= left {
            return Ok(wait);
        }
        let excess = (wait + request.expected_service_time).saturating_sub(left);
        let longest = Duration::from_millis(self.settings.retry_after_max_ms);
        Err(AdmissionRefusal {
            expected_wait: wait,
            retry_after: excess.min(longest).max(Duration::from_millis(1)),
        })
    }

    fn expected_wait(&self, queue: &FairQueue, workspace: WorkspaceKey) -> Duration {
        let Some(rate) = self.tokens_per_ms.filter(|rate| *rate > 0.0) else {
            return Duration::ZERO;
        };
        #[expect(clippy::cast_precision_loss)]
        let waiting = queue.get_waiting_tokens(workspace) as f64;
        let wait_ms = waiting / (rate * queue.get_service_fraction(workspace));
        Duration::try_from_secs_f64(wait_ms / 1_000.0).unwrap_or(Duration::MAX / 4)
    }
}
