//! Actions that wait to be recorded.

use std::collections::VecDeque;

use ibisdale_core::{AttemptKey, ProgramId, SlotId, StepNumber, TimeStamp};

/// Identifies a request to record an action, in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IntentTicket(pub(crate) u64);

/// Asks for an action to be recorded before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentRequest {
    /// The program.
    pub program: ProgramId,
    /// The step.
    pub step: StepNumber,
    /// The caller's attempt.
    pub attempt: AttemptKey,
    /// When the request is given up.
    pub deadline: TimeStamp,
}

#[derive(Clone, Debug)]
pub(crate) struct QueuedIntent {
    pub(crate) ticket: IntentTicket,
    pub(crate) request: IntentRequest,
}

impl QueuedIntent {
    pub(crate) fn slot(&self) -> SlotId {
        self.request.program.slot()
    }
}

/// Removes and returns the items for which `is_taken` holds.
pub(crate) fn take_matching<T>(queue: &mut VecDeque<T>, is_taken: impl Fn(&T) -> bool) -> Vec<T> {
    let (taken, kept): (Vec<T>, Vec<T>) = queue.drain(..).partition(is_taken);
    queue.extend(kept);
    taken
}
