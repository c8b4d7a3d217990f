//! Status of a daemon and of the fleet members known to it.

use serde::{Deserialize, Serialize};

use crate::DaemonName;

/// State of a member as seen by a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer a recent probe.
    Suspect,
    /// Is shutting down and accepts no new work.
    Draining,
    /// Was suspected and did not refute the suspicion in time.
    Dead,
}

/// Status of a fleet member as seen by a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub name: DaemonName,
    /// Failure domain of the member.
    pub failure_domain: String,
    /// Address on which the member accepts requests from callers.
    pub entry_address: String,
    /// State of the member.
    pub state: MemberState,
    /// The latest settings revision that the member is known to have.
    pub settings_revision: u64,
}

/// Status of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct StatusReply {
    /// Name of the daemon.
    pub name: DaemonName,
    /// Incarnation number, which increases with each start of the daemon.
    pub incarnation: u64,
    /// The settings revision that the daemon uses.
    pub settings_revision: u64,
    /// Milliseconds since the revision was last known to be the newest, or `None` if it
    /// never was.
    pub settings_confirmed_ms: Option<u64>,
    /// Members known to the daemon, including itself.
    pub members: Vec<MemberStatus>,
    /// Number of slots that the daemon owns.
    pub slots_owned: u32,
    /// Whether the daemon is shutting down.
    pub draining: bool,
}

/// Response to a drain request, sent once graceful shutdown has started.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct DrainReply {
    /// Name of the daemon.
    pub name: DaemonName,
}
