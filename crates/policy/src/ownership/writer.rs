//! Executes one write at a time and retries it unchanged until its outcome is known.
//!
//! The conditions of a write name the revisions that it replaces. It therefore takes
//! effect at most once, however often it is sent and however late it arrives.

use std::collections::BTreeMap;

use bytes::Bytes;
use ibisdale_core::{SlotId, TimeStamp};

use super::call::{
    CallFailure, ConditionalWrite, KeyChange, KeyCondition, KeyEntry, KeyWrite, StoreCall,
    WriteOutcome,
};
use super::keys::{daemon_key, journal_key, slot_key};
use super::machine::{CallPurpose, OwnershipMachine};
use super::record::{OwnerIdentity, to_json};
use super::session::SessionState;
use super::timing::RetryTimer;
use crate::journal::{CommitGroup, JournalValue};

/// Purpose of a write.
#[derive(Clone, Debug)]
pub(crate) enum WriteKind {
    /// Writes the daemon's record and its empty journal.
    Register(OwnerIdentity),
    /// Marks the daemon's record as draining.
    AnnounceDrain,
    /// Takes over slots.
    Takeover,
    /// Releases slots.
    Release,
    /// Records paid actions in the journal.
    Commit(CommitGroup),
    /// Deletes the journal of an ended registration.
    Prune(OwnerIdentity),
}

/// The write that is currently executed.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    write: ConditionalWrite,
    kind: WriteKind,
    nonce: u64,
    timer: RetryTimer,
    /// Whether an earlier attempt may have taken effect.
    may_be_applied: bool,
}

impl PendingWrite {
    pub(crate) fn new(
        write: ConditionalWrite,
        kind: WriteKind,
        nonce: u64,
        now: TimeStamp,
    ) -> Self {
        Self {
            write,
            kind,
            nonce,
            timer: RetryTimer::at(now),
            may_be_applied: false,
        }
    }

    /// Returns whether this is a commit that no earlier attempt may have applied.
    fn is_unapplied_commit(&self) -> bool {
        !self.may_be_applied && matches!(self.kind, WriteKind::Commit(_))
    }

    pub(crate) fn wake(&self) -> Option<TimeStamp> {
        self.timer.wake()
    }
}

impl OwnershipMachine {
    /// Starts the next write if there is none, and issues the current one if it is
    /// due.
    pub(crate) fn poll_writer(&mut self, now: TimeStamp) {
        if self.writer.is_none() {
            self.writer = self.next_write(now);
        }
        let Some(pending) = &mut self.writer else {
            return;
        };
        if pending.timer.is_due(now) {
            pending.timer.start();
            let write = pending.write.clone();
            self.issue(StoreCall::Write(write), CallPurpose::Write);
        }
    }

    fn next_write(&mut self, now: TimeStamp) -> Option<PendingWrite> {
        let SessionState::Active {
            identity, lease, ..
        } = self.session.clone()
        else {
            return None;
        };
        let nonce = self.random.nonce();
        if self.is_draining && !self.is_drain_announced() {
            let write = self.drain_announcement_write(&identity, lease, nonce);
            return Some(PendingWrite::new(
                write,
                WriteKind::AnnounceDrain,
                nonce,
                now,
            ));
        }
        if let Some(write) = self.takeover_write(&identity, lease, nonce) {
            return Some(PendingWrite::new(write, WriteKind::Takeover, nonce, now));
        }
        if let Some(write) = self.release_write(nonce, now) {
            return Some(PendingWrite::new(write, WriteKind::Release, nonce, now));
        }
        if let Some((write, group)) = self.commit_write(&identity, nonce, now) {
            let kind = WriteKind::Commit(group);
            return Some(PendingWrite::new(write, kind, nonce, now));
        }
        let (write, owner) = self.prune_write(now)?;
        Some(PendingWrite::new(
            write,
            WriteKind::Prune(owner),
            nonce,
            now,
        ))
    }

