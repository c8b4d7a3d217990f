//! Executes one write at a time and retries it unchanged until its outcome is known.
//!
//! The conditions of a write require the revisions that it replaces, so it takes effect
//! at most once, however often it is sent and however late it arrives. Exceptions are
//! the announcement of a drain and the deletion of a journal, which may be applied
//! more than once.

use std::collections::BTreeMap;

use bytes::Bytes;
use ibisdale_core::{SlotId, TimeStamp};

use super::call::{
    CallFailure, ConditionalWrite, KeyChange, KeyCondition, KeyEntry, KeyWrite, StoreCall,
    WriteOutcome,
};
use super::keys::{daemon_key, journal_key, slot_key};
use super::machine::{CallPurpose, OwnershipMachine};
use super::record::{RegistrationId, to_json};
use super::registration::RegistrationState;
use super::timing::RetryTimer;
use crate::journal::{CommitGroup, JournalValue};

/// Purpose of a write.
#[derive(Clone, Debug)]
pub(crate) enum WritePurpose {
    /// Writes the daemon's record and its empty journal.
    Register(RegistrationId),
    /// Marks the daemon as draining in its record.
    AnnounceDrain,
    /// Takes over slots.
    Takeover,
    /// Releases slots.
    Release,
    /// Records paid actions in the journal.
    Commit(CommitGroup),
    /// Deletes the journal of an ended registration.
    DeleteJournal(RegistrationId),
}

/// The write in progress, retried until its outcome is known.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    write: ConditionalWrite,
    purpose: WritePurpose,
    nonce: u64,
    timer: RetryTimer,
    /// Whether an earlier attempt may have taken effect.
    may_be_applied: bool,
}

impl PendingWrite {
    pub(crate) fn new(
        write: ConditionalWrite,
        purpose: WritePurpose,
        nonce: u64,
        now: TimeStamp,
    ) -> Self {
        Self {
            write,
            purpose,
            nonce,
            timer: RetryTimer::due_at(now),
            may_be_applied: false,
        }
    }

    /// Returns whether this is a commit that certainly has not been applied.
    fn is_unapplied_commit(&self) -> bool {
        !self.may_be_applied && matches!(self.purpose, WritePurpose::Commit(_))
    }

    pub(crate) fn next_wake(&self) -> Option<TimeStamp> {
        self.timer.next_wake()
    }
}

impl OwnershipMachine {
    /// Starts the next write if none is in progress, and issues it when due.
    pub(crate) fn poll_writer(&mut self, now: TimeStamp) {
        if self.pending_write.is_none() {
            self.pending_write = self.next_write(now);
        }
        let Some(pending) = &mut self.pending_write else {
            return;
        };
        if pending.timer.is_due(now) {
            pending.timer.start();
            let write = pending.write.clone();
            self.issue(StoreCall::Write(write), CallPurpose::Write);
        }
    }

    fn next_write(&mut self, now: TimeStamp) -> Option<PendingWrite> {
        let RegistrationState::Active {
            registration,
            lease,
            ..
        } = self.registration_state.clone()
        else {
            return None;
        };
        let nonce = self.random.nonce();
        if self.is_draining && !self.is_drain_announced() {
            let write = self.drain_announcement_write(&registration, lease, nonce);
            return Some(PendingWrite::new(
                write,
                WritePurpose::AnnounceDrain,
                nonce,
                now,
            ));
        }
        if let Some(write) = self.takeover_write(&registration, lease, nonce) {
            return Some(PendingWrite::new(write, WritePurpose::Takeover, nonce, now));
        }
        if let Some(write) = self.release_write(nonce, now) {
            return Some(PendingWrite::new(write, WritePurpose::Release, nonce, now));
        }
        if let Some((write, group)) = self.commit_write(&registration, nonce, now) {
            let purpose = WritePurpose::Commit(group);
            return Some(PendingWrite::new(write, purpose, nonce, now));
        }
        let (write, registration) = self.journal_deletion_write(now)?;
        Some(PendingWrite::new(
            write,
            WritePurpose::DeleteJournal(registration),
            nonce,
            now,
        ))
    }

    fn drain_announcement_write(
        &self,
        registration: &RegistrationId,
        lease: i64,
        nonce: u64,
    ) -> ConditionalWrite {
        let key = daemon_key(&registration.name);
        ConditionalWrite {
            conditions: vec![KeyCondition::Lease {
                key: key.clone(),
                lease,
            }],
            writes: vec![self.daemon_write(registration, lease, nonce, true)],
            failure_reads: vec![key],
        }
    }

    fn commit_write(
        &mut self,
        registration: &RegistrationId,
        nonce: u64,
        now: TimeStamp,
    ) -> Option<(ConditionalWrite, CommitGroup)> {
        if self.journal.commit_due().is_none_or(|due| due > now) {
            return None;
        }
        let slots = self.journal.queued_slots().into_iter();
        let epochs = slots.filter_map(|slot| Some((slot, self.own_epoch(slot)?)));
        let epochs: BTreeMap<SlotId, u64> = epochs.collect();
        let group = self.journal.start_commit(nonce, now, &epochs)?;
        let key = journal_key(registration);
        let mut write = ConditionalWrite {
            conditions: vec![KeyCondition::Revision {
                key: key.clone(),
                revision: self.journal.get_revision(),
            }],
            writes: vec![KeyWrite {
                key: key.clone(),
                value: Some(to_json(&group.value)),
                lease: None,
            }],
            failure_reads: vec![key],
        };
        for slot in group.slots() {
            self.require_slot_unchanged(&mut write, slot);
        }
        Some((write, group))
    }

