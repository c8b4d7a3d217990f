//! Paced copying of histories to a holder that has taken another's place.

use std::collections::VecDeque;
use std::time::Duration;

use ibisdale_core::{MILLIS_PER_SECOND, ProgramId, TimeStamp};

use crate::replication::holders::HolderKey;

/// One history to copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecopyTask {
    /// The root program.
    pub program: ProgramId,
    /// The holder that gets the copy.
    pub holder: HolderKey,
    /// The first record to send.
    pub from: u64,
    /// Length of what is sent, in bytes.
    pub bytes: u64,
}

/// Histories that wait to be copied.
///
/// Programs with a caller waiting go first and unpaced; the others share a rate
/// of bytes a second. A history longer than what the rate allows at once goes
/// when nothing is owed, and the next one waits until it is paid off.
#[derive(Debug)]
pub struct RecopyQueue {
    bytes_per_second: u64,
    free_at: TimeStamp,
    urgent: VecDeque<RecopyTask>,
    waiting: VecDeque<RecopyTask>,
}

impl RecopyQueue {
    /// Creates a queue that sends at most `bytes_per_second`, over time.
    #[must_use]
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            free_at: TimeStamp::default(),
            urgent: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Adds a history; one that is queued for the holder already is replaced.
    pub fn push(&mut self, task: RecopyTask) {
        self.remove(task.program, task.holder);
        self.waiting.push_back(task);
    }

    /// Lets a program's copies go first, since a caller waits for an append.
    pub fn hurry(&mut self, program: ProgramId) {
        let (urgent, waiting): (Vec<_>, Vec<_>) = self
            .waiting
            .drain(..)
            .partition(|task| task.program == program);
        self.waiting = waiting.into();
        self.urgent.extend(urgent);
    }

    /// Drops the copies of a program that ended.
    pub fn cancel(&mut self, program: ProgramId) {
        self.urgent.retain(|task| task.program != program);
        self.waiting.retain(|task| task.program != program);
    }

    /// Returns the next history to copy, if its time has come.
    pub fn next(&mut self, now: TimeStamp) -> Option<RecopyTask> {
        let task = match self.urgent.pop_front() {
            Some(task) => task,
            None if self.free_at <= now => self.waiting.pop_front()?,
            None => return None,
        };
        let cost_ms = task.bytes.saturating_mul(MILLIS_PER_SECOND) / self.bytes_per_second;
        let start = self.free_at.max(now);
        self.free_at = start.plus(Duration::from_millis(cost_ms));
        Some(task)
    }

    /// Returns when [`RecopyQueue::next`] is to be asked again.
    #[must_use]
    pub fn next_time(&self) -> Option<TimeStamp> {
        if !self.urgent.is_empty() {
            return Some(TimeStamp::default());
        }
        (!self.waiting.is_empty()).then_some(self.free_at)
    }

    /// Returns the number of histories that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len() + self.waiting.len()
    }

    /// Tells whether nothing waits.
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
