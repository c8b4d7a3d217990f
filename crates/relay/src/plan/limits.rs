//! Limits on client requests and connections.

use serde::{Deserialize, Serialize};

/// Size limits and timeouts for client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct TrafficLimits {
    /// Maximum size of a request head, in bytes.
    pub head_max_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: usize,
    /// Timeout for receiving a complete request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Idle time after which a connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for TrafficLimits {
    fn default() -> Self {
        Self {
            head_max_bytes: 16 * 1_024,
            body_max_bytes: 4 * 1_024 * 1_024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