    /// Adds the condition that a slot's record is at the revision last seen.
    pub(crate) fn require_slot_unchanged(&self, write: &mut ConditionalWrite, slot: SlotId) {
        let key = slot_key(slot);
        let revision = self.view.slot(slot).map_or(0, |view| view.revision);
        write.conditions.push(KeyCondition::Revision {
            key: key.clone(),
            revision,
        });
        write.failure_reads.push(key);
    }

    /// Handles the result of the current write.
    pub(crate) fn on_write_response(
        &mut self,
        response: Result<WriteOutcome, CallFailure>,
        now: TimeStamp,
    ) {
        let Some(mut pending) = self.pending_write.take() else {
            return;
        };
        match response {
            Ok(WriteOutcome::Applied { revision }) => self.on_applied(pending, revision, now),
            Ok(WriteOutcome::ConditionFailed { revision, entries }) => {
                self.on_condition_failed(&pending, revision, &entries, now);
            }
            Err(CallFailure::Rejected) => self.on_rejected(&pending, now),
            Err(CallFailure::NotApplied) if pending.is_unapplied_commit() => {
                // Nothing was recorded, so the requests return to the queue. If their
                // deadline passes there, they are known not to be committed.
                self.journal.commit_refused();
                let delay = self.random.retry_delay(1);
                self.journal.pause(now.plus(delay));
            }
            Err(failure) => {
                pending.may_be_applied |= failure == CallFailure::Unknown;
                pending.timer.fail(now, &mut self.random);
                self.pending_write = Some(pending);
            }
        }
    }

    fn on_applied(&mut self, pending: PendingWrite, revision: i64, now: TimeStamp) {
        for write in pending.write.writes {
            self.update_key(write.key, write.value, revision);
        }
        self.finish_write(pending.purpose, Some(revision), now);
        self.on_view_change(now);
    }

    /// Updates the local copy of a key.
    fn update_key(&mut self, key: Bytes, value: Option<Bytes>, revision: i64) {
        if self.own_journal_key().as_ref() == Some(&key) {
            let value = value.and_then(|value| serde_json::from_slice(&value).ok());
            if let Some(value) = value {
                self.journal.adopt(value, revision);
            }
            return;
        }
        self.view.apply(&KeyChange {
            key,
            value,
            revision,
        });
    }

    /// Ends a write; `revision` is its revision if it is known to have taken effect.
    fn finish_write(&mut self, purpose: WritePurpose, revision: Option<i64>, now: TimeStamp) {
        match purpose {
            WritePurpose::Register(registration) => {
                self.finish_registration_write(registration, revision, now);
            }
            WritePurpose::Commit(group) => match revision {
                Some(revision) => self.journal.commit_applied(group, revision),
                None => self.journal.commit_refused(),
            },
            WritePurpose::Takeover => self.finish_takeover(revision.is_some(), now),
            WritePurpose::Release => self.finish_release(now),
            WritePurpose::DeleteJournal(registration) if revision.is_some() => {
                self.view.remove_ended_registration(&registration);
            }
            WritePurpose::DeleteJournal(_) | WritePurpose::AnnounceDrain => {}
        }
    }

    /// Handles a failed condition: updates the local copies of the keys read back, and
    /// ends the write. The nonce of this write in this daemon's journal shows that an
    /// earlier attempt took effect.
    fn on_condition_failed(
        &mut self,
        pending: &PendingWrite,
        revision: i64,
        entries: &[KeyEntry],
        now: TimeStamp,
    ) {
        let journal_key = match &pending.purpose {
            WritePurpose::Register(registration) => Some(journal_key(registration)),
            _ => self.own_journal_key(),
        };
        let mut applied = None;
        let mut is_journal_unusable = false;
        for key in &pending.write.failure_reads {
            let found = entries.iter().find(|entry| entry.key == *key);
            if Some(key) != journal_key.as_ref() {
                let value = found.map(|entry| entry.value.clone());
                let revision = found.map_or(revision, |entry| entry.revision);
                self.update_key(key.clone(), value, revision);
                continue;
            }
            let value = found.and_then(|entry| parse_journal(&entry.value));
            match (found, value) {
                (Some(entry), Some(value)) if value.nonce == pending.nonce && !value.is_sealed => {
                    applied = Some(entry.revision);
                }
                (_, Some(value)) => is_journal_unusable = value.is_sealed,
                (_, None) => is_journal_unusable = true,
            }
            if applied.is_some()
                && let Some(entry) = found
            {
                self.update_key(key.clone(), Some(entry.value.clone()), entry.revision);
            }
        }
        let is_registration = matches!(pending.purpose, WritePurpose::Register(_));
        if is_journal_unusable && !is_registration {
            self.restart_registration(now);
            return;
        }
        self.finish_write(pending.purpose.clone(), applied, now);
        self.on_view_change(now);
    }

    /// Ends a write that the service rejected.
    fn on_rejected(&mut self, pending: &PendingWrite, now: TimeStamp) {
        if pending.may_be_applied && matches!(pending.purpose, WritePurpose::Commit(_)) {
            self.journal.commit_unknown(now);
            return;
        }
        self.finish_write(pending.purpose.clone(), None, now);
    }
}

fn parse_journal(value: &[u8]) -> Option<JournalValue> {
    serde_json::from_slice(value).ok()
}