    fn drain_announcement_write(
        &self,
        identity: &OwnerIdentity,
        lease: i64,
        nonce: u64,
    ) -> ConditionalWrite {
        let key = daemon_key(&identity.name);
        ConditionalWrite {
            conditions: vec![KeyCondition::Lease {
                key: key.clone(),
                lease,
            }],
            writes: vec![self.daemon_write(identity, lease, nonce, true)],
            failure_reads: vec![key],
        }
    }

    fn commit_write(
        &mut self,
        identity: &OwnerIdentity,
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
        let key = journal_key(identity);
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
            self.require_slot(&mut write, slot);
        }
        Some((write, group))
    }

    /// Adds the condition that a slot's record has its known revision.
    pub(crate) fn require_slot(&self, write: &mut ConditionalWrite, slot: SlotId) {
        let key = slot_key(slot);
        let revision = self.view.slot(slot).map_or(0, |view| view.revision);
        write.conditions.push(KeyCondition::Revision {
            key: key.clone(),
            revision,
        });
        write.failure_reads.push(key);
    }

    /// Handles the result of the current write.
    pub(crate) fn on_write_answer(
        &mut self,
        answer: Result<WriteOutcome, CallFailure>,
        now: TimeStamp,
    ) {
        let Some(mut pending) = self.writer.take() else {
            return;
        };
        match answer {
            Ok(WriteOutcome::Applied { revision }) => self.on_applied(pending, revision, now),
            Ok(WriteOutcome::ConditionFailed { revision, entries }) => {
                self.on_condition_failed(&pending, revision, &entries, now);
            }
            Err(CallFailure::Rejected) => self.on_rejected(&pending, now),
            Err(CallFailure::NotApplied) if pending.is_unapplied_commit() => {
                // Nothing was recorded, so the requests return to the queue, where they
                // can still expire as not committed.
                self.journal.commit_refused();
                let delay = self.random.retry_delay(1);
                self.journal.pause(now.plus(delay));
            }
            Err(failure) => {
                pending.may_be_applied |= failure == CallFailure::Unknown;
                pending.timer.fail(now, &mut self.random);
                self.writer = Some(pending);
            }
        }
    }

    fn on_applied(&mut self, pending: PendingWrite, revision: i64, now: TimeStamp) {
        for write in pending.write.writes {
            self.update_key(write.key, write.value, revision);
        }
        self.finish_write(pending.kind, Some(revision), now);
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
    fn finish_write(&mut self, kind: WriteKind, revision: Option<i64>, now: TimeStamp) {
        match kind {
            WriteKind::Register(identity) => self.finish_registration(identity, revision, now),
            WriteKind::Commit(group) => match revision {
                Some(revision) => self.journal.commit_applied(group, revision),
                None => self.journal.commit_refused(),
            },
            WriteKind::Takeover => self.finish_takeover(revision.is_some(), now),
            WriteKind::Release => self.finish_release(now),
            WriteKind::Prune(owner) if revision.is_some() => {
                self.view.remove_ended_registration(&owner);
            }
            WriteKind::Prune(_) | WriteKind::AnnounceDrain => {}
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
        let journal_key = match &pending.kind {
            WriteKind::Register(identity) => Some(journal_key(identity)),
            _ => self.own_journal_key(),
        };
        let mut applied = None;
        let mut is_journal_lost = false;
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
                (_, Some(value)) => is_journal_lost = value.is_sealed,
                (_, None) => is_journal_lost = true,
            }
            if applied.is_some()
                && let Some(entry) = found
            {
                self.update_key(key.clone(), Some(entry.value.clone()), entry.revision);
            }
        }
        let is_registration = matches!(pending.kind, WriteKind::Register(_));
        if is_journal_lost && !is_registration {
            self.restart_registration(now);
            return;
        }
        self.finish_write(pending.kind.clone(), applied, now);
        self.on_view_change(now);
    }

    /// Ends a write that the service rejected.
    fn on_rejected(&mut self, pending: &PendingWrite, now: TimeStamp) {
        if pending.may_be_applied && matches!(pending.kind, WriteKind::Commit(_)) {
            self.journal.commit_unknown(now);
            return;
        }
        self.finish_write(pending.kind.clone(), None, now);
    }
}

fn parse_journal(value: &[u8]) -> Option<JournalValue> {
    serde_json::from_slice(value).ok()
}
