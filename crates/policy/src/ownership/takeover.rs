//! Takes over slots without a live owner.

use bytes::Bytes;
use ibisdale_core::{SlotId, TimeStamp};

use super::call::{
    CallFailure, ConditionalWrite, KeyCondition, KeyEntry, KeyWrite, StoreCall, StoreResponse,
};
use super::keys::{daemon_key, journal_key, slot_key};
use super::machine::{CallPurpose, OwnershipMachine};
use super::record::{RegistrationId, SlotRecord, to_json};
use super::timing::RetryTimer;
use crate::journal::{JournalEntry, JournalValue};

/// Previous owner and release state, by which slots are grouped into one write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TakeoverSource {
    /// Registration of the previous owner; `None` for slots that never had one.
    previous: Option<RegistrationId>,
    /// Whether the previous owner released the slots.
    is_released: bool,
}

/// Stage of the current takeover.
#[derive(Clone, Debug, Default)]
enum TakeoverStage {
    #[default]
    Idle,
    ReadingJournal {
        source: TakeoverSource,
        timer: RetryTimer,
    },
    Ready {
        source: TakeoverSource,
        journal: Option<KeyEntry>,
        /// Store revision of the journal read. Slots whose records are newer are left
        /// for the next takeover, since the read may lack their entries.
        read_revision: i64,
    },
    Writing,
}

/// State of the current takeover and schedule of the next ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct TakeoverState {
    stage: TakeoverStage,
    /// When to next take released slots.
    handover_at: Option<TimeStamp>,
    /// When to next take slots that never had an owner or that were not released.
    takeover_at: Option<TimeStamp>,
    failures: u32,
}

impl TakeoverState {
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn next_wake(&self) -> Option<TimeStamp> {
        match &self.stage {
            TakeoverStage::Idle => [self.handover_at, self.takeover_at]
                .into_iter()
                .flatten()
                .min(),
            TakeoverStage::ReadingJournal { timer, .. } => timer.next_wake(),
            TakeoverStage::Ready { .. } | TakeoverStage::Writing => None,
        }
    }
}

/// Released slots are taken after a random delay of up to 1/16 of the batch interval.
const HANDOVER_DIVISOR: u32 = 16;

impl OwnershipMachine {
    /// Schedules the next takeovers after the plan has changed.
    pub(crate) fn schedule_takeovers(&mut self, now: TimeStamp) {
        let is_released = |slot: &SlotId| {
            let source = self.takeover_source(*slot);
            source.is_some_and(|source| source.is_released)
        };
        let released = self
            .slots_to_take
            .iter()
            .filter(|slot| is_released(slot))
            .count();
        let not_released = self.slots_to_take.len() - released;
        if released == 0 {
            self.takeover.handover_at = None;
        } else if self.takeover.handover_at.is_none() {
            let delay = self.options.batch_interval / HANDOVER_DIVISOR;
            self.takeover.handover_at = Some(now.plus(self.random.uniform_delay(delay)));
        }
        if not_released == 0 {
            self.takeover.takeover_at = None;
        } else if self.takeover.takeover_at.is_none() {
            let unowned = u32::try_from(self.unowned_count).unwrap_or(u32::MAX);
            let window = self
                .options
                .takeover_window_per_slot
                .saturating_mul(unowned);
            let delay = self.options.takeover_delay + self.random.uniform_delay(window);
            self.takeover.takeover_at = Some(now.plus(delay));
        }
    }

    fn takeover_source(&self, slot: SlotId) -> Option<TakeoverSource> {
        let record = self.view.slot(slot)?.record();
        Some(TakeoverSource {
            previous: record.map(SlotRecord::registration),
            is_released: record.is_some_and(|record| record.is_released),
        })
    }

    /// Starts the next takeover and issues its journal read, when due.
    pub(crate) fn poll_takeover(&mut self, now: TimeStamp) {
        let stage = std::mem::take(&mut self.takeover.stage);
        self.takeover.stage = match stage {
            TakeoverStage::Idle => self.start_takeover(now),
            other => other,
        };
        let TakeoverStage::ReadingJournal { source, timer } = &mut self.takeover.stage else {
            return;
        };
        if timer.is_due(now)
            && let Some(owner) = &source.previous
        {
            timer.start();
            let key = journal_key(owner);
            self.issue(StoreCall::ReadKey(key), CallPurpose::ReadJournal);
        }
    }

