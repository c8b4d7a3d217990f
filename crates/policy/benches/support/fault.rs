//! Scheduled faults.

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FaultKind {
    /// Each step of a replica takes `factor` times as long.
    SlowReplica { replica: usize, factor: f64 },
    /// A replica loses its calls and its cache and refuses connections.
    DeadReplica { replica: usize },
    /// Every replica is dead.
    Outage,
    /// A replica drains while the VM list shows it as leaving. It restarts with an
    /// empty cache when the fault ends; calls that it still has then fail.
    LeavingReplica { replica: usize },
    /// A workspace starts programs at `factor` times its rate.
    BusyWorkspace { workspace: usize, factor: f64 },
    /// Load reports and cache events arrive `delay_ms` later than usual.
    DelayedUpdates { delay_ms: u64 },
}

/// A fault and the time in which it is active, in seconds from the start of the run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledFault {
    pub(crate) kind: FaultKind,
    pub(crate) start_seconds: u64,
    pub(crate) end_seconds: u64,
}

impl ScheduledFault {
    pub(crate) fn new(kind: FaultKind, start_seconds: u64, end_seconds: u64) -> Self {
        Self {
            kind,
            start_seconds,
            end_seconds,
        }
    }

    pub(crate) fn is_active(&self, second: f64) -> bool {
        second >= self.start_seconds as f64 && second < self.end_seconds as f64
    }
}
