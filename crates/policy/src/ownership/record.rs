//! Records in the key-value service.

use std::net::SocketAddr;

use bytes::Bytes;
use ibisdale_core::DaemonName;
use serde::{Deserialize, Serialize};

/// One registration of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct OwnerIdentity {
    /// The daemon.
    pub name: DaemonName,
    /// Rises with each registration of the daemon.
    pub incarnation: u64,
}

/// The record of a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SlotRecord {
    /// The owner.
    pub owner: DaemonName,
    /// The owner's registration.
    pub incarnation: u64,
    /// Rises with each change of owner.
    pub epoch: u64,
    /// Identifies the write that made this record.
    pub nonce: u64,
    /// Set when the owner has given the slot up.
    pub is_released: bool,
}

impl SlotRecord {
    /// Returns the owner's registration.
    #[must_use]
    pub fn identity(&self) -> OwnerIdentity {
        OwnerIdentity {
            name: self.owner.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// The record of a daemon, which ends with its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct DaemonRecord {
    /// The registration.
    pub incarnation: u64,
    /// Identifies the write that made this record.
    pub nonce: u64,
    /// Where other daemons reach it.
    pub fleet_address: SocketAddr,
    /// Where callers reach it.
    pub entry_address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Set when it is leaving and takes no more slots.
    pub is_draining: bool,
}

/// Writes a record as JSON.
pub(crate) fn to_json(record: &impl Serialize) -> Bytes {
    // The records are plain structs, whose serialisation can't fail.
    Bytes::from(serde_json::to_vec(record).unwrap_or_default())
}
