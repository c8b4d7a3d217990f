//! Model of the key-value store that checks every write against the test oracle.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use ibisdale_core::{SlotId, TimeStamp};
use ibisdale_policy::journal::JournalValue;
use ibisdale_policy::ownership::{
    CallFailure, ConditionalWrite, DAEMON_PREFIX, DaemonRecord, FleetRead, JOURNAL_PREFIX,
    KeyChange, KeyCondition, KeyEntry, KeyWrite, RegistrationId, SLOT_PREFIX, SlotRecord,
    StoreCall, StoreResponse, WriteOutcome, daemon_key, journal_key, slot_key,
};

#[derive(Clone, Debug)]
struct StoredKey {
    value: Bytes,
    revision: i64,
    lease: Option<i64>,
}

type Keys = BTreeMap<Bytes, StoredKey>;

/// The store and the state of the oracle.
#[derive(Debug, Default)]
pub(crate) struct ModelStore {
    keys: Keys,
    /// Earlier states with their revisions, for reads that lag behind.
    previous_states: Vec<(i64, Keys)>,
    revision: i64,
    /// Expiry and time to live of each lease.
    leases: BTreeMap<i64, (TimeStamp, Duration)>,
    /// All changes in the order of their revisions.
    pub(crate) changes: Vec<KeyChange>,
    /// Owner of each slot in each epoch.
    pub(crate) owners: BTreeMap<(SlotId, u64), RegistrationId>,
    pub(crate) write_count: u64,
    pub(crate) read_count: u64,
    pub(crate) renew_count: u64,
}

impl ModelStore {
    pub(crate) fn run(
        &mut self,
        call: &StoreCall,
        now: TimeStamp,
        lag: usize,
    ) -> Result<StoreResponse, CallFailure> {
        match call {
            StoreCall::ReadAndWatchRecords => Ok(StoreResponse::Fleet(self.read_fleet(lag))),
            StoreCall::ReadKey(key) => Ok(self.read_key(key, lag)),
            StoreCall::Write(write) => self.write(write),
            StoreCall::GrantLease { lease, ttl } => {
                self.leases.entry(*lease).or_insert((now.plus(*ttl), *ttl));
                Ok(StoreResponse::LeaseHeld)
            }
            StoreCall::RenewLease(lease) => Ok(self.renew_lease(*lease, now)),
            StoreCall::RevokeLease(lease) => {
                self.end_lease(*lease);
                Ok(StoreResponse::LeaseEnded)
            }
        }
    }

    fn renew_lease(&mut self, lease: i64, now: TimeStamp) -> StoreResponse {
        self.renew_count += 1;
        match self.leases.get_mut(&lease) {
            None => StoreResponse::LeaseEnded,
            Some((expires, ttl)) => {
                *expires = now.plus(*ttl);
                StoreResponse::LeaseHeld
            }
        }
    }

    /// Returns the state as of `lag` revisions ago, or the current state if there is none.
    fn state_at_lag(&self, lag: usize) -> (i64, &Keys) {
        let index = self.previous_states.len().checked_sub(lag);
        match index.and_then(|index| self.previous_states.get(index)) {
            Some((revision, keys)) => (*revision, keys),
            None => (self.revision, &self.keys),
        }
    }

    fn read_fleet(&mut self, lag: usize) -> FleetRead {
        self.read_count += 2;
        let (revision, keys) = self.state_at_lag(lag);
        let is_watched_key = |key: &Bytes| {
            key.starts_with(SLOT_PREFIX.as_bytes()) || key.starts_with(DAEMON_PREFIX.as_bytes())
        };
        let entries = keys.iter().filter(|(key, _)| is_watched_key(key));
        FleetRead {
            revision,
            entries: entries
                .map(|(key, stored)| key_entry(key, stored))
                .collect(),
        }
    }

    fn read_key(&mut self, key: &Bytes, lag: usize) -> StoreResponse {
        self.read_count += 1;
        let (revision, keys) = self.state_at_lag(lag);
        let entry = keys.get(key).map(|stored| key_entry(key, stored));
        StoreResponse::Key { revision, entry }
    }

    fn write(&mut self, write: &ConditionalWrite) -> Result<StoreResponse, CallFailure> {
        self.write_count += 1;
        let has_lease =
            |write: &KeyWrite| write.lease.is_none_or(|id| self.leases.contains_key(&id));
        if !write.writes.iter().all(has_lease) {
            return Err(CallFailure::Rejected);
        }
        assert!(write.conditions.len() <= 128 && write.writes.len() <= 128);
        if !write
            .conditions
            .iter()
            .all(|condition| self.is_met(condition))
        {
            let keys = write.failure_reads.iter();
            let entries = keys.filter_map(|key| Some(key_entry(key, self.keys.get(key)?)));
            return Ok(StoreResponse::Write(WriteOutcome::ConditionFailed {
                revision: self.revision,
                entries: entries.collect(),
            }));
        }
        self.commit(&write.writes);
        let revision = self.revision;
        Ok(StoreResponse::Write(WriteOutcome::Applied { revision }))
    }

    fn is_met(&self, condition: &KeyCondition) -> bool {
        match condition {
            KeyCondition::Revision { key, revision } => {
                self.keys.get(key).map_or(0, |stored| stored.revision) == *revision
            }
            KeyCondition::Lease { key, lease } => {
                self.keys.get(key).and_then(|stored| stored.lease) == Some(*lease)
            }
        }
    }

