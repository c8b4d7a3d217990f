//! What a daemon knows of the records.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use ibisdale_core::{DaemonName, SlotId};

use super::call::{FleetRead, KeyChange};
use super::keys::FollowedKey;
use super::plan::{PlanDaemon, PlanOwner};
use super::record::{DaemonRecord, OwnerIdentity, SlotRecord};

/// What a slot's key holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum SlotHolding {
    #[default]
    Vacant,
    Held(SlotRecord),
    Unreadable,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct SlotView {
    pub(crate) revision: i64,
    pub(crate) holding: SlotHolding,
}

impl SlotView {
    pub(crate) fn record(&self) -> Option<&SlotRecord> {
        match &self.holding {
            SlotHolding::Held(record) => Some(record),
            SlotHolding::Vacant | SlotHolding::Unreadable => None,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct DaemonView {
    pub(crate) revision: i64,
    /// Nothing when the key is deleted or can't be read.
    pub(crate) record: Option<DaemonRecord>,
    /// Revision for conditions: 0 when the key is deleted.
    pub(crate) stored: i64,
}

#[derive(Clone, Debug)]
pub(crate) struct FleetView {
    slots: Vec<SlotView>,
    daemons: BTreeMap<DaemonName, DaemonView>,
    revision: i64,
    /// Registrations that have ended, until their journals are deleted.
    retired: BTreeSet<OwnerIdentity>,
}

impl FleetView {
    pub(crate) fn new(slot_count: u16) -> Self {
        Self {
            slots: vec![SlotView::default(); usize::from(slot_count)],
            daemons: BTreeMap::new(),
            revision: 0,
            retired: BTreeSet::new(),
        }
    }

    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    pub(crate) fn slot(&self, slot: SlotId) -> Option<&SlotView> {
        self.slots.get(usize::from(slot.get()))
    }

    pub(crate) fn slots(&self) -> impl Iterator<Item = (SlotId, &SlotView)> {
        SlotId::all().zip(&self.slots)
    }

    pub(crate) fn daemon(&self, name: &DaemonName) -> Option<&DaemonView> {
        self.daemons.get(name)
    }

    pub(crate) fn daemon_record(&self, name: &DaemonName) -> Option<&DaemonRecord> {
        self.daemons.get(name)?.record.as_ref()
    }

    pub(crate) fn daemon_records(&self) -> impl Iterator<Item = (&DaemonName, &DaemonRecord)> {
        let daemons = self.daemons.iter();
        daemons.filter_map(|(name, view)| Some((name, view.record.as_ref()?)))
    }

    pub(crate) fn is_live(&self, owner: &OwnerIdentity) -> bool {
        let record = self.daemon_record(&owner.name);
        record.is_some_and(|record| record.incarnation == owner.incarnation)
    }

    pub(crate) fn retired(&self) -> &BTreeSet<OwnerIdentity> {
        &self.retired
    }

    pub(crate) fn forget_retired(&mut self, owner: &OwnerIdentity) {
        self.retired.remove(owner);
    }

    pub(crate) fn owns_any(&self, owner: &OwnerIdentity) -> bool {
        let mut records = self.slots.iter().filter_map(SlotView::record);
        records.any(|record| record.incarnation == owner.incarnation && record.owner == owner.name)
    }

    /// Takes in a whole read; tells whether it was newer than what is known.
    pub(crate) fn replace(&mut self, read: FleetRead) -> bool {
        if read.revision < self.revision {
            return false;
        }
        let present: BTreeSet<Bytes> = read.entries.iter().map(|entry| entry.key.clone()).collect();
        let names: Vec<DaemonName> = self.daemons.keys().cloned().collect();
        for name in names {
            let key = super::keys::daemon_key(&name);
            if !present.contains(&key) {
                self.set_daemon(&name, None, read.revision);
            }
        }
        for entry in read.entries {
            self.apply(&KeyChange::from(entry));
        }
        self.revision = self.revision.max(read.revision);
        true
    }

    /// Takes in a change, unless a newer one of the same key is known.
    pub(crate) fn apply(&mut self, change: &KeyChange) {
        self.revision = self.revision.max(change.revision);
        match FollowedKey::parse(&change.key) {
            Some(FollowedKey::Slot(slot)) => self.apply_slot(slot, change),
            Some(FollowedKey::Daemon(name)) => {
                self.set_daemon(&name, change.value.as_ref(), change.revision);
            }
            None => {}
        }
    }

    fn apply_slot(&mut self, slot: SlotId, change: &KeyChange) {
        let Some(view) = self.slots.get_mut(usize::from(slot.get())) else {
            return;
        };
        if change.revision <= view.revision {
            return;
        }
        view.revision = change.revision;
        view.holding = match &change.value {
            // A record is never deleted by a daemon; its epoch would be lost.
            None => SlotHolding::Unreadable,
            Some(value) => match serde_json::from_slice(value) {
                Ok(record) => SlotHolding::Held(record),
                Err(_) => SlotHolding::Unreadable,
            },
        };
    }

    fn set_daemon(&mut self, name: &DaemonName, value: Option<&Bytes>, revision: i64) {
        let known = self.daemons.get(name);
        if known.is_some_and(|view| revision <= view.revision) {
            return;
        }
        let record: Option<DaemonRecord> =
            value.and_then(|value| serde_json::from_slice(value).ok());
        if let Some(old) = known.and_then(|view| view.record.as_ref()) {
            let incarnation = record.as_ref().map(|record| record.incarnation);
            if incarnation != Some(old.incarnation) {
                self.retired.insert(OwnerIdentity {
                    name: name.clone(),
                    incarnation: old.incarnation,
                });
            }
        }
        let stored = if value.is_some() { revision } else { 0 };
        let view = DaemonView {
            revision,
            record,
            stored,
        };
        self.daemons.insert(name.clone(), view);
    }

    /// Returns what the plan is made from.
    pub(crate) fn plan_input(&self) -> (Vec<PlanDaemon>, Vec<PlanOwner>) {
        let daemons: Vec<PlanDaemon> = self
            .daemon_records()
            .map(|(name, record)| PlanDaemon {
                name: name.clone(),
                is_draining: record.is_draining,
            })
            .collect();
        let owners = self
            .slots
            .iter()
            .map(|view| self.plan_owner(view, &daemons))
            .collect();
        (daemons, owners)
    }

    fn plan_owner(&self, view: &SlotView, daemons: &[PlanDaemon]) -> PlanOwner {
        let record = match &view.holding {
            SlotHolding::Vacant => return PlanOwner::Nobody,
            SlotHolding::Unreadable => return PlanOwner::Fixed,
            SlotHolding::Held(record) => record,
        };
        if record.is_released || !self.is_live(&record.identity()) {
            return PlanOwner::Nobody;
        }
        let index = daemons.binary_search_by(|daemon| daemon.name.cmp(&record.owner));
        index.map_or(PlanOwner::Nobody, PlanOwner::Daemon)
    }
}
