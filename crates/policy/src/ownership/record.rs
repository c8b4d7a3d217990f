//! Records stored in the key-value service.

use std::net::SocketAddr;

use bytes::Bytes;
use ibisdale_core::DaemonName;
use serde::{Deserialize, Serialize};

/// Identifies one registration of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RegistrationId {
    /// Name of the daemon.
    pub name: DaemonName,
    /// Increases with each registration of the daemon.
    pub incarnation: u64,
}

/// Stored record of a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SlotRecord {
    /// Name of the owner.
    pub owner: DaemonName,
    /// Incarnation of the owner's registration.
    pub incarnation: u64,
    /// Increases with each takeover.
    pub epoch: u64,
    /// Nonce of the write of this record.
    pub nonce: u64,
    /// Whether the owner has released the slot.
    pub is_released: bool,
}

impl SlotRecord {
    /// Returns the registration that owns the slot.
    #[must_use]
    pub fn registration(&self) -> RegistrationId {
        RegistrationId {
            name: self.owner.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Stored record of a daemon, attached to its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct DaemonRecord {
    /// Incarnation of the registration.
    pub incarnation: u64,
    /// Nonce of the write of this record.
    pub nonce: u64,
    /// Address for other daemons.
    pub fleet_address: SocketAddr,
    /// Address for callers.
    pub entry_address: SocketAddr,
    /// Failure domain of the daemon.
    pub failure_domain: String,
    /// Whether the daemon is draining and takes no more slots.
    pub is_draining: bool,
}

/// Serializes a record as JSON.
pub(crate) fn to_json(record: &impl Serialize) -> Bytes {
    // Serializing the stored types can't fail.
    Bytes::from(serde_json::to_vec(record).unwrap_or_default())
}
