//! Writes, one at a time, each repeated unchanged until its fate is known.
//!
//! A write names the revisions that it replaces, so it can take effect once at
//! most, however often it is sent and however late it arrives.

use std::collections::BTreeMap;

use bytes::Bytes;
use ibisdale_core::{SlotId, TimeStamp};

use super::call::{
    CallFailure, GuardedWrite, KeyChange, KeyCondition, KeyEntry, KeyWrite, StoreCall, WriteOutcome,
};
use super::keys::{daemon_key, journal_key, slot_key};
use super::machine::{CallPurpose, OwnershipMachine};
use super::pace::RetryTimer;
use super::record::{OwnerIdentity, to_json};
use super::session::SessionState;
use crate::journal::{CommitGroup, JournalValue};

/// What a write is for.
#[derive(Clone, Debug)]
pub(crate) enum WriteKind {
    Register(OwnerIdentity),
    Announce,
    Take,
    Release,
    Commit(CommitGroup),
    Prune(OwnerIdentity),
}

/// The write under way.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    write: GuardedWrite,
    kind: WriteKind,
    nonce: u64,
    timer: RetryTimer,
    is_unknown: bool,
}

impl PendingWrite {
    pub(crate) fn new(write: GuardedWrite, kind: WriteKind, nonce: u64, now: TimeStamp) -> Self {
        Self {
            write,
            kind,
            nonce,
            timer: RetryTimer::at(now),
            is_unknown: false,
        }
    }

    /// Tells whether this is a commit that is proven not to be in the store.
    fn is_unsent_commit(&self) -> bool {
        !self.is_unknown && matches!(self.kind, WriteKind::Commit(_))
    }

    pub(crate) fn wake(&self) -> Option<TimeStamp> {
        self.timer.wake()
    }
}

impl OwnershipMachine {
    /// Sends the write under way, if it is due.
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
        let nonce = self.pace.nonce();
        if self.is_draining && !self.is_announced() {
            let write = self.announce_write(&identity, lease, nonce);
            return Some(PendingWrite::new(write, WriteKind::Announce, nonce, now));
        }
        if let Some(write) = self.take_write(&identity, lease, nonce) {
            return Some(PendingWrite::new(write, WriteKind::Take, nonce, now));
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

    fn announce_write(&self, identity: &OwnerIdentity, lease: i64, nonce: u64) -> GuardedWrite {
        let key = daemon_key(&identity.name);
        GuardedWrite {
            conditions: vec![KeyCondition::Lease {
                key: key.clone(),
                lease,
            }],
            writes: vec![self.daemon_write(identity, lease, nonce, true)],
            reads_otherwise: vec![key],
        }
    }

    fn commit_write(
        &mut self,
        identity: &OwnerIdentity,
        nonce: u64,
        now: TimeStamp,
    ) -> Option<(GuardedWrite, CommitGroup)> {
        if self.book.commit_due().is_none_or(|due| due > now) {
            return None;
        }
        let slots = self.book.queued_slots().into_iter();
        let epochs = slots.filter_map(|slot| Some((slot, self.own_epoch(slot)?)));
        let epochs: BTreeMap<SlotId, u64> = epochs.collect();
        let group = self.book.start_commit(nonce, now, &epochs)?;
        let key = journal_key(identity);
        let mut write = GuardedWrite {
            conditions: vec![KeyCondition::Revision {
                key: key.clone(),
                revision: self.book.get_revision(),
            }],
            writes: vec![KeyWrite {
                key: key.clone(),
                value: Some(to_json(&group.value)),
                lease: None,
            }],
            reads_otherwise: vec![key],
        };
        for slot in group.slots() {
            self.require_slot(&mut write, slot);
        }
        Some((write, group))
    }

    /// Adds the condition that a slot's record is the one that is known.
    pub(crate) fn require_slot(&self, write: &mut GuardedWrite, slot: SlotId) {
        let key = slot_key(slot);
        let revision = self.view.slot(slot).map_or(0, |view| view.revision);
        write.conditions.push(KeyCondition::Revision {
            key: key.clone(),
            revision,
        });
        write.reads_otherwise.push(key);
    }

    /// Takes in the answer to the write under way.
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
            Ok(WriteOutcome::Refused { revision, entries }) => {
                self.on_refused(&pending, revision, &entries, now);
            }
            Err(CallFailure::Refused) => self.on_not_taken(&pending, now),
            Err(CallFailure::NotApplied) if pending.is_unsent_commit() => {
                // Nothing was recorded, so waiting requests can be given up.
                self.book.commit_refused();
                let delay = self.pace.retry_delay(1);
                self.book.pause(now.plus(delay));
            }
            Err(failure) => {
                pending.is_unknown |= failure == CallFailure::Unknown;
                pending.timer.fail(now, &mut self.pace);
                self.writer = Some(pending);
            }
        }
    }

    fn on_applied(&mut self, pending: PendingWrite, revision: i64, now: TimeStamp) {
        for write in pending.write.writes {
            self.take_in(write.key, write.value, revision);
        }
        self.settle(pending.kind, Some(revision), now);
        self.after_view_change(now);
    }

    /// Takes in what a key is known to hold.
    fn take_in(&mut self, key: Bytes, value: Option<Bytes>, revision: i64) {
        if self.own_journal_key().as_ref() == Some(&key) {
            let value = value.and_then(|value| serde_json::from_slice(&value).ok());
            if let Some(value) = value {
                self.book.adopt(value, revision);
            }
            return;
        }
        self.view.apply(&KeyChange {
            key,
            value,
            revision,
        });
    }

    /// Ends a write: with its revision when it took effect.
    fn settle(&mut self, kind: WriteKind, revision: Option<i64>, now: TimeStamp) {
        match kind {
            WriteKind::Register(identity) => self.finish_registration(identity, revision, now),
            WriteKind::Commit(group) => match revision {
                Some(revision) => self.book.commit_applied(group, revision),
                None => self.book.commit_refused(),
            },
            WriteKind::Take => self.finish_take(revision.is_some(), now),
            WriteKind::Release => self.finish_release(now),
            WriteKind::Prune(owner) if revision.is_some() => self.view.forget_retired(&owner),
            WriteKind::Prune(_) | WriteKind::Announce => {}
        }
    }

    fn on_refused(
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
        for key in &pending.write.reads_otherwise {
            let found = entries.iter().find(|entry| entry.key == *key);
            if Some(key) != journal_key.as_ref() {
                let value = found.map(|entry| entry.value.clone());
                let revision = found.map_or(revision, |entry| entry.revision);
                self.take_in(key.clone(), value, revision);
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
                self.take_in(key.clone(), Some(entry.value.clone()), entry.revision);
            }
        }
        let is_registration = matches!(pending.kind, WriteKind::Register(_));
        if is_journal_lost && !is_registration {
            self.lapse(now);
            return;
        }
        self.settle(pending.kind.clone(), applied, now);
        self.after_view_change(now);
    }

    /// Ends a write that the service does not take.
    fn on_not_taken(&mut self, pending: &PendingWrite, now: TimeStamp) {
        if pending.is_unknown && matches!(pending.kind, WriteKind::Commit(_)) {
            self.book.commit_unknown(now);
            return;
        }
        self.settle(pending.kind.clone(), None, now);
    }
}

fn parse_journal(value: &[u8]) -> Option<JournalValue> {
    serde_json::from_slice(value).ok()
}
