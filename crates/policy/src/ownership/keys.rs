//! Key names in the key-value service.

use std::str;

use bytes::Bytes;
use ibisdale_core::{DaemonName, SlotId};

use super::record::RegistrationId;

/// Key prefix of slot records.
pub const SLOT_PREFIX: &str = "/ibisdale/slots/";
/// Key prefix of daemon records.
pub const DAEMON_PREFIX: &str = "/ibisdale/daemons/";
/// Key prefix of journals.
pub const JOURNAL_PREFIX: &str = "/ibisdale/journals/";

/// Returns the key of a slot record.
#[must_use]
pub fn slot_key(slot: SlotId) -> Bytes {
    Bytes::from(format!("{SLOT_PREFIX}{:04}", slot.get()))
}

/// Returns the key of a daemon record.
#[must_use]
pub fn daemon_key(name: &DaemonName) -> Bytes {
    Bytes::from(format!("{DAEMON_PREFIX}{name}"))
}

/// Returns the key of the journal of a registration.
#[must_use]
pub fn journal_key(registration: &RegistrationId) -> Bytes {
    let RegistrationId { name, incarnation } = registration;
    Bytes::from(format!("{JOURNAL_PREFIX}{name}/{incarnation}"))
}

/// A key whose changes are watched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WatchedKey {
    Slot(SlotId),
    Daemon(DaemonName),
}

impl WatchedKey {
    /// Parses the key of a slot or daemon record; returns `None` for other keys.
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
