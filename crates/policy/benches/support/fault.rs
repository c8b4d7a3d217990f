//! Faults on a timetable.

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FaultKind {
    /// A replica takes `factor` times as long for everything.
    SlowReplica { replica: usize, factor: f64 },
    /// A replica loses its calls and its cache and refuses connections.
    DeadReplica { replica: usize },
    /// All replicas are dead.
    Outage,
    /// A replica finishes what it has and ends; comes back empty.
    LeavingReplica { replica: usize },
    /// A workspace sends `factor` times its rate.
    BusyWorkspace { workspace: usize, factor: f64 },
    /// Load reports and cache events come later by this much.
    LateReports { millis: u64 },
}

/// A fault and when it holds, in seconds from the start of the run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultEntry {
    pub(crate) kind: FaultKind,
    pub(crate) from: u64,
    pub(crate) until: u64,
}

impl FaultEntry {
    pub(crate) fn new(kind: FaultKind, from: u64, until: u64) -> Self {
        Self { kind, from, until }
    }

    pub(crate) fn is_active(&self, second: f64) -> bool {
        second >= self.from as f64 && second < self.until as f64
    }
}
