//! What daemons tell each other of a member.

use std::net::SocketAddr;

use bytes::Bytes;
use ibisdale_core::DaemonName;
use serde::{Deserialize, Serialize};

/// State of a member.
///
/// The order decides between two updates of the same version: the later wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Leaves and takes no new work; said by the member itself.
    Draining,
    /// Has not answered and may refute that.
    Suspect,
    /// Is taken for dead until it starts again or refutes that.
    Dead,
}

/// Age of what is told of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberVersion {
    /// Raised at each start of the member.
    pub incarnation: u64,
    /// Raised by the member itself with each change and refutation.
    pub version: u64,
}

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberFacts {
    /// The member's name.
    pub name: DaemonName,
    /// Address for other daemons.
    pub fleet_address: SocketAddr,
    /// Address for callers.
    pub entry_address: SocketAddr,
    /// Failure domain of its VM.
    pub failure_domain: Bytes,
    /// Settings revision that it has in force.
    pub settings_revision: u64,
    /// Load in thousandths of its capacity.
    pub load_permille: u32,
    /// Whether it keeps copies of histories.
    pub is_holder: bool,
}

/// What is told of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberUpdate {
    /// The member.
    pub facts: MemberFacts,
    /// Age of the update.
    pub version: MemberVersion,
    /// The member's state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Tells whether this update replaces `other`, of the same member.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.version, self.state) > (other.version, other.state)
    }
}
