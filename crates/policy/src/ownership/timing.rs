//! Random delays that keep daemons from acting at the same moment, and retry timers.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Mean delay after the first failed call.
const RETRY_MEAN_DELAY_FIRST: Duration = Duration::from_millis(100);
/// Upper bound of the mean delay after a failed call.
const RETRY_MEAN_DELAY_MAX: Duration = Duration::from_secs(2);
/// Maximum number of doublings, which keeps the shift from overflowing.
const RETRY_DOUBLINGS_MAX: u32 = 8;

/// Seeded source of random identifiers and delays.
#[derive(Clone, Debug)]
pub(crate) struct RandomSource {
    rng: Pcg64Mcg,
}

impl RandomSource {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns a nonzero nonce; 0 is the default value.
    pub(crate) fn nonce(&mut self) -> u64 {
        self.rng.next_u64().max(1)
    }

    /// Returns a positive lease identifier.
    pub(crate) fn lease_id(&mut self) -> i64 {
        self.rng.random_range(1..i64::MAX)
    }

    /// Returns a delay uniformly distributed between zero and `window`.
    pub(crate) fn uniform_delay(&mut self, window: Duration) -> Duration {
        window.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Returns a delay uniformly distributed between 0.5 and 1.5 times `mean`.
    pub(crate) fn jittered_delay(&mut self, mean: Duration) -> Duration {
        mean / 2 + self.uniform_delay(mean)
    }

    /// Returns the exponential backoff delay after `failures` consecutive failures.
    pub(crate) fn retry_delay(&mut self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(RETRY_DOUBLINGS_MAX);
        let delay = RETRY_MEAN_DELAY_FIRST * (1 << doublings);
        self.jittered_delay(delay.min(RETRY_MEAN_DELAY_MAX))
    }
}

/// Schedules a call and its retries, with at most one attempt in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryTimer {
    due_at: TimeStamp,
    failures: u32,
    is_in_flight: bool,
}

impl RetryTimer {
    pub(crate) fn due_at(time: TimeStamp) -> Self {
        Self {
            due_at: time,
            ..Self::default()
        }
    }

    pub(crate) fn is_due(&self, now: TimeStamp) -> bool {
        !self.is_in_flight && self.due_at <= now
    }

    pub(crate) fn next_wake(&self) -> Option<TimeStamp> {
        (!self.is_in_flight).then_some(self.due_at)
    }

    pub(crate) fn start(&mut self) {
        self.is_in_flight = true;
    }

    pub(crate) fn succeed(&mut self, next: TimeStamp) {
        *self = Self::due_at(next);
    }

    pub(crate) fn fail(&mut self, now: TimeStamp, random: &mut RandomSource) {
        self.failures = self.failures.saturating_add(1);
        self.is_in_flight = false;
        self.due_at = now.plus(random.retry_delay(self.failures));
    }
}
