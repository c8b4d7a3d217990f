//! Rate-limited copying of histories to replacement holders.

use std::collections::VecDeque;
use std::time::Duration;

use ibisdale_core::{MILLIS_PER_SECOND, ProgramId, TimeStamp};

use crate::replication::holders::HolderKey;

/// History to copy to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecopyTask {
    /// Identifier of the root program.
    pub program: ProgramId,
    /// The holder that receives the copy.
    pub holder: HolderKey,
    /// Sequence of the first record to send.
    pub from: u64,
    /// Number of bytes to send.
    pub bytes: u64,
}

/// Queue of histories to copy.
///
/// Histories that a caller waits for are sent first and are not delayed by the
/// rate limit; the others share a rate in bytes per second. A history of any
/// length is sent as a whole, and the next rate-limited one is delayed until the
/// time that it takes at this rate has passed. Prioritized histories count
/// towards the rate too.
#[derive(Debug)]
pub struct RecopyQueue {
    bytes_per_second: u64,
    next_paced_at: TimeStamp,
    urgent: VecDeque<RecopyTask>,
    waiting: VecDeque<RecopyTask>,
}

impl RecopyQueue {
    /// Creates a queue with an average rate of `bytes_per_second`, of at least 1.
    #[must_use]
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            next_paced_at: TimeStamp::default(),
            urgent: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Adds a history; replaces a queued task for the same program and holder.
    pub fn push(&mut self, task: RecopyTask) {
        self.remove(task.program, task.holder);
        self.waiting.push_back(task);
    }

    /// Moves a program's tasks ahead of the others, because a caller waits for an
    /// append.
    pub fn prioritize(&mut self, program: ProgramId) {
        let (urgent, waiting): (Vec<_>, Vec<_>) = self
            .waiting
            .drain(..)
            .partition(|task| task.program == program);
        self.waiting = waiting.into();
        self.urgent.extend(urgent);
    }

    /// Removes the tasks of a program that ended.
    pub fn cancel(&mut self, program: ProgramId) {
        self.urgent.retain(|task| task.program != program);
        self.waiting.retain(|task| task.program != program);
    }

    /// Removes and returns the next history to copy, if one is due.
    pub fn next(&mut self, now: TimeStamp) -> Option<RecopyTask> {
        let task = match self.urgent.pop_front() {
            Some(task) => task,
            None if self.next_paced_at <= now => self.waiting.pop_front()?,
            None => return None,
        };
        let cost_ms = task.bytes.saturating_mul(MILLIS_PER_SECOND) / self.bytes_per_second;
        let start = self.next_paced_at.max(now);
        self.next_paced_at = start.plus(Duration::from_millis(cost_ms));
        Some(task)
    }

    /// Returns when the next task is due, or `None` if the queue is empty.
    #[must_use]
    pub fn next_time(&self) -> Option<TimeStamp> {
        if !self.urgent.is_empty() {
            return Some(TimeStamp::default());
        }
        (!self.waiting.is_empty()).then_some(self.next_paced_at)
    }

    /// Returns the number of queued tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len() + self.waiting.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn remove(&mut self, program: ProgramId, holder: HolderKey) {
        let is_other = |task: &RecopyTask| (task.program, task.holder) != (program, holder);
        self.urgent.retain(is_other);
        self.waiting.retain(is_other);
    }
}
