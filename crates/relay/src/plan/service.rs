//! Services and the capacity of their engines.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Properties of a service's replicas if they are model engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct EngineSpec {
    /// Maximum number of concurrent requests of a replica.
    pub slots: u32,
    /// Capacity of a replica's KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Number of tokens in each event of a stream.
    pub tokens_per_event: u64,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Bytes,
    /// Maximum number of connections that a replica accepts from all VMs together.
    pub connections_max: u32,
    /// Engine properties; `None` if the replicas are not model engines.
    pub engine: Option<EngineSpec>,
}
