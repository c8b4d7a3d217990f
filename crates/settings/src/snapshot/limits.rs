//! Rate limits and program limits.

use serde::{Deserialize, Serialize};

use crate::table::FixedDecimal;

/// A rate limit of a workspace's requests or a program's starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RateLimit {
    /// The sustained rate per second.
    pub rate: FixedDecimal,
    /// The number accepted at once after an idle period.
    pub burst: u64,
}

/// The default limit of a program, and the largest limit it may request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ProgramLimit {
    /// The limit of a program that requests none.
    pub default: u64,
    /// The largest limit that a program may request.
    pub max: u64,
}

impl ProgramLimit {
    /// Returns the limit that applies to a program, or `None` if it requests
    /// more than the maximum.
    ///
    /// ```
    /// use ibisdale_settings::ProgramLimit;
    ///
    /// let limit = ProgramLimit { default: 20, max: 100 };
    /// assert_eq!(limit.resolve(None), Some(20));
    /// assert_eq!(limit.resolve(Some(100)), Some(100));
    /// assert_eq!(limit.resolve(Some(101)), None);
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
    pub deadline_ms: ProgramLimit,
    /// Token budget.
    pub tokens: ProgramLimit,
    /// Budget of paid actions: calls of routes that are not idempotent.
    pub paid_actions: ProgramLimit,
    /// Number of steps.
    pub steps: ProgramLimit,
    /// Wall-clock time, in milliseconds.
    pub wall_clock_ms: ProgramLimit,
}
