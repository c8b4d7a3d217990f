//! Rate limits and program limits.

use serde::{Deserialize, Serialize};

use crate::table::FixedDecimal;

/// The rate at which requests may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RateLimit {
    /// Requests per second.
    pub rate: FixedDecimal,
    /// Requests that may start at once after an idle period.
    pub burst: u64,
}

/// The default limit of a program, and the largest limit it may request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct LimitRange {
    /// The limit of a program that requests none.
    pub default: u64,
    /// The largest limit that a program may request.
    pub max: u64,
}

impl LimitRange {
    /// Returns the limit that applies to a program, or `None` if it requests
    /// more than the maximum.
    ///
    /// ```
    /// use ibisdale_settings::LimitRange;
    ///
    /// let range = LimitRange { default: 20, max: 100 };
    /// assert_eq!(range.resolve(None), Some(20));
    /// assert_eq!(range.resolve(Some(100)), Some(100));
    /// assert_eq!(range.resolve(Some(101)), None);
    /// ```
    #[must_use]
    pub fn resolve(self, requested: Option<u64>) -> Option<u64> {
        let limit = requested.unwrap_or(self.default);
        (limit <= self.max).then_some(limit)
    }
}

/// The default and largest limits of programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ProgramLimits {
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: LimitRange,
    /// Token budget.
    pub tokens: LimitRange,
    /// Budget of paid (non-idempotent) actions.
    pub paid_actions: LimitRange,
    /// Number of steps.
    pub steps: LimitRange,
    /// Wall-clock time, in milliseconds.
    pub wall_clock_ms: LimitRange,
}
