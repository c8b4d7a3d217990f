//! Builds the writes of this daemon's journal, each for a group of requests (group
//! commit).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use ibisdale_core::{ProgramId, SlotId, StepNumber, TimeStamp};

use super::entry::{EntryState, JournalEntry, JournalValue};
use super::queue::{IntentRequest, IntentTicket, QueuedIntent, take_matching};

/// Size limits of a journal and the timing of its writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalLimits {
    /// Maximum number of entries in the value, and of waiting requests.
    pub max_entries: usize,
    /// Maximum number of requests in a write.
    pub max_group_size: usize,
    /// Minimum time between the starts of two writes, per live daemon: a daemon waits
    /// this time multiplied by the number of live daemons, so that the daemons
    /// together write at most once per interval on average.
    pub commit_interval: Duration,
    /// Time after which outcomes and withdrawals are written without a new request.
    pub outcome_delay: Duration,
}

impl Default for JournalLimits {
    fn default() -> Self {
        Self {
            max_entries: 1_024,
            max_group_size: 64,
            commit_interval: Duration::from_millis(5),
            outcome_delay: Duration::from_secs(2),
        }
    }
}

/// Reason why a request recorded nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotCommittedReason {
    /// This daemon does not own the program's slot or no longer owns it.
    NotOwner,
    /// The step is already recorded, by this attempt or another.
    AlreadyRecorded(EntryState),
    /// The journal or its queue is full.
    JournalFull,
    /// The deadline passed before anything was written.
    DeadlinePassed,
}

/// Result of a request to record an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentVerdict {
    /// The intent is recorded; the action may be sent once.
    Committed {
        /// Epoch of the program's slot.
        epoch: u64,
    },
    /// This request recorded nothing and never will.
    NotCommitted(NotCommittedReason),
    /// The intent may be recorded; the action must not be sent.
    Unknown,
}

/// Verdict on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntentReceipt {
    /// Ticket that identifies the request.
    pub ticket: IntentTicket,
    /// Result of the request.
    pub verdict: IntentVerdict,
}

/// Requests that one write records, and the value that it stores.
#[derive(Clone, Debug)]
pub(crate) struct CommitGroup {
    pub(crate) value: JournalValue,
    pub(crate) intents: Vec<QueuedIntent>,
}

impl CommitGroup {
    pub(crate) fn slots(&self) -> BTreeSet<SlotId> {
        self.intents.iter().map(QueuedIntent::slot).collect()
    }
}

/// State of the journal of this daemon's registration.
#[derive(Clone, Debug)]
pub struct JournalWriter {
    limits: JournalLimits,
    value: JournalValue,
    revision: i64,
    queue: VecDeque<QueuedIntent>,
    in_flight: Vec<QueuedIntent>,
    finished: BTreeSet<(ProgramId, StepNumber)>,
    withdrawn: BTreeSet<(ProgramId, StepNumber)>,
    dropped_slots: BTreeSet<SlotId>,
    unwritten_since: Option<TimeStamp>,
    last_commit_at: Option<TimeStamp>,
    not_before: TimeStamp,
    daemon_count: u32,
    next_ticket: u64,
    receipts: Vec<IntentReceipt>,
}

impl JournalWriter {
    pub(crate) fn new(limits: JournalLimits) -> Self {
        Self {
            limits,
            value: JournalValue::default(),
            revision: 0,
            queue: VecDeque::new(),
            in_flight: Vec::new(),
            finished: BTreeSet::new(),
            withdrawn: BTreeSet::new(),
            dropped_slots: BTreeSet::new(),
            unwritten_since: None,
            last_commit_at: None,
            not_before: TimeStamp::default(),
            daemon_count: 1,
            next_ticket: 0,
            receipts: Vec::new(),
        }
    }

    /// Returns the revision of the value in the key-value service.
    #[must_use]
    pub fn get_revision(&self) -> i64 {
        self.revision
    }

    /// Returns the value in the key-value service, as last confirmed.
    #[must_use]
    pub fn get_value(&self) -> &JournalValue {
        &self.value
    }

    pub(crate) fn push(&mut self, request: IntentRequest) -> IntentTicket {
        self.next_ticket += 1;
        let ticket = IntentTicket(self.next_ticket);
        let intent = QueuedIntent { ticket, request };
        if self.queue.len() < self.limits.max_entries {
            self.queue.push_back(intent);
        } else {
            self.refuse(&intent, NotCommittedReason::JournalFull);
        }
        ticket
    }

