//! Workspaces with their keys and rate limits.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Keys, priority and rate limit of a workspace.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: Bytes,
    /// API keys of the workspace.
    pub keys: Vec<Bytes>,
    /// Priority that overrides that of the route.
    pub priority: Option<u8>,
    /// Requests per second across all VMs; 0 means unlimited.
    pub rate_per_s: f64,
    /// Burst size: requests allowed at once in excess of the rate.
    pub burst: f64,
}
