//! What a daemon knows about one replica.

use std::net::SocketAddr;

use ibisdale_core::TimeStamp;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use super::outlier::FailureRecord;
use super::set::DomainKey;

new_key_type! {
    /// Identifies a replica within its [`ReplicaSet`](crate::ReplicaSet).
    pub struct ReplicaKey;
}

/// Number of concurrent calls of an engine whose limit is not set.
const DEFAULT_RUNNING_LIMIT: u32 = 32;

/// Whether a replica takes new calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaStatus {
    /// The replica takes new calls.
    #[default]
    Live,
    /// The replica completes its calls and takes no new ones.
    Leaving,
}

/// Configuration of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSpec {
    pub(crate) address: SocketAddr,
    pub(crate) domain: DomainKey,
    pub(crate) running_limit: u32,
}

impl ReplicaSpec {
    /// Creates the configuration of a replica with the default concurrency limit.
    #[must_use]
    pub fn new(address: SocketAddr, domain: DomainKey) -> Self {
        Self {
            address,
            domain,
            running_limit: DEFAULT_RUNNING_LIMIT,
        }
    }

    /// Sets the number of calls that the replica runs concurrently; zero is treated
    /// as one.
    #[must_use]
    pub fn running_limit(mut self, limit: u32) -> Self {
        self.running_limit = limit.max(1);
        self
    }
}

/// Load reported by a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadReport {
    /// Number of calls waiting in the engine.
    pub queue_length: u32,
    /// Number of calls in the engine's batch.
    pub running: u32,
    /// Fraction of the KV cache in use, in thousandths.
    pub kv_use_permille: u16,
    /// Time of measurement, on the clock used for the decisions.
    pub at: TimeStamp,
}

/// Configuration and observed state of a replica.
///
/// Fields prefixed with `own_` cover only calls sent by this daemon.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaState {
    pub(crate) spec: ReplicaSpec,
    pub(crate) status: ReplicaStatus,
    pub(crate) report: LoadReport,
    /// Number of own calls in flight.
    pub(crate) own_in_flight: u32,
    /// Number of own calls in flight that started after the reported load was measured.
    pub(crate) own_unreported: u32,
    /// Number of own calls that started before the reported load was measured and
    /// have ended since the report was received.
    pub(crate) own_ended: u32,
    /// Uncached prompt tokens of own calls that are waiting for the first token.
    pub(crate) own_prefill_tokens: u64,
    pub(crate) failures: FailureRecord,
    /// Moving average of the ratio of the observed time to the first token to the one
    /// expected without this correction.
    pub(crate) slowdown: f64,
    /// Moving average of the fraction of expected cached tokens that was found.
    pub(crate) cache_confidence: f64,
    /// Time of the latest gap in the cache events.
    pub(crate) last_gap_at: TimeStamp,
    /// Index in the set's list of live replicas; none while leaving.
    pub(crate) live_index: Option<usize>,
}

impl ReplicaState {
    pub(crate) fn new(spec: ReplicaSpec) -> Self {
        Self {
            spec,
            status: ReplicaStatus::Live,
            report: LoadReport::default(),
            own_in_flight: 0,
            own_unreported: 0,
            own_ended: 0,
            own_prefill_tokens: 0,
            failures: FailureRecord::default(),
            slowdown: 1.0,
            cache_confidence: 1.0,
            last_gap_at: TimeStamp::default(),
            live_index: None,
        }
    }

    /// Returns the expected number of calls at the replica: the reported number,
    /// corrected by own calls that started or ended since.
    ///
    /// A report older than `report_max_age_ms` is ignored and only own calls count.
    pub(crate) fn expected_calls(&self, now: TimeStamp, report_max_age_ms: u64) -> u32 {
        let age = now.since(self.report.at).as_millis();
        if age > u128::from(report_max_age_ms) {
            return self.own_in_flight;
        }
        let reported = self.report.queue_length.saturating_add(self.report.running);
        let corrected = reported
            .saturating_sub(self.own_ended)
            .saturating_add(self.own_unreported);
        corrected.max(self.own_in_flight)
    }
}
