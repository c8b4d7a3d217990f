//! Taking slots without owner, and giving slots up.

use bytes::Bytes;
use ibisdale_core::{SlotId, TimeStamp};

use super::call::{
    CallFailure, GuardedWrite, KeyCondition, KeyEntry, KeyWrite, StoreAnswer, StoreCall,
};
use super::keys::{daemon_key, journal_key, slot_key};
use super::machine::{CallPurpose, OwnershipMachine};
use super::pace::RetryTimer;
use super::record::{OwnerIdentity, SlotRecord, to_json};
use crate::journal::{JournalEntry, JournalValue};

/// Slots of one previous owner that are to be taken together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TakeTarget {
    /// The previous owner, or nothing for slots that never had one.
    previous: Option<OwnerIdentity>,
    /// Set when the previous owner gave the slots up.
    is_released: bool,
}

#[derive(Clone, Debug, Default)]
enum TakeStage {
    #[default]
    Idle,
    ReadingJournal {
        target: TakeTarget,
        timer: RetryTimer,
    },
    Ready {
        target: TakeTarget,
        journal: Option<KeyEntry>,
        /// Revision of the read: slots given up later are left for the next.
        read_at: i64,
    },
    Writing,
}

/// Progress of takeovers.
#[derive(Clone, Debug, Default)]
pub(crate) struct TakeoverState {
    stage: TakeStage,
    /// When slots that were given up are next taken.
    handover_at: Option<TimeStamp>,
    /// When slots whose owner is lost are next taken.
    takeover_at: Option<TimeStamp>,
    failures: u32,
}

impl TakeoverState {
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn wake(&self) -> Option<TimeStamp> {
        match &self.stage {
            TakeStage::Idle => [self.handover_at, self.takeover_at]
                .into_iter()
                .flatten()
                .min(),
            TakeStage::ReadingJournal { timer, .. } => timer.wake(),
            TakeStage::Ready { .. } | TakeStage::Writing => None,
        }
    }
}

/// Divides the batch interval to give the delay before a handover is taken up.
const HANDOVER_DIVISOR: u32 = 16;

impl OwnershipMachine {
    /// Sets the times of takeovers after the plan has changed.
    pub(crate) fn schedule_takes(&mut self, now: TimeStamp) {
        let is_released = |slot: &SlotId| {
            let target = self.take_target(*slot);
            target.is_some_and(|target| target.is_released)
        };
        let released = self.takes.iter().filter(|slot| is_released(slot)).count();
        let lost = self.takes.len() - released;
        if released == 0 {
            self.takeover.handover_at = None;
        } else if self.takeover.handover_at.is_none() {
            let delay = self.options.batch_interval / HANDOVER_DIVISOR;
            self.takeover.handover_at = Some(now.plus(self.pace.within(delay)));
        }
        if lost == 0 {
            self.takeover.takeover_at = None;
        } else if self.takeover.takeover_at.is_none() {
            let orphans = u32::try_from(self.orphan_count).unwrap_or(u32::MAX);
            let window = self.options.window_per_slot.saturating_mul(orphans);
            let delay = self.options.settle_delay + self.pace.within(window);
            self.takeover.takeover_at = Some(now.plus(delay));
        }
    }

    fn take_target(&self, slot: SlotId) -> Option<TakeTarget> {
        let record = self.view.slot(slot)?.record();
        Some(TakeTarget {
            previous: record.map(SlotRecord::identity),
            is_released: record.is_some_and(|record| record.is_released),
        })
    }

    /// Starts the next takeover, if one is due.
    pub(crate) fn poll_takeover(&mut self, now: TimeStamp) {
        let stage = std::mem::take(&mut self.takeover.stage);
        self.takeover.stage = match stage {
            TakeStage::Idle => self.start_take(now),
            other => other,
        };
        let TakeStage::ReadingJournal { target, timer } = &mut self.takeover.stage else {
            return;
        };
        if timer.is_due(now)
            && let Some(owner) = &target.previous
        {
            timer.start();
            let key = journal_key(owner);
            self.issue(StoreCall::ReadKey(key), CallPurpose::ReadJournal);
        }
    }

    fn start_take(&self, now: TimeStamp) -> TakeStage {
        let is_due = |at: Option<TimeStamp>| at.is_some_and(|at| at <= now);
        let is_handover_due = is_due(self.takeover.handover_at);
        let is_takeover_due = is_due(self.takeover.takeover_at);
        let target = self
            .takes
            .iter()
            .filter_map(|slot| self.take_target(*slot))
            .find(|target| {
                if target.is_released {
                    is_handover_due
                } else {
                    is_takeover_due
                }
            });
        let Some(target) = target else {
            return TakeStage::Idle;
        };
        if target.previous.is_none() || target.previous == self.identity() {
            return TakeStage::Ready {
                target,
                journal: None,
                read_at: i64::MAX,
            };
        }
        TakeStage::ReadingJournal {
            target,
            timer: RetryTimer::at(now),
        }
    }

    /// Returns slots of the target whose records are not newer than `read_at`.
    fn slots_of(&self, target: &TakeTarget, read_at: i64) -> Vec<SlotId> {
        let is_known = |slot: SlotId| {
            let view = self.view.slot(slot);
            view.is_some_and(|view| view.revision <= read_at)
        };
        self.takes
            .iter()
            .copied()
            .filter(|slot| self.take_target(*slot).as_ref() == Some(target))
            .filter(|slot| is_known(*slot))
            .take(self.options.batch_slots)
            .collect()
    }