    fn commit(&mut self, writes: &[KeyWrite]) {
        let before = self.keys.clone();
        self.revision += 1;
        for write in writes {
            match &write.value {
                None => {
                    self.keys.remove(&write.key);
                }
                Some(value) => {
                    let stored = StoredKey {
                        value: value.clone(),
                        revision: self.revision,
                        lease: write.lease,
                    };
                    self.keys.insert(write.key.clone(), stored);
                }
            }
            self.changes.push(KeyChange {
                key: write.key.clone(),
                value: write.value.clone(),
                revision: self.revision,
            });
        }
        for write in writes {
            self.check_slot(&before, write);
            self.check_journal(&before, write);
        }
        self.previous_states.push((self.revision - 1, before));
    }

    fn end_lease(&mut self, lease: i64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let attached = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == Some(lease));
        let writes: Vec<KeyWrite> = attached
            .map(|(key, _)| KeyWrite {
                key: key.clone(),
                value: None,
                lease: None,
            })
            .collect();
        if !writes.is_empty() {
            self.commit(&writes);
        }
    }

    pub(crate) fn expire_leases(&mut self, now: TimeStamp) {
        let leases: Vec<i64> = self.leases.keys().copied().collect();
        for lease in leases {
            if self.leases[&lease].0 <= now {
                self.end_lease(lease);
            }
        }
    }

    pub(crate) fn extend_leases(&mut self, now: TimeStamp) {
        for (expires, ttl) in self.leases.values_mut() {
            *expires = now.plus(*ttl);
        }
    }

    /// Ends, before its expiry, the lease that a key is attached to.
    pub(crate) fn end_lease_of(&mut self, key: &Bytes) {
        if let Some(lease) = self.keys.get(key).and_then(|stored| stored.lease) {
            self.end_lease(lease);
        }
    }

    pub(crate) fn record(&self, slot: SlotId) -> Option<SlotRecord> {
        parse(&self.keys, &slot_key(slot))
    }

    /// Checks that a slot's epoch increases by one with each takeover and only then,
    /// and that a takeover follows the seal and keeps the journal entries.
    fn check_slot(&mut self, before: &Keys, write: &KeyWrite) {
        let Some(number) = write.key.strip_prefix(SLOT_PREFIX.as_bytes()) else {
            return;
        };
        let number = String::from_utf8_lossy(number)
            .parse()
            .expect("slot key ends in a number");
        let slot = SlotId::new(number).expect("slot number is in range");
        let record = self.record(slot).expect("a slot record is never deleted");
        let old: Option<SlotRecord> = parse(before, &write.key);
        let epoch = old.as_ref().map_or(0, |old| old.epoch);
        if record.is_released {
            let old = old.expect("a released slot had an owner");
            assert_eq!(
                (record.registration(), record.epoch),
                (old.registration(), epoch)
            );
            return;
        }
        assert_eq!(record.epoch, epoch + 1, "epoch of {slot:?}");
        let earlier = self
            .owners
            .insert((slot, record.epoch), record.registration());
        assert_eq!(earlier, None, "two owners of {slot:?} in one epoch");
        let owner: Option<DaemonRecord> = parse(&self.keys, &daemon_key(&record.owner));
        let incarnation = owner.map(|owner| owner.incarnation);
        assert_eq!(
            incarnation,
            Some(record.incarnation),
            "slot taken by a registration that has ended"
        );
        let Some(old) = old else {
            return;
        };
        let journal = parse(&self.keys, &journal_key(&old.registration()));
        if !old.is_released {
            let journal: Option<&JournalValue> = journal.as_ref();
            let is_sealed = journal.is_none_or(|journal| journal.is_sealed);
            assert!(is_sealed, "slot taken before the journal was sealed");
        }
        let new_owner_journal: JournalValue =
            parse(&self.keys, &journal_key(&record.registration())).unwrap_or_default();
        for entry in journal.unwrap_or_default().entries_of(&[slot]) {
            let found = new_owner_journal.find(entry.program, entry.step);
            assert!(found.is_some(), "slot taken without its journal entries");
        }
    }

    /// Checks that nothing is recorded after the seal or by a daemon that does not own
    /// the slot, and that the journal of an owner is not deleted.
    fn check_journal(&self, before: &Keys, write: &KeyWrite) {
        let Some(path) = write.key.strip_prefix(JOURNAL_PREFIX.as_bytes()) else {
            return;
        };
        let path = String::from_utf8_lossy(path).into_owned();
        let is_journal_of =
            |owner: &RegistrationId| path == format!("{}/{}", owner.name, owner.incarnation);
        let old: JournalValue = parse(before, &write.key).unwrap_or_default();
        let Some(new): Option<JournalValue> = parse(&self.keys, &write.key) else {
            for record in SlotId::all().filter_map(|slot| self.record(slot)) {
                assert!(
                    !is_journal_of(&record.registration()),
                    "journal of a slot's owner was deleted"
                );
            }
            return;
        };
        assert!(!old.is_sealed, "journal written after it was sealed");
        if new.is_sealed {
            assert_eq!(
                new.entries, old.entries,
                "journal entries changed by the seal"
            );
            return;
        }
        for entry in &new.entries {
            let known = old.find(entry.program, entry.step);
            if known.is_some_and(|known| known.attempt == entry.attempt) {
                continue;
            }
            let record = self.record(entry.slot()).expect("an owned slot");
            assert!(
                is_journal_of(&record.registration()),
                "recorded by a daemon that does not own the slot"
            );
            assert!(!record.is_released, "recorded after the slot was released");
        }
    }
}

fn key_entry(key: &Bytes, stored: &StoredKey) -> KeyEntry {
    KeyEntry {
        key: key.clone(),
        value: stored.value.clone(),
        revision: stored.revision,
    }
}

fn parse<T: serde::de::DeserializeOwned>(keys: &Keys, key: &Bytes) -> Option<T> {
    let stored = keys.get(key)?;
    Some(serde_json::from_slice(&stored.value).expect("a readable record"))
}