    fn start_takeover(&self, now: TimeStamp) -> TakeoverStage {
        let is_due = |at: Option<TimeStamp>| at.is_some_and(|at| at <= now);
        let is_handover_due = is_due(self.takeover.handover_at);
        let is_takeover_due = is_due(self.takeover.takeover_at);
        let source = self
            .slots_to_take
            .iter()
            .filter_map(|slot| self.takeover_source(*slot))
            .find(|source| {
                if source.is_released {
                    is_handover_due
                } else {
                    is_takeover_due
                }
            });
        let Some(source) = source else {
            return TakeoverStage::Idle;
        };
        if source.previous.is_none() || source.previous == self.registration() {
            return TakeoverStage::Ready {
                source,
                journal: None,
                read_revision: i64::MAX,
            };
        }
        TakeoverStage::ReadingJournal {
            source,
            timer: RetryTimer::due_at(now),
        }
    }

    /// Returns the next batch of slots of the source whose records are not newer than
    /// `read_revision`.
    fn takeable_slots(&self, source: &TakeoverSource, read_revision: i64) -> Vec<SlotId> {
        let is_not_newer = |slot: SlotId| {
            let view = self.view.slot(slot);
            view.is_some_and(|view| view.revision <= read_revision)
        };
        self.slots_to_take
            .iter()
            .copied()
            .filter(|slot| self.takeover_source(*slot).as_ref() == Some(source))
            .filter(|slot| is_not_newer(*slot))
            .take(self.options.batch_slots)
            .collect()
    }

    /// Handles the result of reading a previous owner's journal.
    pub(crate) fn on_journal_response(
        &mut self,
        response: Result<StoreResponse, CallFailure>,
        now: TimeStamp,
    ) {
        let stage = std::mem::take(&mut self.takeover.stage);
        let TakeoverStage::ReadingJournal { source, mut timer } = stage else {
            self.takeover.stage = stage;
            return;
        };
        // A read older than the slots' records may lack actions that were recorded
        // before the slots were released.
        let slots = self.takeable_slots(&source, i64::MAX);
        let revisions = slots.iter().filter_map(|slot| self.view.slot(*slot));
        let newest = revisions.map(|view| view.revision).max().unwrap_or(0);
        self.takeover.stage = match response {
            Ok(StoreResponse::Key { revision, entry }) if revision >= newest => {
                TakeoverStage::Ready {
                    source,
                    journal: entry,
                    read_revision: revision,
                }
            }
            _ => {
                timer.fail(now, &mut self.random);
                TakeoverStage::ReadingJournal { source, timer }
            }
        };
    }

    /// Builds the write that takes the slots, after the previous owner's journal, if any,
    /// has been read.
    pub(crate) fn takeover_write(
        &mut self,
        registration: &RegistrationId,
        lease: i64,
        nonce: u64,
    ) -> Option<ConditionalWrite> {
        let TakeoverStage::Ready {
            source,
            journal,
            read_revision,
        } = self.takeover.stage.clone()
        else {
            return None;
        };
        let slots = self.takeable_slots(&source, read_revision);
        let own_daemon_key = daemon_key(&registration.name);
        let mut write = ConditionalWrite {
            conditions: vec![KeyCondition::Lease {
                key: own_daemon_key.clone(),
                lease,
            }],
            writes: Vec::new(),
            failure_reads: vec![own_daemon_key],
        };
        let can_write = !slots.is_empty()
            && self.add_journal_writes(
                &mut write,
                registration,
                &source,
                journal.as_ref(),
                &slots,
                nonce,
            );
        if !can_write {
            self.takeover.stage = TakeoverStage::Idle;
            self.takeover.takeover_at = None;
            self.takeover.handover_at = None;
            self.is_plan_stale = true;
            return None;
        }
        for slot in slots {
            let record = self.view.slot(slot).and_then(|view| view.record());
            let record = SlotRecord {
                owner: registration.name.clone(),
                incarnation: registration.incarnation,
                epoch: record.map_or(0, |record| record.epoch) + 1,
                nonce,
                is_released: false,
            };
            self.require_slot_unchanged(&mut write, slot);
            write.writes.push(KeyWrite {
                key: slot_key(slot),
                value: Some(to_json(&record)),
                lease: None,
            });
        }
        self.takeover.stage = TakeoverStage::Writing;
        Some(write)
    }

