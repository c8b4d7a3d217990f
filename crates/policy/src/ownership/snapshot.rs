//! Ownership as published to the rest of the daemon.

use ibisdale_core::{DaemonName, SlotId, TimeStamp};

use super::record::{DaemonRecord, RegistrationId};

/// Phase of this daemon's registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationPhase {
    /// Not registered yet, so no slot is owned.
    Starting,
    /// Registered.
    Active,
    /// Releasing all slots or revoking the lease.
    Draining,
    /// All slots are released and the lease is revoked.
    Ended,
    /// Another process has registered under the same name.
    Superseded,
}

/// Owner named in a slot's record. It may have ended or released the slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotOwner {
    /// Registration of the owner.
    pub owner: RegistrationId,
    /// Epoch of the slot.
    pub epoch: u64,
    /// Whether the slot is owned by this daemon's current registration.
    pub is_own: bool,
    /// Whether the owner has released the slot, or this daemon is about to. The slot
    /// takes no new work.
    pub is_leaving: bool,
}

/// A live daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveDaemon {
    /// Name of the daemon.
    pub name: DaemonName,
    /// Stored record of the daemon.
    pub record: DaemonRecord,
}

/// Ownership of all slots, as known to this daemon at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipSnapshot {
    /// Phase of this daemon's registration.
    pub phase: RegistrationPhase,
    /// This daemon's registration, while it is active.
    pub registration: Option<RegistrationId>,
    /// Time until which the lease is known to be held.
    pub lease_confirmed_until: TimeStamp,
    /// Store revision of the newest change seen.
    pub revision: i64,
    /// Number of slots whose records can't be read.
    pub unreadable_slots: usize,
    /// Owner named in each slot's record, indexed by slot number; `None` without a
    /// readable record.
    pub owners: Vec<Option<SlotOwner>>,
    /// Records of the live daemons, sorted by name.
    pub daemons: Vec<LiveDaemon>,
}

impl OwnershipSnapshot {
    /// Creates the snapshot of a daemon that has not read any records yet.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            phase: RegistrationPhase::Starting,
            registration: None,
            lease_confirmed_until: TimeStamp::default(),
            revision: 0,
            unreadable_slots: 0,
            owners: Vec::new(),
            daemons: Vec::new(),
        }
    }

    /// Returns the owner named in a slot's record.
    #[must_use]
    pub fn owner(&self, slot: SlotId) -> Option<&SlotOwner> {
        self.owners.get(usize::from(slot.get()))?.as_ref()
    }

    /// Iterates over the slots that this daemon owns, with their epochs.
    pub fn own_slots(&self) -> impl Iterator<Item = (SlotId, u64)> {
        let owners = SlotId::all().zip(&self.owners);
        owners.filter_map(|(slot, owner)| {
            let owner = owner.as_ref().filter(|owner| owner.is_own)?;
            Some((slot, owner.epoch))
        })
    }

    /// Returns whether the lease is known to be held at `now`.
    ///
    /// An owner whose lease is not confirmed keeps working. If another daemon has
    /// taken the slot, services that check epochs reject the old owner's writes.
    #[must_use]
    pub fn is_lease_confirmed(&self, now: TimeStamp) -> bool {
        now < self.lease_confirmed_until
    }
}
