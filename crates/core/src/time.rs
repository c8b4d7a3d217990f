//! Timestamps in milliseconds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of milliseconds in a second.
pub const MILLIS_PER_SECOND: u64 = 1_000;

/// A point in time in milliseconds.
///
/// The caller chooses the origin: the Unix epoch for times that are stored or sent to
/// other processes, or the start of the process for monotonic times. Values with
/// different origins must not be mixed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct TimeStamp(u64);

impl TimeStamp {
    /// Creates a timestamp from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the number of milliseconds since the origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Adds a duration truncated to whole milliseconds, saturating at the maximum
    /// timestamp.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
