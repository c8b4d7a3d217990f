//! In-flight requests of each VM at the replicas, as the VMs exchange them.

use serde::{Deserialize, Serialize};

/// Number of in-flight requests of one VM at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct InFlightCount {
    /// Truncated hash of the replica's identifier.
    pub replica_hash: u32,
    /// Number of requests sent and not finished.
    pub requests: u32,
}

/// In-flight counts last received from another VM.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerInFlight {
    pub(super) counts: Vec<InFlightCount>,
    pub(super) received_ms: u64,
}

/// Truncates a hash to save space in messages; a collision only makes the load of the
/// replicas involved inexact.
#[expect(clippy::cast_possible_truncation, reason = "only the lower half is used")]
pub(super) fn truncate_hash(hash: u64) -> u32 {
    hash as u32
}
