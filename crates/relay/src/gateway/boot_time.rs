//! Time that includes suspensions of the VM.
//!
//! `Instant` stops while a VM is suspended, so what it measures is no proof that a
//! deadline has not passed or that a belief is recent.

use std::cell::Cell;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Difference between the two clocks that counts as a suspension.
const SUSPENSION_MIN: Duration = Duration::from_millis(100);

/// A moment, as time since the boot of the VM including suspensions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BootTime(Duration);

impl BootTime {
    pub(crate) fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanoseconds))
    }

    /// Returns the time since the boot.
    pub(crate) fn since_boot(self) -> Duration {
        self.0
    }

    pub(crate) fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }

    pub(crate) fn time_left(self) -> Duration {
        self.0.saturating_sub(Self::now().0)
    }

    /// Returns the moment `duration` later.
    pub(crate) fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }

    /// Returns the moment `duration` earlier, or the boot if that is later.
    pub(crate) fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}

/// Detects that the VM was suspended.
#[derive(Debug)]
pub(crate) struct SuspensionWatch {
    started: (BootTime, Instant),
    /// Sum of all suspensions that were detected.
    suspended: Cell<Duration>,
    resumed_at: Cell<Option<BootTime>>,
}

impl SuspensionWatch {
    pub(crate) fn start() -> Self {
        Self {
            started: (BootTime::now(), Instant::now()),
            suspended: Cell::default(),
            resumed_at: Cell::default(),
        }
    }

    /// Returns the time since the end of the last suspension was first noticed, if there was
    /// one.
    pub(crate) fn since_resume(&self) -> Option<Duration> {
        let (boot_time, instant) = self.started;
        let suspended = boot_time.elapsed().saturating_sub(instant.elapsed());
        if suspended > self.suspended.get() + SUSPENSION_MIN {
            self.suspended.set(suspended);
            self.resumed_at.set(Some(BootTime::now()));
        }
        self.resumed_at.get().map(BootTime::elapsed)
    }
}