    /// Adds the seal of the previous owner's journal, if that owner did not release the
    /// slots, and the copy of its entries to this daemon's journal. Returns `false` if the
    /// previous owner's journal can't be parsed.
    fn add_journal_writes(
        &self,
        write: &mut ConditionalWrite,
        registration: &RegistrationId,
        source: &TakeoverSource,
        journal: Option<&KeyEntry>,
        slots: &[SlotId],
        nonce: u64,
    ) -> bool {
        let Some(owner) = source
            .previous
            .as_ref()
            .filter(|owner| *owner != registration)
        else {
            return true;
        };
        let value = match journal {
            None => JournalValue::default(),
            Some(entry) => match serde_json::from_slice(&entry.value) {
                Ok(value) => value,
                Err(_) => return false,
            },
        };
        if !source.is_released {
            let revision = journal.map_or(0, |entry| entry.revision);
            self.add_journal_seal(write, owner, &value, revision, nonce);
        }
        let carried = value.entries_of(slots);
        self.add_carried_entries(write, registration, slots, carried, nonce);
        true
    }

    /// Adds the condition that the journal is unchanged and, unless it is absent or
    /// already sealed, the write that seals it. The seal of another daemon's journal
    /// also requires that daemon's record to be unchanged.
    fn add_journal_seal(
        &self,
        write: &mut ConditionalWrite,
        owner: &RegistrationId,
        value: &JournalValue,
        revision: i64,
        nonce: u64,
    ) {
        let key = journal_key(owner);
        write.conditions.push(KeyCondition::Revision {
            key: key.clone(),
            revision,
        });
        if revision == 0 || value.is_sealed {
            return;
        }
        let daemon = daemon_key(&owner.name);
        let known = self.view.daemon(&owner.name);
        if owner.name != self.options.profile.name {
            write.conditions.push(KeyCondition::Revision {
                key: daemon.clone(),
                revision: known.map_or(0, |view| view.mod_revision),
            });
            write.failure_reads.push(daemon);
        }
        write.writes.push(KeyWrite {
            key,
            value: Some(to_json(&value.sealed(nonce))),
            lease: None,
        });
    }

    /// Adds the write that replaces the entries of these slots in this daemon's
    /// journal with those of the previous owner, if they differ.
    fn add_carried_entries(
        &self,
        write: &mut ConditionalWrite,
        registration: &RegistrationId,
        slots: &[SlotId],
        carried: Vec<JournalEntry>,
        nonce: u64,
    ) {
        let key = journal_key(registration);
        let own_entries = self.journal.get_value().entries_of(slots);
        if carried == own_entries {
            return;
        }
        let value = self.journal.value_with_taken_over(slots, carried, nonce);
        write.conditions.push(KeyCondition::Revision {
            key: key.clone(),
            revision: self.journal.get_revision(),
        });
        write.writes.push(KeyWrite {
            key: key.clone(),
            value: Some(to_json(&value)),
            lease: None,
        });
        write.failure_reads.push(key);
    }

    /// Ends a takeover and schedules the next one.
    pub(crate) fn finish_takeover(&mut self, is_applied: bool, now: TimeStamp) {
        self.takeover.stage = TakeoverStage::Idle;
        let delay = if is_applied {
            self.takeover.failures = 0;
            self.random.jittered_delay(self.options.batch_interval)
        } else {
            self.takeover.failures += 1;
            self.random.retry_delay(self.takeover.failures)
        };
        let next = now.plus(delay);
        for at in [
            &mut self.takeover.handover_at,
            &mut self.takeover.takeover_at,
        ] {
            *at = at.map(|_| next);
        }
    }

    pub(crate) fn own_journal_key(&self) -> Option<Bytes> {
        self.registration().as_ref().map(journal_key)
    }
}
