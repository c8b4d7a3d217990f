//! A daemon and the members it knows.

use serde::{Deserialize, Serialize};

use crate::DaemonName;

/// What a daemon makes of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Has not answered lately.
    Suspect,
    /// Leaves and takes no new work.
    Draining,
    /// Is gone.
    Dead,
}

/// A member of the fleet as a daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct MemberStatus {
    /// The member's name.
    pub name: DaemonName,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its address for callers.
    pub entry_address: String,
    /// What the daemon makes of it.
    pub state: MemberState,
    /// The last settings revision that it was heard to have.
    pub settings_revision: u64,
}

/// A daemon's status.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct StatusReply {
    /// The daemon's name.
    pub name: DaemonName,
    /// Tells one start of the daemon from the next.
    pub incarnation: u64,
    /// The settings revision in force.
    pub settings_revision: u64,
    /// Time since the revision was last confirmed, in milliseconds; `None`
    /// where it never was.
    pub settings_confirmed_ms: Option<u64>,
    /// Members that the daemon knows, itself included.
    pub members: Vec<MemberStatus>,
    /// Slots that the daemon owns.
    pub slots_owned: u32,
    /// Whether the daemon is leaving.
    pub draining: bool,
}

/// Says that a graceful shutdown has started.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct DrainReply {
    /// The daemon's name.
    pub name: DaemonName,
}
