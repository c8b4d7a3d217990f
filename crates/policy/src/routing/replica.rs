//! State of one replica as a daemon knows it.

use std::net::SocketAddr;

use ibisdale_core::TimeStamp;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use super::outlier::FailureRecord;
use super::set::DomainKey;

new_key_type! {
    /// Names a replica within its [`ReplicaSet`](crate::ReplicaSet).
    pub struct ReplicaKey;
}

/// Calls that an engine runs at once unless its settings say otherwise.
const DEFAULT_RUNNING_LIMIT: u32 = 32;

/// Tells whether a replica takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaStatus {
    /// Takes new work.
    #[default]
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// What the settings say of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSpec {
    pub(crate) address: SocketAddr,
    pub(crate) domain: DomainKey,
    pub(crate) running_limit: u32,
}

impl ReplicaSpec {
    /// Creates the description of a replica.
    #[must_use]
    pub fn new(address: SocketAddr, domain: DomainKey) -> Self {
        Self {
            address,
            domain,
            running_limit: DEFAULT_RUNNING_LIMIT,
        }
    }

    /// Sets how many calls the replica runs at once; zero counts as one.
    #[must_use]
    pub fn running_limit(mut self, limit: u32) -> Self {
        self.running_limit = limit.max(1);
        self
    }
}

/// Load that a replica reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadReport {
    /// Calls waiting in the engine.
    pub queue_length: u32,
    /// Calls in the engine's batch.
    pub running: u32,
    /// Part of the KV cache in use, in thousandths.
    pub kv_use_permille: u16,
    /// When the engine measured this, by the clock that decisions are given.
    pub at: TimeStamp,
}

/// A replica and what the daemon learned about it.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaState {
    pub(crate) spec: ReplicaSpec,
    pub(crate) status: ReplicaStatus,
    pub(crate) report: LoadReport,
    /// Own calls in flight.
    pub(crate) own_flights: u32,
    /// Own calls begun since the report was measured and still in flight.
    pub(crate) own_unreported: u32,
    /// Own calls that the report counts and that have ended since.
    pub(crate) own_ended: u32,
    /// Prompt tokens of own calls that are sent and not yet computed.
    pub(crate) own_prefill_tokens: u64,
    pub(crate) failures: FailureRecord,
    /// Observed time to first token over the expected one.
    pub(crate) slowness: f64,
    /// Part of the expected cached tokens that were found cached.
    pub(crate) cache_trust: f64,
    /// Cache knowledge from before this time missed events.
    pub(crate) gap_at: TimeStamp,
    /// Position among the live replicas of the set.
    pub(crate) live_index: Option<usize>,
}

impl ReplicaState {
    pub(crate) fn new(spec: ReplicaSpec) -> Self {
        Self {
            spec,
            status: ReplicaStatus::Live,
            report: LoadReport::default(),
            own_flights: 0,
            own_unreported: 0,
            own_ended: 0,
            own_prefill_tokens: 0,
            failures: FailureRecord::default(),
            slowness: 1.0,
            cache_trust: 1.0,
            gap_at: TimeStamp::default(),
            live_index: None,
        }
    }

    /// Returns the calls the replica is expected to hold now: those reported,
    /// corrected by own calls begun and ended since.
    pub(crate) fn expected_calls(&self, now: TimeStamp, report_max_age_ms: u64) -> u32 {
        let age = now.since(self.report.at).as_millis();
        if age > u128::from(report_max_age_ms) {
            return self.own_flights;
        }
        let reported = self.report.queue_length.saturating_add(self.report.running);
        let corrected = reported
            .saturating_sub(self.own_ended)
            .saturating_add(self.own_unreported);
        corrected.max(self.own_flights)
    }
}
