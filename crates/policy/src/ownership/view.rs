//! Local copy of the daemon and slot records.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use ibisdale_core::{DaemonName, SlotId};

use super::call::{FleetRead, KeyChange};
use super::keys::WatchedKey;
use super::plan::{PlanDaemon, PlanOwner};
use super::record::{DaemonRecord, RegistrationId, SlotRecord};

/// Content of a slot's key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum SlotContent {
    /// The key has never existed.
    #[default]
    Absent,
    Record(SlotRecord),
    /// The value can't be parsed, or the key was deleted.
    Invalid,
}

/// Last known content of a slot's key.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotView {
    pub(crate) revision: i64,
    pub(crate) content: SlotContent,
}

impl SlotView {
    pub(crate) fn record(&self) -> Option<&SlotRecord> {
        match &self.content {
            SlotContent::Record(record) => Some(record),
            SlotContent::Absent | SlotContent::Invalid => None,
        }
    }
}

/// Last known content of a daemon's key.
#[derive(Clone, Debug)]
pub(crate) struct DaemonView {
    /// Store revision of the last change, including a deletion.
    pub(crate) revision: i64,
    /// `None` if the key was deleted or its value can't be parsed.
    pub(crate) record: Option<DaemonRecord>,
    /// Revision to compare in conditions: 0 if the key was deleted.
    pub(crate) mod_revision: i64,
}

/// Local copy of all slot and daemon records.
#[derive(Clone, Debug)]
pub(crate) struct FleetView {
    slots: Vec<SlotView>,
    daemons: BTreeMap<DaemonName, DaemonView>,
    revision: i64,
    /// Ended registrations whose journals this daemon may have to delete.
    ended_registrations: BTreeSet<RegistrationId>,
}

impl FleetView {
    pub(crate) fn new(slot_count: u16) -> Self {
        Self {
            slots: vec![SlotView::default(); usize::from(slot_count)],
            daemons: BTreeMap::new(),
            revision: 0,
            ended_registrations: BTreeSet::new(),
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

    pub(crate) fn is_live(&self, registration: &RegistrationId) -> bool {
        let record = self.daemon_record(&registration.name);
        record.is_some_and(|record| record.incarnation == registration.incarnation)
    }

    pub(crate) fn ended_registrations(&self) -> &BTreeSet<RegistrationId> {
        &self.ended_registrations
    }

    pub(crate) fn remove_ended_registration(&mut self, registration: &RegistrationId) {
        self.ended_registrations.remove(registration);
    }

    pub(crate) fn is_named_in_slot_records(&self, registration: &RegistrationId) -> bool {
        let mut records = self.slots.iter().filter_map(SlotView::record);
        records.any(|record| {
            record.incarnation == registration.incarnation && record.owner == registration.name
        })
    }

    /// Applies a read of all records. Returns `false` and ignores it if it is older
    /// than the newest known change.
    pub(crate) fn apply_read(&mut self, read: FleetRead) -> bool {
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

    /// Applies a change, unless the same or a newer change of the key is known.
    pub(crate) fn apply(&mut self, change: &KeyChange) {
        self.revision = self.revision.max(change.revision);
        match WatchedKey::parse(&change.key) {
            Some(WatchedKey::Slot(slot)) => self.apply_slot(slot, change),
            Some(WatchedKey::Daemon(name)) => {
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
        view.content = match &change.value {
            // Daemons never delete slot records, since that would lose the epoch. A
            // slot whose record was deleted by other means is not taken.
            None => SlotContent::Invalid,
            Some(value) => match serde_json::from_slice(value) {
                Ok(record) => SlotContent::Record(record),
                Err(_) => SlotContent::Invalid,
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
                self.ended_registrations.insert(RegistrationId {
                    name: name.clone(),
                    incarnation: old.incarnation,
                });
            }
        }
        let mod_revision = if value.is_some() { revision } else { 0 };
        let view = DaemonView {
            revision,
            record,
            mod_revision,
        };
        self.daemons.insert(name.clone(), view);
    }

    /// Returns the live daemons and the slot owners, as input to the plan.
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
        let record = match &view.content {
            SlotContent::Absent => return PlanOwner::Unowned,
            SlotContent::Invalid => return PlanOwner::Unreadable,
            SlotContent::Record(record) => record,
        };
        if record.is_released || !self.is_live(&record.registration()) {
            return PlanOwner::Unowned;
        }
        let index = daemons.binary_search_by(|daemon| daemon.name.cmp(&record.owner));
        index.map_or(PlanOwner::Unowned, PlanOwner::Daemon)
    }
}
