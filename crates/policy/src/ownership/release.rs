//! Giving slots up, and deleting the journals of ended registrations.

use std::collections::BTreeSet;
use std::time::Duration;

use ibisdale_core::{SlotId, TimeStamp};

use super::call::{GuardedWrite, KeyCondition, KeyWrite};
use super::keys::{daemon_key, journal_key, slot_key};
use super::machine::OwnershipMachine;
use super::plan::{mix, seed_of};
use super::record::{OwnerIdentity, to_json};

impl OwnershipMachine {
    /// Sets the time of the next release after the plan has changed.
    pub(crate) fn schedule_release(&mut self, now: TimeStamp) {
        let planned: BTreeSet<SlotId> = self.leaves.iter().copied().collect();
        self.leaving.retain(|slot| planned.contains(slot));
        if self.leaves.is_empty() {
            self.release_at = None;
        } else if self.release_at.is_none() {
            let delay = if self.is_draining {
                Duration::ZERO
            } else {
                self.pace.around(self.options.rebalance_delay)
            };
            self.release_at = Some(now.plus(delay));
        }
    }

    /// Marks the slots that are to be given up next: they take no new work.
    pub(crate) fn poll_leaving(&mut self, now: TimeStamp) {
        if self.release_at.is_none_or(|at| at > now) {
            return;
        }
        let room = self.options.batch_slots.saturating_sub(self.leaving.len());
        let added: Vec<SlotId> = self
            .leaves
            .iter()
            .copied()
            .filter(|slot| !self.leaving.contains(slot))
            .take(room)
            .collect();
        if !added.is_empty() {
            self.leaving.extend(added);
            self.mark_changed();
        }
    }

    /// Forms the write that gives up the leaving slots without work.
    pub(crate) fn release_write(&mut self, nonce: u64, now: TimeStamp) -> Option<GuardedWrite> {
        if self.release_at.is_none_or(|at| at > now) {
            return None;
        }
        let slots: Vec<SlotId> = self
            .leaving
            .iter()
            .copied()
            .filter(|slot| !self.pinned.contains_key(slot))
            .collect();
        let mut write = GuardedWrite::default();
        for slot in slots {
            let record = self.view.slot(slot).and_then(|view| view.record());
            let Some(mut record) = record.cloned() else {
                continue;
            };
            record.is_released = true;
            record.nonce = nonce;
            self.require_slot(&mut write, slot);
            write.writes.push(KeyWrite {
                key: slot_key(slot),
                value: Some(to_json(&record)),
                lease: None,
            });
        }
        (!write.writes.is_empty()).then_some(write)
    }

    /// Ends a release and sets the time of the next.
    pub(crate) fn finish_release(&mut self, now: TimeStamp) {
        let delay = self.pace.around(self.options.batch_interval);
        self.release_at = Some(now.plus(delay));
    }

    /// Forms the write that deletes the journal of a registration that has
    /// ended and owns no slot any more.
    pub(crate) fn prune_write(&mut self, now: TimeStamp) -> Option<(GuardedWrite, OwnerIdentity)> {
        if self.prune_at.is_none_or(|at| at > now) {
            return None;
        }
        let delay = self.pace.around(self.options.rebalance_delay);
        self.prune_at = Some(now.plus(delay));
        let retired: Vec<OwnerIdentity> = self.view.retired().iter().cloned().collect();
        let (busy, empty): (Vec<_>, Vec<_>) = retired
            .into_iter()
            .partition(|owner| self.view.owns_any(owner));
        if busy.is_empty() && empty.is_empty() {
            self.prune_at = None;
        }
        let (mine, others): (Vec<_>, Vec<_>) = empty
            .into_iter()
            .partition(|owner| self.is_pruner(owner) && !self.view.is_live(owner));
        for owner in &others {
            self.view.forget_retired(owner);
        }
        let owner = mine.into_iter().next()?;
        let key = daemon_key(&owner.name);
        let revision = self.view.daemon(&owner.name).map_or(0, |view| view.stored);
        let write = GuardedWrite {
            conditions: vec![KeyCondition::Revision {
                key: key.clone(),
                revision,
            }],
            writes: vec![KeyWrite {
                key: journal_key(&owner),
                value: None,
                lease: None,
            }],
            reads_otherwise: vec![key],
        };
        Some((write, owner))
    }

    /// Tells whether this daemon is the one to delete a journal.
    fn is_pruner(&self, owner: &OwnerIdentity) -> bool {
        let seed = seed_of(&owner.name) ^ owner.incarnation;
        let first = self
            .view
            .daemon_records()
            .map(|(name, _)| name)
            .max_by_key(|name| mix(seed ^ seed_of(name)));
        first == Some(&self.options.profile.name)
    }
}
