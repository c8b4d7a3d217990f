//! Metrics of kept turns.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry};

use crate::client::{ChainError, TurnChain};

/// Upper bounds of the latency buckets, in seconds.
const BUCKETS_SECONDS: [f64; 10] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.5];

/// Metrics of an entry VM.
#[derive(Clone, Debug)]
pub struct ClientMetrics {
    keeps: IntCounterVec,
    lookups: IntCounterVec,
    chain_turns: IntCounterVec,
    seconds: HistogramVec,
}

impl ClientMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if they are registered already.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            keeps: counters(
                "ibisdale_turns_kept_total",
                "Turns whose copies were made, or not, by outcome.",
                "outcome",
            )?,
            lookups: counters(
                "ibisdale_turn_lookups_total",
                "Lookups of chains, by outcome.",
                "outcome",
            )?,
            chain_turns: counters(
                "ibisdale_turn_chain_turns_total",
                "Turns of chains that were looked up, by where they were found.",
                "source",
            )?,
            seconds: HistogramVec::new(
                HistogramOpts::new(
                    "ibisdale_turn_seconds",
                    "Time for making the copies of a turn and for looking up a chain.",
                )
                .buckets(BUCKETS_SECONDS.to_vec()),
                &["step"],
            )?,
        };
        registry.register(Box::new(metrics.keeps.clone()))?;
        registry.register(Box::new(metrics.lookups.clone()))?;
        registry.register(Box::new(metrics.chain_turns.clone()))?;
        registry.register(Box::new(metrics.seconds.clone()))?;
        Ok(metrics)
    }

    pub(crate) fn observe_keep(&self, is_kept: bool, elapsed: Duration) {
        let outcome = if is_kept { "kept" } else { "failed" };
        self.keeps.with_label_values(&[outcome]).inc();
        let histogram = self.seconds.with_label_values(&["keep"]);
        histogram.observe(elapsed.as_secs_f64());
    }

    pub(crate) fn observe_lookup(&self, result: &Result<TurnChain, ChainError>, elapsed: Duration) {
        let outcome = match result {
            Ok(_) => "found",
            Err(ChainError::Missing) => "missing",
            Err(ChainError::Unknown) => "unknown",
            Err(ChainError::TooLong) => "too_long",
        };
        self.lookups.with_label_values(&[outcome]).inc();
        if let Ok(chain) = result {
            let cached = u64::try_from(chain.cached).unwrap_or(u64::MAX);
            let total = u64::try_from(chain.turns.len()).unwrap_or(u64::MAX);
            let turns = &self.chain_turns;
            turns.with_label_values(&["memory"]).inc_by(cached);
            turns.with_label_values(&["holder"]).inc_by(total - cached);
        }
        let histogram = self.seconds.with_label_values(&["lookup"]);
        histogram.observe(elapsed.as_secs_f64());
    }
}

/// Metrics of a holder.
#[derive(Clone, Debug)]
pub struct HolderMetrics {
    pub(crate) stored: IntCounterVec,
    pub(crate) lookups: IntCounterVec,
    pub(crate) sync_seconds: HistogramVec,
    pub(crate) turns: IntGauge,
    pub(crate) unchecked: IntGauge,
    pub(crate) disk_bytes: IntGauge,
    pub(crate) memory_bytes: IntGauge,
    pub(crate) restored: IntCounterVec,
}

impl HolderMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if they are registered already.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            stored: counters(
                "ibisdale_holder_stores_total",
                "Requests to store turns, by outcome.",
                "outcome",
            )?,
            lookups: counters(
                "ibisdale_holder_lookups_total",
                "Requests for a chain, by outcome.",
                "outcome",
            )?,
            sync_seconds: HistogramVec::new(
                HistogramOpts::new(
                    "ibisdale_holder_sync_seconds",
                    "Time for writing and syncing turns that were stored together.",
                )
                .buckets(BUCKETS_SECONDS.to_vec()),
                &["outcome"],
            )?,
            turns: IntGauge::new("ibisdale_holder_turns", "Turns on disk.")?,
            unchecked: IntGauge::new(
                "ibisdale_holder_unchecked_copies",
                "Copies on other holders that have yet to be compared or restored.",
            )?,
            disk_bytes: IntGauge::new("ibisdale_holder_disk_bytes", "Length of all segments.")?,
            memory_bytes: IntGauge::new("ibisdale_holder_memory_bytes", "Memory that turns take.")?,
            restored: counters(
                "ibisdale_holder_restored_total",
                "Turns that other holders lacked and were sent, by outcome.",
                "outcome",
            )?,
        };
        registry.register(Box::new(metrics.stored.clone()))?;
        registry.register(Box::new(metrics.lookups.clone()))?;
        registry.register(Box::new(metrics.sync_seconds.clone()))?;
        registry.register(Box::new(metrics.turns.clone()))?;
        registry.register(Box::new(metrics.unchecked.clone()))?;
        registry.register(Box::new(metrics.disk_bytes.clone()))?;
        registry.register(Box::new(metrics.memory_bytes.clone()))?;
        registry.register(Box::new(metrics.restored.clone()))?;
        Ok(metrics)
    }
}

fn counters(name: &str, help: &str, label: &str) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(name, help), &[label])
}