    /// Marks as finished an action whose outcome is stored in the program's history.
    /// The next write sets its entry to `EntryState::Outcome`.
    pub(crate) fn finish(&mut self, program: ProgramId, step: StepNumber, now: TimeStamp) {
        self.finished.insert((program, step));
        self.unwritten_since.get_or_insert(now);
    }

    /// Marks an action that was not sent and never will be. The next write removes its
    /// entry.
    pub(crate) fn withdraw(&mut self, program: ProgramId, step: StepNumber, now: TimeStamp) {
        self.withdrawn.insert((program, step));
        self.unwritten_since.get_or_insert(now);
    }

    /// Marks for removal the entries of a slot that another daemon has taken over.
    pub(crate) fn drop_slot(&mut self, slot: SlotId) {
        if self.value.entries.iter().any(|entry| entry.slot() == slot) {
            self.dropped_slots.insert(slot);
        }
    }

    /// Keeps the entries of a slot that this daemon owns again.
    pub(crate) fn keep_slot(&mut self, slot: SlotId) {
        self.dropped_slots.remove(&slot);
    }

    pub(crate) fn take_receipts(&mut self) -> Vec<IntentReceipt> {
        std::mem::take(&mut self.receipts)
    }

    /// Abandons requests whose deadline has passed.
    ///
    /// A request in a pending write may still be recorded, so its verdict is unknown
    /// and its entry is withdrawn.
    pub(crate) fn expire(&mut self, now: TimeStamp) {
        let is_expired = |intent: &QueuedIntent| intent.request.deadline <= now;
        for intent in take_matching(&mut self.queue, is_expired) {
            self.refuse(&intent, NotCommittedReason::DeadlinePassed);
        }
        let (expired, kept) = self.in_flight.drain(..).partition(is_expired);
        self.in_flight = kept;
        for intent in Vec::from_iter::<Vec<QueuedIntent>>(expired) {
            self.answer(intent.ticket, IntentVerdict::Unknown);
            self.withdraw(intent.request.program, intent.request.step, now);
        }
    }

    fn refuse(&mut self, intent: &QueuedIntent, reason: NotCommittedReason) {
        self.answer(intent.ticket, IntentVerdict::NotCommitted(reason));
    }

    fn answer(&mut self, ticket: IntentTicket, verdict: IntentVerdict) {
        self.receipts.push(IntentReceipt { ticket, verdict });
    }

    /// Returns the slots of the waiting requests.
    pub(crate) fn queued_slots(&self) -> BTreeSet<SlotId> {
        self.queue.iter().map(QueuedIntent::slot).collect()
    }

    /// Sets the number of live daemons, by which the interval between writes is
    /// multiplied.
    pub(crate) fn set_daemon_count(&mut self, count: usize) {
        self.daemon_count = u32::try_from(count).unwrap_or(u32::MAX).max(1);
    }

    /// Delays writes until `until`.
    pub(crate) fn pause(&mut self, until: TimeStamp) {
        self.not_before = until;
    }

    /// Returns when the next write is due, or `None` if there is nothing to write.
    pub(crate) fn commit_due(&self) -> Option<TimeStamp> {
        let next_commit_at = self.last_commit_at.map_or(TimeStamp::default(), |last| {
            last.plus(self.limits.commit_interval * self.daemon_count)
        });
        let earliest = next_commit_at.max(self.not_before);
        if !self.queue.is_empty() {
            return Some(earliest);
        }
        let since = self.unwritten_since?;
        Some(earliest.max(since.plus(self.limits.outcome_delay)))
    }

    /// Returns the earliest deadline of a queued or in-flight request.
    pub(crate) fn next_deadline(&self) -> Option<TimeStamp> {
        let unanswered = self.queue.iter().chain(&self.in_flight);
        unanswered.map(|intent| intent.request.deadline).min()
    }

    /// Builds the next write. `epochs` holds the epochs of the owned slots.
    ///
    /// Returns `None` if neither a request nor a change of an entry is to be written.
    pub(crate) fn start_commit(
        &mut self,
        nonce: u64,
        now: TimeStamp,
        epochs: &BTreeMap<SlotId, u64>,
    ) -> Option<CommitGroup> {
        let mut value = self.next_value(nonce);
        let mut intents = Vec::new();
        while intents.len() < self.limits.max_group_size {
            let Some(intent) = self.queue.pop_front() else {
                break;
            };
            match self.admit(&value, &intent, epochs.get(&intent.slot()).copied()) {
                Ok(entry) => {
                    let key = (entry.program, entry.step);
                    self.withdrawn.remove(&key);
                    self.finished.remove(&key);
                    value.entries.push(entry);
                    intents.push(intent);
                }
                Err(reason) => self.refuse(&intent, reason),
            }
        }
        if intents.is_empty() && value.entries == self.value.entries {
            self.unwritten_since = None;
            return None;
        }
        self.in_flight.clone_from(&intents);
        self.last_commit_at = Some(now);
        Some(CommitGroup { value, intents })
    }

