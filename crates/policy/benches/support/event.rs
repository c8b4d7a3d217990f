//! Events in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ibisdale_core::TimeStamp;
use ibisdale_policy::{CallOutcome, LoadReport, SessionId};

pub(crate) const MICROS_PER_MILLI: u64 = 1_000;
pub(crate) const MICROS_PER_SECOND: u64 = 1_000_000;

/// What happens at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EventKind {
    ProgramArrives {
        program: usize,
    },
    /// A turn of an agent is ready to be called.
    TurnReady {
        agent: usize,
    },
    /// A call arrives at the engine.
    CallArrives {
        call: usize,
        attempt: u32,
    },
    /// A step of an engine's batch ends.
    StepEnds {
        replica: usize,
        epoch: u64,
    },
    FirstToken {
        call: usize,
        attempt: u32,
    },
    CallEnds {
        call: usize,
        attempt: u32,
        outcome: CallOutcome,
    },
    RetryDue {
        call: usize,
    },
    ReportDue {
        replica: usize,
    },
    ReportArrives {
        replica: usize,
        report: LoadReport,
    },
    CacheEvent {
        daemon: usize,
        replica: usize,
        session: SessionId,
        tokens: u32,
        at: TimeStamp,
        is_eviction: bool,
    },
    CacheGap {
        daemon: usize,
        replica: usize,
    },
    PumpDue {
        daemon: usize,
    },
    FaultBegins {
        fault: usize,
    },
    FaultEnds {
        fault: usize,
    },
    /// The list of VMs shows a change of a replica.
    StatusKnown {
        replica: usize,
        is_live: bool,
    },
}

/// Events in order of time, then of their making.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    kinds: Vec<EventKind>,
    free: Vec<usize>,
    made: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at_us: u64, kind: EventKind) {
        let slot = if let Some(slot) = self.free.pop() {
            self.kinds[slot] = kind;
            slot
        } else {
            self.kinds.push(kind);
            self.kinds.len() - 1
        };
        self.made += 1;
        self.heap.push(Reverse((at_us, self.made, slot)));
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, EventKind)> {
        let Reverse((at_us, _, slot)) = self.heap.pop()?;
        self.free.push(slot);
        Some((at_us, self.kinds[slot]))
    }
}

/// Returns the time that the decisions are given.
pub(crate) fn stamp(at_us: u64) -> TimeStamp {
    TimeStamp::from_millis(at_us / MICROS_PER_MILLI)
}
