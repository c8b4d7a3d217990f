//! Settings of the routing decision.

use serde::{Deserialize, Serialize};

/// Tunes the choice of a replica.
///
/// The cost figures describe the engines in general; what a replica's own
/// answers show is learned beside them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct RoutingWeights {
    /// Time to compute 1,000 prompt tokens that are not cached, in milliseconds.
    pub prefill_ms_per_kilotoken: f64,
    /// Time that a typical call holds a place in an engine's batch, in milliseconds.
    pub service_ms: f64,
    /// Time that each other running call adds to a call, in milliseconds.
    pub load_ms_per_running: f64,
    /// Part of the time to compute a prompt that counts once more for each call
    /// that runs beside it, which it delays.
    pub disturbance: f64,
    /// Cost of leaving the caller's failure domain, in milliseconds.
    pub cross_domain_ms: f64,
    /// Number of replicas drawn at random and compared.
    pub sample_count: usize,
    /// Calls a replica may hold waiting before a call without a cached prefix goes elsewhere.
    pub queue_allowance: u32,
    /// Calls a replica may hold waiting before a call with a cached prefix goes elsewhere.
    pub prefix_queue_allowance: u32,
    /// Part of a replica's places that calls of a workspace over its share may fill.
    pub over_share_part: f64,
    /// Age after which a load report counts for nothing, in milliseconds.
    pub report_max_age_ms: u64,
    /// Failures in a row after which a replica is avoided.
    pub ejection_failures: u32,
    /// Time for which a replica is first avoided, in milliseconds; doubles each time.
    pub ejection_ms: u64,
    /// Longest time for which a replica is avoided before it is probed, in milliseconds.
    pub ejection_max_ms: u64,
    /// Sessions whose cached prefixes are remembered.
    pub session_limit: usize,
}

impl Default for RoutingWeights {
    fn default() -> Self {
        Self {
            prefill_ms_per_kilotoken: 100.0,
            service_ms: 4_000.0,
            load_ms_per_running: 20.0,
            disturbance: 2.0,
            cross_domain_ms: 3.0,
            sample_count: 2,
            queue_allowance: 0,
            prefix_queue_allowance: 16,
            over_share_part: 0.5,
            report_max_age_ms: 10_000,
            ejection_failures: 3,
            ejection_ms: 1_000,
            ejection_max_ms: 30_000,
            session_limit: 65_536,
        }
    }
}
