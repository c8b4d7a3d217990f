//! Differences between two lists of replicas.

use super::replicas::{ReplicaInfo, ReplicaKey};

/// Differences between two lists of replicas.
#[derive(Clone, Debug, Default)]
pub struct ReplicaChanges {
    /// Added replicas.
    pub added: Vec<ReplicaInfo>,
    /// Replicas with changed properties.
    pub changed: Vec<ReplicaInfo>,
    /// Removed replicas.
    pub removed: Vec<(ReplicaKey, ReplicaInfo)>,
}
