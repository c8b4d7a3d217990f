//! Releases slots and deletes the journals of ended registrations.

use std::collections::BTreeSet;
use std::time::Duration;

use ibisdale_core::{SlotId, TimeStamp};

use super::call::{ConditionalWrite, KeyCondition, KeyWrite};
use super::keys::{daemon_key, journal_key, slot_key};
use super::machine::OwnershipMachine;
use super::plan::{hash_name, mix64};
use super::record::{OwnerIdentity, to_json};

impl OwnershipMachine {
    /// Schedules the next release after the plan has changed.
    pub(crate) fn schedule_release(&mut self, now: TimeStamp) {
        let planned: BTreeSet<SlotId> = self.slots_to_release.iter().copied().collect();
        self.releasing.retain(|slot| planned.contains(slot));
        if self.slots_to_release.is_empty() {
            self.release_at = None;
        } else if self.release_at.is_none() {
            let delay = if self.is_draining {
                Duration::ZERO
            } else {
                self.random.jittered_delay(self.options.rebalance_delay)
            };
            self.release_at = Some(now.plus(delay));
        }
    }

    /// Marks the next batch of slots as leaving once a release is due, so that they
    /// take no new work.
    pub(crate) fn poll_release(&mut self, now: TimeStamp) {
        if self.release_at.is_none_or(|at| at > now) {
            return;
        }
        let room = self
            .options
            .batch_slots
            .saturating_sub(self.releasing.len());
        let added: Vec<SlotId> = self
            .slots_to_release
            .iter()
            .copied()
            .filter(|slot| !self.releasing.contains(slot))
            .take(room)
            .collect();
        if !added.is_empty() {
            self.releasing.extend(added);
            self.bump_version();
        }
    }

    /// Builds the write that releases the leaving slots without work in progress.
    pub(crate) fn release_write(&mut self, nonce: u64, now: TimeStamp) -> Option<ConditionalWrite> {
        if self.release_at.is_none_or(|at| at > now) {
            return None;
        }
        let slots: Vec<SlotId> = self
            .releasing
            .iter()
            .copied()
            .filter(|slot| !self.pinned.contains_key(slot))
            .collect();
        let mut write = ConditionalWrite::default();
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

    /// Schedules the next release after a release write has ended.
    pub(crate) fn finish_release(&mut self, now: TimeStamp) {
        let delay = self.random.jittered_delay(self.options.batch_interval);
        self.release_at = Some(now.plus(delay));
    }

    /// Builds the write that deletes the journal of an ended registration that owns
    /// no slots.
    pub(crate) fn prune_write(
        &mut self,
        now: TimeStamp,
    ) -> Option<(ConditionalWrite, OwnerIdentity)> {
        if self.prune_at.is_none_or(|at| at > now) {
            return None;
        }
        let delay = self.random.jittered_delay(self.options.rebalance_delay);
        self.prune_at = Some(now.plus(delay));
        let ended: Vec<OwnerIdentity> = self.view.ended_registrations().iter().cloned().collect();
        let (busy, empty): (Vec<_>, Vec<_>) = ended
            .into_iter()
            .partition(|owner| self.view.owns_any(owner));
        if busy.is_empty() && empty.is_empty() {
            self.prune_at = None;
        }
        let (mine, others): (Vec<_>, Vec<_>) = empty
            .into_iter()
            .partition(|owner| self.is_journal_pruner(owner) && !self.view.is_live(owner));
        for owner in &others {
            self.view.remove_ended_registration(owner);
        }
        let owner = mine.into_iter().next()?;
        let key = daemon_key(&owner.name);
        let revision = self
            .view
            .daemon(&owner.name)
            .map_or(0, |view| view.mod_revision);
        let write = ConditionalWrite {
            conditions: vec![KeyCondition::Revision {
                key: key.clone(),
                revision,
            }],
            writes: vec![KeyWrite {
                key: journal_key(&owner),
                value: None,
                lease: None,
            }],
            failure_reads: vec![key],
        };
        Some((write, owner))
    }

    /// Returns whether this daemon is responsible for deleting a journal, chosen among
    /// the live daemons by rendezvous hashing.
    fn is_journal_pruner(&self, owner: &OwnerIdentity) -> bool {
        let seed = hash_name(&owner.name) ^ owner.incarnation;
        let first = self
            .view
            .daemon_records()
            .map(|(name, _)| name)
            .max_by_key(|name| mix64(seed ^ hash_name(name)));
        first == Some(&self.options.profile.name)
    }
}
