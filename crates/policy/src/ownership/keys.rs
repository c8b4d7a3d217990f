//! Names of keys in the key-value service.

use std::str;

use bytes::Bytes;
use ibisdale_core::{DaemonName, SlotId};

use super::record::OwnerIdentity;

/// Prefix of the slots' records.
pub const SLOT_PREFIX: &str = "/ibisdale/slots/";
/// Prefix of the daemons' records.
pub const DAEMON_PREFIX: &str = "/ibisdale/daemons/";
/// Prefix of the journals.
pub const JOURNAL_PREFIX: &str = "/ibisdale/journals/";

/// Returns the key of a slot's record.
#[must_use]
pub fn slot_key(slot: SlotId) -> Bytes {
    Bytes::from(format!("{SLOT_PREFIX}{:04}", slot.get()))
}

/// Returns the key of a daemon's record.
#[must_use]
pub fn daemon_key(name: &DaemonName) -> Bytes {
    Bytes::from(format!("{DAEMON_PREFIX}{name}"))
}

/// Returns the key of a registration's journal.
#[must_use]
pub fn journal_key(owner: &OwnerIdentity) -> Bytes {
    let OwnerIdentity { name, incarnation } = owner;
    Bytes::from(format!("{JOURNAL_PREFIX}{name}/{incarnation}"))
}

/// A key whose changes the machine follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FollowedKey {
    Slot(SlotId),
    Daemon(DaemonName),
}

impl FollowedKey {
    /// Reads a key; nothing for keys of other kinds.
    pub(crate) fn parse(key: &[u8]) -> Option<Self> {
        let text = str::from_utf8(key).ok()?;
        if let Some(number) = text.strip_prefix(SLOT_PREFIX) {
            let slot = SlotId::new(number.parse().ok()?).ok()?;
            return Some(Self::Slot(slot));
        }
        let name = text.strip_prefix(DAEMON_PREFIX)?.to_owned();
        DaemonName::new(name).ok().map(Self::Daemon)
    }
}
