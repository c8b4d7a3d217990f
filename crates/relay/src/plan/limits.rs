//! Limits on what callers may send.

use serde::{Deserialize, Serialize};

/// Bounds on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct TrafficLimits {
    /// Largest request head, in bytes.
    pub head_max_bytes: usize,
    /// Largest request body, in bytes.
    pub body_max_bytes: usize,
    /// Time in which a request's head must arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
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