    /// Takes in the read of a previous owner's journal.
    pub(crate) fn on_journal_answer(
        &mut self,
        answer: Result<StoreAnswer, CallFailure>,
        now: TimeStamp,
    ) {
        let stage = std::mem::take(&mut self.takeover.stage);
        let TakeStage::ReadingJournal { target, mut timer } = stage else {
            self.takeover.stage = stage;
            return;
        };
        // The read must show what was recorded before the slots were given up.
        let slots = self.slots_of(&target, i64::MAX);
        let revisions = slots.iter().filter_map(|slot| self.view.slot(*slot));
        let newest = revisions.map(|view| view.revision).max().unwrap_or(0);
        self.takeover.stage = match answer {
            Ok(StoreAnswer::Key { revision, entry }) if revision >= newest => TakeStage::Ready {
                target,
                journal: entry,
                read_at: revision,
            },
            _ => {
                timer.fail(now, &mut self.pace);
                TakeStage::ReadingJournal { target, timer }
            }
        };
    }

    /// Forms the write that takes the slots whose journal was read.
    pub(crate) fn take_write(
        &mut self,
        identity: &OwnerIdentity,
        lease: i64,
        nonce: u64,
    ) -> Option<GuardedWrite> {
        let TakeStage::Ready {
            target,
            journal,
            read_at,
        } = self.takeover.stage.clone()
        else {
            return None;
        };
        let slots = self.slots_of(&target, read_at);
        let own_key = daemon_key(&identity.name);
        let mut write = GuardedWrite {
            conditions: vec![KeyCondition::Lease {
                key: own_key.clone(),
                lease,
            }],
            writes: Vec::new(),
            reads_otherwise: vec![own_key],
        };
        let is_formed = !slots.is_empty()
            && self.add_journals(
                &mut write,
                identity,
                &target,
                journal.as_ref(),
                &slots,
                nonce,
            );
        if !is_formed {
            self.takeover.stage = TakeStage::Idle;
            self.takeover.takeover_at = None;
            self.takeover.handover_at = None;
            self.is_plan_stale = true;
            return None;
        }
        for slot in slots {
            let record = self.view.slot(slot).and_then(|view| view.record());
            let record = SlotRecord {
                owner: identity.name.clone(),
                incarnation: identity.incarnation,
                epoch: record.map_or(0, |record| record.epoch) + 1,
                nonce,
                is_released: false,
            };
            self.require_slot(&mut write, slot);
            write.writes.push(KeyWrite {
                key: slot_key(slot),
                value: Some(to_json(&record)),
                lease: None,
            });
        }
        self.takeover.stage = TakeStage::Writing;
        Some(write)
    }

    /// Seals the previous owner's journal and carries its entries over; tells
    /// whether the journal could be read.
    fn add_journals(
        &self,
        write: &mut GuardedWrite,
        identity: &OwnerIdentity,
        target: &TakeTarget,
        journal: Option<&KeyEntry>,
        slots: &[SlotId],
        nonce: u64,
    ) -> bool {
        let Some(owner) = target.previous.as_ref().filter(|owner| *owner != identity) else {
            return true;
        };
        let value = match journal {
            None => JournalValue::default(),
            Some(entry) => match serde_json::from_slice(&entry.value) {
                Ok(value) => value,
                Err(_) => return false,
            },
        };
        if !target.is_released {
            let revision = journal.map_or(0, |entry| entry.revision);
            self.seal_journal(write, owner, &value, revision, nonce);
        }
        let carried = value.entries_of(slots);
        self.carry_entries(write, identity, slots, carried, nonce);
        true
    }

    fn seal_journal(
        &self,
        write: &mut GuardedWrite,
        owner: &OwnerIdentity,
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
                revision: known.map_or(0, |view| view.stored),
            });
            write.reads_otherwise.push(daemon);
        }
        write.writes.push(KeyWrite {
            key,
            value: Some(to_json(&value.sealed(nonce))),
            lease: None,
        });
    }

    fn carry_entries(
        &self,
        write: &mut GuardedWrite,
        identity: &OwnerIdentity,
        slots: &[SlotId],
        carried: Vec<JournalEntry>,
        nonce: u64,
    ) {
        let key = journal_key(identity);
        let own_entries = self.book.get_value().entries_of(slots);
        if carried == own_entries {
            return;
        }
        let value = self.book.carried_value(slots, carried, nonce);
        write.conditions.push(KeyCondition::Revision {
            key: key.clone(),
            revision: self.book.get_revision(),
        });
        write.writes.push(KeyWrite {
            key: key.clone(),
            value: Some(to_json(&value)),
            lease: None,
        });
        write.reads_otherwise.push(key);
    }

    /// Ends a takeover and sets the time of the next.
    pub(crate) fn finish_take(&mut self, is_applied: bool, now: TimeStamp) {
        self.takeover.stage = TakeStage::Idle;
        let delay = if is_applied {
            self.takeover.failures = 0;
            self.pace.around(self.options.batch_interval)
        } else {
            self.takeover.failures += 1;
            self.pace.retry_delay(self.takeover.failures)
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
        self.identity().as_ref().map(journal_key)
    }
}
