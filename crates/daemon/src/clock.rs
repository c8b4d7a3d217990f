//! The clocks that the daemon reads and passes to decisions.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ibisdale_core::TimeStamp;

/// Returns the time since the Unix epoch, in milliseconds.
pub(crate) fn unix_now() -> TimeStamp {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    TimeStamp::default().plus(elapsed)
}

/// Returns the instant of a time since the Unix epoch, now when it has passed.
pub(crate) fn instant_of(time: TimeStamp) -> Instant {
    let delay = time.since(unix_now());
    Instant::now() + delay.min(DELAY_MAX)
}

/// Longest delay that is turned into an instant.
const DELAY_MAX: Duration = Duration::from_hours(30 * 24);
