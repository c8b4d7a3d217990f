//! Amounts of credit and how a workspace's rate is cut into parts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Parts that a workspace's rate is cut into at most.
pub const CREDIT_PARTS_MAX: u64 = 3;

/// Millionths in one request.
const MICROS_PER_REQUEST: u64 = 1_000_000;
/// Millionths in one thousandth of a request.
const MICROS_PER_MILLI: u64 = 1_000;

/// An amount of requests, in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct CreditAmount(u64);

impl CreditAmount {
    /// No request.
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
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Creates an amount from millionths of a request.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the amount in thousandths of a request, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the amount in millionths of a request.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Adds; saturates at the largest amount.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Subtracts; stops at zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// Rate and burst of a workspace, or of one part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CreditRate {
    /// Requests a second, in thousandths.
    pub rate_milli: u64,
    /// Requests at once after a quiet time.
    pub burst: CreditAmount,
}

impl CreditRate {
    /// Creates a rate of thousandths of a request a second, and a burst of
    /// whole requests.
    #[must_use]
    pub const fn new(rate_milli: u64, burst: u64) -> Self {
        Self {
            rate_milli,
            burst: CreditAmount::from_requests(burst),
        }
    }

    /// Returns the number of parts: no part has a burst below one request.
    #[must_use]
    pub fn parts(self) -> u64 {
        let whole = self.burst.0 / MICROS_PER_REQUEST;
        whole.clamp(1, CREDIT_PARTS_MAX)
    }

    /// Returns one part's share; the parts add up to no more than the whole.
    #[must_use]
    pub fn share(self) -> Self {
        let parts = self.parts();
        Self {
            rate_milli: self.rate_milli / parts,
            burst: CreditAmount(self.burst.0 / parts),
        }
    }

    /// Returns a part of the rate and the burst, rounded down.
    ///
    /// # Panics
    ///
    /// Panics when `whole` is zero.
    #[must_use]
    pub const fn scaled(self, part: u64, whole: u64) -> Self {
        Self {
            rate_milli: self.rate_milli.saturating_mul(part) / whole,
            burst: CreditAmount(self.burst.0.saturating_mul(part) / whole),
        }
    }

    /// Returns what accrues in `time`.
    #[must_use]
    pub fn accrued(self, time: Duration) -> CreditAmount {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        // Thousandths a second times milliseconds are millionths.
        CreditAmount(self.rate_milli.saturating_mul(millis))
    }

    /// Returns the time in which `amount` accrues, rounded up; an hour where
    /// nothing accrues.
    #[must_use]
    pub fn time_for(self, amount: CreditAmount) -> Duration {
        if self.rate_milli == 0 {
            return Duration::from_hours(1);
        }
        Duration::from_millis(amount.0.div_ceil(self.rate_milli))
    }
}
