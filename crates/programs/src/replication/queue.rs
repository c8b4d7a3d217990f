//! Rate-limited copying of histories to replacement holders.

use std::collections::VecDeque;
use std::time::Duration;

use ibisdale_core::{MILLIS_PER_SECOND, ProgramId, TimeStamp};

use crate::replication::holders::HolderKey;

/// History to copy to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationTask {
    /// Identifier of the root program.
    pub program: ProgramId,
    /// The holder that receives the copy.
    pub holder: HolderKey,
    /// Sequence number of the first record to send.
    pub from: u64,
    /// Number of bytes to send.
    pub bytes: u64,
}

/// Queue of histories to copy.
///
/// Histories that a caller waits for are sent first and are not delayed by the
/// rate limit; the others share a rate in bytes per second. A history of any
/// length is sent as a whole, and the next rate-limited one is delayed by its
/// length divided by the rate. Prioritized histories count towards the rate too.
#[derive(Debug)]
pub struct ReplicationQueue {
    bytes_per_second: u64,
    next_rate_limited_at: TimeStamp,
    prioritized: VecDeque<ReplicationTask>,
    waiting: VecDeque<ReplicationTask>,
}

impl ReplicationQueue {
    /// Creates a queue with an average rate of `bytes_per_second`; 0 is treated as 1.
    #[must_use]
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            next_rate_limited_at: TimeStamp::default(),
            prioritized: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Adds a history; replaces a queued task for the same program and holder.
    pub fn push(&mut self, task: ReplicationTask) {
        self.remove(task.program, task.holder);
        self.waiting.push_back(task);
    }

    /// Moves a program's tasks ahead of the others, because a caller waits for an
    /// append.
    pub fn prioritize(&mut self, program: ProgramId) {
        let (prioritized, waiting): (Vec<_>, Vec<_>) = self
            .waiting
            .drain(..)
            .partition(|task| task.program == program);
        self.waiting = waiting.into();
        self.prioritized.extend(prioritized);
    }

    /// Removes the tasks of a program that ended.
    pub fn cancel(&mut self, program: ProgramId) {
        self.prioritized.retain(|task| task.program != program);
        self.waiting.retain(|task| task.program != program);
    }

    /// Removes and returns the next history to copy, if one is due.
    pub fn next(&mut self, now: TimeStamp) -> Option<ReplicationTask> {
        let task = match self.prioritized.pop_front() {
            Some(task) => task,
            None if self.next_rate_limited_at <= now => self.waiting.pop_front()?,
            None => return None,
        };
        let cost_ms = task.bytes.saturating_mul(MILLIS_PER_SECOND) / self.bytes_per_second;
        let start = self.next_rate_limited_at.max(now);
        self.next_rate_limited_at = start.plus(Duration::from_millis(cost_ms));
        Some(task)
    }

    /// Returns when the next task is due, or `None` if the queue is empty.
    #[must_use]
    pub fn next_time(&self) -> Option<TimeStamp> {
        if !self.prioritized.is_empty() {
            return Some(TimeStamp::default());
        }
        (!self.waiting.is_empty()).then_some(self.next_rate_limited_at)
    }

    /// Returns the number of queued tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.prioritized.len() + self.waiting.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn remove(&mut self, program: ProgramId, holder: HolderKey) {
        let is_other = |task: &ReplicationTask| (task.program, task.holder) != (program, holder);
        self.prioritized.retain(is_other);
        self.waiting.retain(is_other);
    }
}
