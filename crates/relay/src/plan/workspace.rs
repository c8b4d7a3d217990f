//! Workspaces, their keys and rates.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What a workspace may do.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkspaceGrant {
    /// Name of the workspace.
    pub name: Bytes,
    /// Keys that its callers present.
    pub keys: Vec<Bytes>,
    /// Urgency that replaces that of a route.
    pub priority: Option<u8>,
    /// Requests a second over all VMs; 0 is without a limit.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}
