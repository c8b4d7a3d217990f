//! The platform's list of VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Tells whether a VM is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is to stay.
    Live,
    /// The VM is being replaced.
    Leaving,
}

/// A VM and what runs on it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct VmEntry {
    /// The VM's name.
    pub name: String,
    /// What runs there, for example `models/small`, `services/orders` or `daemons`.
    pub group: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain.
    pub failure_domain: String,
    /// The region.
    pub region: String,
    /// Whether it is to stay.
    pub state: VmState,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct VmList {
    /// All VMs.
    pub vms: Vec<VmEntry>,
}
