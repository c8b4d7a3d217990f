//! Event queue in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ibisdale_core::TimeStamp;
use ibisdale_policy::{CallOutcome, LoadReport, SessionId};

pub(crate) const MICROS_PER_MILLI: u64 = 1_000;
pub(crate) const MICROS_PER_SECOND: u64 = 1_000_000;

/// Kind of an event, with the entities concerned.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EventKind {
    ProgramArrives {
        program: usize,
    },
    /// The next turn of an agent can send its call.
    TurnReady {
        agent: usize,
    },
    /// A call arrives at its engine.
    CallArrives {
        call: usize,
        attempt: u32,
    },
    /// A step of an engine ends.
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
    /// A daemon learns that a replica has cached or evicted a session.
    CacheEvent {
        daemon: usize,
        replica: usize,
        session: SessionId,
        tokens: u32,
        at: TimeStamp,
        is_eviction: bool,
    },
    /// A daemon learns that cache events of a replica were lost.
    CacheGap {
        daemon: usize,
        replica: usize,
    },
    /// A daemon looks again for replicas for its queued calls.
    DispatchDue {
        daemon: usize,
    },
    FaultBegins {
        fault: usize,
    },
    FaultEnds {
        fault: usize,
    },
    /// The VM list shows the new status of a replica.
    VmListChanges {
        replica: usize,
        is_live: bool,
    },
}

/// Events ordered by time, then by insertion.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    slots: Vec<EventKind>,
    free_slots: Vec<usize>,
    push_count: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at_us: u64, kind: EventKind) {
        let slot = if let Some(slot) = self.free_slots.pop() {
            self.slots[slot] = kind;
            slot
        } else {
            self.slots.push(kind);
            self.slots.len() - 1
        };
        self.push_count += 1;
        self.heap.push(Reverse((at_us, self.push_count, slot)));
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, EventKind)> {
        let Reverse((at_us, _, slot)) = self.heap.pop()?;
        self.free_slots.push(slot);
        Some((at_us, self.slots[slot]))
    }
}

/// Converts virtual time to the time stamp that the policy takes.
pub(crate) fn time_stamp(at_us: u64) -> TimeStamp {
    TimeStamp::from_millis(at_us / MICROS_PER_MILLI)
}
