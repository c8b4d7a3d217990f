//! Credit amounts and the division of a workspace's rate into parts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maximum number of parts that a workspace's rate is divided into.
pub const CREDIT_PARTS_MAX: u64 = 3;

/// Micro-requests in one request.
const MICROS_PER_REQUEST: u64 = 1_000_000;
/// Micro-requests in one milli-request.
const MICROS_PER_MILLI: u64 = 1_000;

/// Number of requests that may be started, in millionths of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct CreditAmount(u64);

impl CreditAmount {
    /// Zero requests.
    pub const ZERO: Self = Self(0);
    /// One request.
    pub const ONE: Self = Self(MICROS_PER_REQUEST);

    /// Creates an amount from whole requests.
    #[must_use]
    pub const fn from_requests(requests: u64) -> Self {
        Self(requests.saturating_mul(MICROS_PER_REQUEST))
    }

    /// Creates an amount from thousandths of a request.
    #[must_use]
    pub const fn from_milli_requests(millis: u64) -> Self {
        Self(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Creates an amount from millionths of a request.
    #[must_use]
    pub const fn from_micro_requests(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the amount in thousandths of a request, rounded down.
    #[must_use]
    pub const fn as_milli_requests(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the amount in millionths of a request.
    #[must_use]
    pub const fn as_micro_requests(self) -> u64 {
        self.0
    }

    /// Returns the sum, saturating at the maximum amount.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, saturating at zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// Rate and burst of a workspace, a program, or one part of either.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CreditRate {
    /// Rate in thousandths of a request per second.
    pub rate_milli: u64,
    /// Capacity of the bucket: requests that may start at once after an idle period.
    pub burst: CreditAmount,
}

impl CreditRate {
    /// Creates a rate in thousandths of a request per second with a burst in whole
    /// requests.
    #[must_use]
    pub const fn new(rate_milli: u64, burst: u64) -> Self {
        Self {
            rate_milli,
            burst: CreditAmount::from_requests(burst),
        }
    }

    /// Returns the number of parts that the rate is divided into.
    ///
    /// A burst below [`CREDIT_PARTS_MAX`] requests has fewer parts, since a part with a
    /// burst below one request could never lend.
    #[must_use]
    pub fn parts(self) -> u64 {
        let requests = self.burst.0 / MICROS_PER_REQUEST;
        requests.clamp(1, CREDIT_PARTS_MAX)
    }

    /// Returns the rate and burst of one part, rounded down so that the parts never
    /// add up to more than the total.
    #[must_use]
    pub fn part_rate(self) -> Self {
        let parts = self.parts();
        Self {
            rate_milli: self.rate_milli / parts,
            burst: CreditAmount(self.burst.0 / parts),
        }
    }

    /// Returns the rate and the burst multiplied by `numerator / denominator`,
    /// rounded down.
    ///
    /// # Panics
    ///
    /// Panics if `denominator` is zero.
    #[must_use]
    pub const fn scaled(self, numerator: u64, denominator: u64) -> Self {
        Self {
            rate_milli: self.rate_milli.saturating_mul(numerator) / denominator,
            burst: CreditAmount(self.burst.0.saturating_mul(numerator) / denominator),
        }
    }

    /// Returns the credit that accrues in `time`.
    #[must_use]
    pub fn accrued(self, time: Duration) -> CreditAmount {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        // Milli-requests per second times milliseconds equal micro-requests.
        CreditAmount(self.rate_milli.saturating_mul(millis))
    }

    /// Returns the time in which `amount` accrues, rounded up to a millisecond, or
    /// one hour if the rate is zero.
    #[must_use]
    pub fn time_for(self, amount: CreditAmount) -> Duration {
        if self.rate_milli == 0 {
            return Duration::from_hours(1);
        }
        Duration::from_millis(amount.0.div_ceil(self.rate_milli))
    }
}