    fn admit(
        &self,
        value: &JournalValue,
        intent: &QueuedIntent,
        epoch: Option<u64>,
    ) -> Result<JournalEntry, NotCommittedReason> {
        let request = &intent.request;
        let epoch = epoch.ok_or(NotCommittedReason::NotOwner)?;
        if let Some(entry) = value.find(request.program, request.step) {
            return Err(NotCommittedReason::AlreadyRecorded(entry.state));
        }
        if value.entries.len() >= self.limits.max_entries {
            return Err(NotCommittedReason::JournalFull);
        }
        Ok(JournalEntry {
            program: request.program,
            step: request.step,
            attempt: request.attempt.clone(),
            epoch,
            state: EntryState::Intent,
        })
    }

    /// Returns the value with new outcomes set and without entries that are no longer
    /// needed.
    ///
    /// An outcome is kept until the write after the one that recorded it, so that the
    /// next owner finds it if the program's history lags behind.
    fn next_value(&self, nonce: u64) -> JournalValue {
        let mut entries = Vec::new();
        for entry in &self.value.entries {
            let key = (entry.program, entry.step);
            let is_dropped = self.dropped_slots.contains(&entry.slot());
            if is_dropped || entry.state == EntryState::Outcome || self.withdrawn.contains(&key) {
                continue;
            }
            let mut entry = entry.clone();
            if self.finished.contains(&key) {
                entry.state = EntryState::Outcome;
            }
            entries.push(entry);
        }
        JournalValue {
            is_sealed: false,
            nonce,
            entries,
        }
    }

    /// Returns the value with the entries of `slots` replaced by `taken_over`, which come
    /// from the journals of the previous owners.
    pub(crate) fn value_with_taken_over(
        &self,
        slots: &[SlotId],
        taken_over: Vec<JournalEntry>,
        nonce: u64,
    ) -> JournalValue {
        let mut value = self.value.clone();
        value.nonce = nonce;
        value.entries.retain(|entry| !slots.contains(&entry.slot()));
        value.entries.extend(taken_over);
        value
    }

    /// Adopts a value that is known to be in the key-value service.
    pub(crate) fn adopt(&mut self, value: JournalValue, revision: i64) {
        self.value = value;
        self.revision = revision;
        let value = &self.value;
        self.finished.retain(|(program, step)| {
            value
                .find(*program, *step)
                .is_some_and(|entry| entry.state == EntryState::Intent)
        });
        self.withdrawn
            .retain(|(program, step)| value.find(*program, *step).is_some());
        self.dropped_slots
            .retain(|slot| value.entries.iter().any(|entry| entry.slot() == *slot));
        if self.finished.is_empty() && self.withdrawn.is_empty() {
            self.unwritten_since = None;
        }
    }

    /// Completes a write that was applied.
    pub(crate) fn commit_applied(&mut self, group: CommitGroup, revision: i64) {
        self.adopt(group.value, revision);
        for intent in std::mem::take(&mut self.in_flight) {
            let request = &intent.request;
            let entry = self.value.find(request.program, request.step);
            let verdict = entry.map_or(IntentVerdict::Unknown, |entry| IntentVerdict::Committed {
                epoch: entry.epoch,
            });
            self.answer(intent.ticket, verdict);
        }
    }

    /// Completes a write that is known not to be applied. Its requests are queued
    /// again for the next write.
    pub(crate) fn commit_refused(&mut self) {
        for intent in std::mem::take(&mut self.in_flight).into_iter().rev() {
            self.queue.push_front(intent);
        }
    }

    /// Completes a write that may or may not have been applied.
    pub(crate) fn commit_unknown(&mut self, now: TimeStamp) {
        for intent in std::mem::take(&mut self.in_flight) {
            self.answer(intent.ticket, IntentVerdict::Unknown);
            self.withdraw(intent.request.program, intent.request.step, now);
        }
    }

    /// Resets the writer for the next registration's journal.
    pub(crate) fn reset(&mut self) {
        let queue = std::mem::take(&mut self.queue);
        for intent in queue {
            self.refuse(&intent, NotCommittedReason::NotOwner);
        }
        for intent in std::mem::take(&mut self.in_flight) {
            self.answer(intent.ticket, IntentVerdict::Unknown);
        }
        let next_ticket = self.next_ticket;
        let receipts = self.take_receipts();
        *self = Self::new(self.limits);
        self.next_ticket = next_ticket;
        self.receipts = receipts;
    }
}
