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
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Bytes,
    /// Maximum number of connections that a replica accepts from all VMs together.
    pub connections_max: u32,
    /// Engine properties; `None` if the replicas are not model engines.
    pub engine: Option<EngineSpec>,
    /// Time for which a replica is cold after its start or return, in milliseconds.
    pub cold_time_ms: u64,
    /// Requests per second that a cold replica tolerates from all VMs together; 0 if cold replicas
    /// are not limited.
    pub cold_per_s: f64,
}
