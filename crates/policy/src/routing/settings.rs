//! Settings of replica selection.

use serde::{Deserialize, Serialize};

/// Settings of replica selection.
///
/// The cost figures describe the engines in general; corrections for each replica
/// are learned from its responses.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct RoutingSettings {
    /// Time to compute 1,000 uncached prompt tokens, in milliseconds.
    pub prefill_ms_per_kilotoken: f64,
    /// Time that a typical call stays in an engine's batch, in milliseconds.
    pub service_ms: f64,
    /// Delay that each running call adds to a new call, in milliseconds.
    pub load_ms_per_running: f64,
    /// Cost, as a multiple of the call's prefill time, for each running call that the
    /// prefill delays.
    ///
    /// Without this cost, calls were sent to replicas without their cached prefix for
    /// a shorter wait until, at 90% load, nearly every prefix was recomputed.
    pub disturbance: f64,
    /// Cost of sending a call to another failure domain, in milliseconds.
    pub cross_domain_ms: f64,
    /// Number of replicas sampled at random and compared.
    ///
    /// When load reports lag, more samples make more daemons choose the same replica.
    pub sample_count: usize,
    /// Maximum number of calls waiting at a replica that has no prefix of the prompt cached.
    pub queue_allowance: u32,
    /// Maximum number of calls waiting at a replica that has a prefix of the prompt cached.
    pub prefix_queue_allowance: u32,
    /// Fraction of a replica's running limit available to workspaces over their share.
    pub over_share_part: f64,
    /// Age after which a load report is ignored, in milliseconds.
    pub report_max_age_ms: u64,
    /// Number of consecutive failures after which a replica is ejected.
    pub ejection_failures: u32,
    /// Duration of the first ejection, in milliseconds; doubles with each further ejection.
    pub ejection_ms: u64,
    /// Maximum duration of an ejection, and time limit of a probe, in milliseconds.
    pub ejection_max_ms: u64,
    /// Maximum number of sessions whose cached prefixes are stored.
    pub session_limit: usize,
}

impl Default for RoutingSettings {
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
