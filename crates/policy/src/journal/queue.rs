//! Requests to record actions.

use std::collections::VecDeque;

use ibisdale_core::{AttemptKey, ProgramId, SlotId, StepNumber, TimeStamp};

/// Identifies a request to record an action; unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IntentTicket(pub(crate) u64);

/// Request to record an action before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentRequest {
    /// Program that the action belongs to.
    pub program: ProgramId,
    /// Step of the program.
    pub step: StepNumber,
    /// Key of the caller's attempt at the step.
    pub attempt: AttemptKey,
    /// Time at which the request is abandoned.
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

/// Removes and returns the items for which `is_match` returns true.
pub(crate) fn take_matching<T>(queue: &mut VecDeque<T>, is_match: impl Fn(&T) -> bool) -> Vec<T> {
    let (matching, kept): (Vec<T>, Vec<T>) = queue.drain(..).partition(is_match);
    queue.extend(kept);
    matching
}
