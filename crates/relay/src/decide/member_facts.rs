//! What is known of one VM and its process.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::Bytes;
use ibisdale_core::hash_bytes;
use serde::{Deserialize, Serialize};

/// Hash of a VM's name.
pub type VmKey = u64;

/// Properties that a VM reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct MemberFacts {
    /// Name of the VM.
    pub name: Bytes,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// IP address of the VM.
    pub ip: Ipv4Addr,
    /// Port for messages between daemons.
    pub peer_port: u16,
    /// Port for connections of callers.
    pub entry_port: u16,
    /// Name of the VM's failure domain.
    pub domain: Bytes,
    /// Name of the VM's region.
    pub region: Bytes,
    /// Whether callers may be directed to it.
    pub is_serving: bool,
}

impl MemberFacts {
    /// Returns the hash of the VM's name.
    #[must_use]
    pub fn key(&self) -> VmKey {
        hash_bytes(&self.name)
    }

    /// Returns the address for messages of other daemons.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.peer_port)
    }
}

/// A process of a VM that was not known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewProcess {
    /// The VM.
    pub vm: VmKey,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Start time of the process that was known before; `None` if the VM was not known.
    pub earlier: Option<u64>,
}
