//! What readers are told of ownership.

use ibisdale_core::{DaemonName, SlotId, TimeStamp};

use super::record::{DaemonRecord, OwnerIdentity};

/// How far this daemon's registration has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPhase {
    /// Not registered; no slot is owned.
    Starting,
    /// Registered.
    Active,
    /// Registered, and giving its slots up.
    Draining,
    /// All slots are given up and the lease is ended.
    Ended,
    /// Another process has registered under the same name.
    Superseded,
}

/// The owner of a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotOwner {
    /// The owner's registration.
    pub owner: OwnerIdentity,
    /// The slot's epoch.
    pub epoch: u64,
    /// Set when it is this registration of this daemon.
    pub is_own: bool,
    /// Set when an own slot is about to be given up: it takes no new work.
    pub is_leaving: bool,
}

/// A live daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveDaemon {
    /// Its name.
    pub name: DaemonName,
    /// Its record.
    pub record: DaemonRecord,
}

/// Ownership of all slots at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipSnapshot {
    /// How far this daemon's registration has come.
    pub phase: SessionPhase,
    /// This daemon's registration, once it has one.
    pub identity: Option<OwnerIdentity>,
    /// Until when the lease is known to be held.
    pub confirmed_until: TimeStamp,
    /// Revision of the store that this shows.
    pub revision: i64,
    /// Number of slots whose records can't be read.
    pub unreadable_slots: usize,
    /// Owners by slot number; nothing while a slot has none.
    pub owners: Vec<Option<SlotOwner>>,
    /// Records of the live daemons, by name.
    pub daemons: Vec<LiveDaemon>,
}

impl OwnershipSnapshot {
    /// Creates the snapshot of a daemon that knows nothing yet.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            phase: SessionPhase::Starting,
            identity: None,
            confirmed_until: TimeStamp::default(),
            revision: 0,
            unreadable_slots: 0,
            owners: Vec::new(),
            daemons: Vec::new(),
        }
    }

    /// Returns the owner of a slot.
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

    /// Tells whether the lease is known to be held at `now`.
    ///
    /// An owner whose lease is not confirmed goes on: its writes are stopped by
    /// epochs where they take effect.
    #[must_use]
    pub fn is_confirmed(&self, now: TimeStamp) -> bool {
        now < self.confirmed_until
    }
}
