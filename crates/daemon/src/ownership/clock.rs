//! Time since the start of the process.

use std::time::{Duration, Instant};

use ibisdale_core::TimeStamp;

/// A monotonic clock whose origin is its creation.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time now.
    #[must_use]
    pub fn now(&self) -> TimeStamp {
        TimeStamp::default().plus(self.origin.elapsed())
    }

    /// Returns the instant of a time.
    pub(crate) fn instant(&self, time: TimeStamp) -> Instant {
        self.origin + Duration::from_millis(time.as_millis())
    }
}
