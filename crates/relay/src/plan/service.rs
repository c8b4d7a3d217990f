//! Services and what their replicas can do.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What the engines behind a service tell of themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct EngineFacts {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into a replica's memory.
    pub memory_tokens: u64,
    /// Tokens in each event of a stream.
    pub event_tokens: u64,
}

/// A service that requests are sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Bytes,
    /// Connections that a replica accepts from all VMs together.
    pub connections_max: u32,
    /// Present when the replicas are model engines.
    pub engine: Option<EngineFacts>,
}
