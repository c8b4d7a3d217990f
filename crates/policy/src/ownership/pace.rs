//! Random delays, so that daemons do not act at once.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// First delay after a failed call.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// Longest delay after a failed call, before jitter.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);
/// Failures after which the delay no longer grows.
const RETRY_DOUBLINGS_MAX: u32 = 8;

#[derive(Clone, Debug)]
pub(crate) struct PaceSource {
    random: Pcg64Mcg,
}

impl PaceSource {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns a number that is not zero.
    pub(crate) fn nonce(&mut self) -> u64 {
        self.random.next_u64().max(1)
    }

    /// Returns a lease identifier, which is positive.
    pub(crate) fn lease(&mut self) -> i64 {
        self.random.random_range(1..i64::MAX)
    }

    /// Returns a delay between zero and `window`.
    pub(crate) fn within(&mut self, window: Duration) -> Duration {
        window.mul_f64(self.random.random_range(0.0..1.0))
    }

    /// Returns a delay between half and one and a half of `mean`.
    pub(crate) fn around(&mut self, mean: Duration) -> Duration {
        mean / 2 + self.within(mean)
    }

    /// Returns the delay after `failures` failed calls in a row.
    pub(crate) fn retry_delay(&mut self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(RETRY_DOUBLINGS_MAX);
        let delay = RETRY_DELAY_MIN * (1 << doublings);
        self.around(delay.min(RETRY_DELAY_MAX))
    }
}

/// When to make a call, and whether it is under way.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryTimer {
    at: TimeStamp,
    failures: u32,
    is_in_flight: bool,
}

impl RetryTimer {
    pub(crate) fn at(at: TimeStamp) -> Self {
        Self {
            at,
            ..Self::default()
        }
    }

    pub(crate) fn is_due(&self, now: TimeStamp) -> bool {
        !self.is_in_flight && self.at <= now
    }

    pub(crate) fn wake(&self) -> Option<TimeStamp> {
        (!self.is_in_flight).then_some(self.at)
    }

    pub(crate) fn start(&mut self) {
        self.is_in_flight = true;
    }

    pub(crate) fn succeed(&mut self, next: TimeStamp) {
        *self = Self::at(next);
    }

    pub(crate) fn fail(&mut self, now: TimeStamp, pace: &mut PaceSource) {
        self.failures = self.failures.saturating_add(1);
        self.is_in_flight = false;
        self.at = now.plus(pace.retry_delay(self.failures));
    }
}
