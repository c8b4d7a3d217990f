//! Releases slots and deletes the journals of ended registrations.

use std::collections::BTreeSet;
use std::time::Duration;

use ibisdale_core::{SlotId, TimeStamp};

use super::call::{ConditionalWrite, KeyCondition, KeyWrite};
use super::keys::{daemon_key, journal_key, slot_key};
use super::machine::OwnershipMachine;
use super::plan::{hash_name, mix64};
use super::record::{RegistrationId, to_json};

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

    /// Adds the next batch of slots to `releasing` when a release is due, so that they
    /// accept no new work.
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

    /// Builds the write that releases those of the `releasing` slots that are not pinned.
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
            self.require_slot_unchanged(&mut write, slot);
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

    /// Builds the write that deletes the journal of an ended registration that no slot
    /// record names, if a deletion is due. Schedules the next one, and forgets the
    /// registrations whose journals this daemon does not have to delete.
    pub(crate) fn journal_deletion_write(
        &mut self,
        now: TimeStamp,
    ) -> Option<(ConditionalWrite, RegistrationId)> {
        if self.journal_deletion_at.is_none_or(|at| at > now) {
            return None;
        }
        let delay = self.random.jittered_delay(self.options.rebalance_delay);
        self.journal_deletion_at = Some(now.plus(delay));
        let ended: Vec<RegistrationId> = self.view.ended_registrations().iter().cloned().collect();
        let (referenced, unreferenced): (Vec<_>, Vec<_>) = ended
            .into_iter()
            .partition(|registration| self.view.is_named_in_slot_records(registration));
        if referenced.is_empty() && unreferenced.is_empty() {
            self.journal_deletion_at = None;
        }
        let (to_delete, to_forget): (Vec<_>, Vec<_>) =
            unreferenced.into_iter().partition(|registration| {
                self.is_journal_deleter(registration) && !self.view.is_live(registration)
            });
        for registration in &to_forget {
            self.view.remove_ended_registration(registration);
        }
        let registration = to_delete.into_iter().next()?;
        let key = daemon_key(&registration.name);
        let revision = self
            .view
            .daemon(&registration.name)
            .map_or(0, |view| view.mod_revision);
        let write = ConditionalWrite {
            conditions: vec![KeyCondition::Revision {
                key: key.clone(),
                revision,
            }],
            writes: vec![KeyWrite {
                key: journal_key(&registration),
                value: None,
                lease: None,
            }],
            failure_reads: vec![key],
        };
        Some((write, registration))
    }

    /// Returns whether rendezvous hashing among the live daemons chooses this one to
    /// delete a registration's journal.
    fn is_journal_deleter(&self, registration: &RegistrationId) -> bool {
        let seed = hash_name(&registration.name) ^ registration.incarnation;
        let chosen = self
            .view
            .daemon_records()
            .map(|(name, _)| name)
            .max_by_key(|name| mix64(seed ^ hash_name(name)));
        chosen == Some(&self.options.profile.name)
    }
}
