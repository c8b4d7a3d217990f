//! Membership updates that daemons exchange.

use std::net::SocketAddr;

use bytes::Bytes;
use ibisdale_core::DaemonName;
use serde::{Deserialize, Serialize};

/// State of a member.
///
/// Of two updates with the same version, the one with the greater state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Is shutting down and accepts no new work. Set by the member itself.
    Draining,
    /// Did not answer a probe and may refute the suspicion.
    Suspect,
    /// Is considered dead until it restarts or refutes this.
    Dead,
}

/// Version of an update; updates of a member are ordered by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberVersion {
    /// Increases with each start of the member.
    pub incarnation: u64,
    /// Increased by the member itself with each change and each refutation.
    pub version: u64,
}

/// Attributes that a member reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberFacts {
    /// Name of the member.
    pub name: DaemonName,
    /// Address on which other daemons reach the member.
    pub fleet_address: SocketAddr,
    /// Address on which callers reach the member.
    pub entry_address: SocketAddr,
    /// Failure domain of the member's VM.
    pub failure_domain: Bytes,
    /// Settings revision that the member has applied.
    pub settings_revision: u64,
    /// Load in thousandths of the member's capacity.
    pub load_permille: u32,
    /// Whether the member stores copies of program histories.
    pub is_holder: bool,
}

/// Attributes and state of one member, which daemons pass on to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberUpdate {
    /// Attributes of the member.
    pub facts: MemberFacts,
    /// Version of the update.
    pub version: MemberVersion,
    /// State of the member.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Returns whether this update replaces `other`, which concerns the same member.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.version, self.state) > (other.version, other.state)
    }
}
