//! Rates and limits.

use serde::{Deserialize, Serialize};

use crate::table::FixedDecimal;

/// How many requests may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RateLimit {
    /// Requests a second.
    pub rate: FixedDecimal,
    /// Requests at once after a quiet time.
    pub burst: u64,
}

/// The limit of a program that names none, and the largest it may ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct LimitRange {
    /// The limit where the program names none.
    pub default: u64,
    /// The largest limit that a program may ask for.
    pub max: u64,
}

impl LimitRange {
    /// Returns the limit that holds for a program, or `None` when it asks for
    /// more than it may.
    ///
    /// ```
    /// use ibisdale_settings::LimitRange;
    ///
    /// let range = LimitRange { default: 20, max: 100 };
    /// assert_eq!(range.choose(None), Some(20));
    /// assert_eq!(range.choose(Some(100)), Some(100));
    /// assert_eq!(range.choose(Some(101)), None);
    /// ```
    #[must_use]
    pub fn choose(self, requested: Option<u64>) -> Option<u64> {
        let limit = requested.unwrap_or(self.default);
        (limit <= self.max).then_some(limit)
    }
}

/// The limits of programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ProgramLimits {
    /// Time to the deadline, in milliseconds.
    pub deadline_ms: LimitRange,
    /// Tokens.
    pub tokens: LimitRange,
    /// Paid actions.
    pub paid_actions: LimitRange,
    /// Steps.
    pub steps: LimitRange,
    /// Wall-clock time, in milliseconds.
    pub wall_clock_ms: LimitRange,
}
