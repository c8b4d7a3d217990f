//! The metrics of one daemon.

use std::time::Duration;

use bytes::Bytes;
use prometheus::core::Collector;
use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts,
    Registry, TextEncoder,
};

use crate::metric::{self, MetricInfo};

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS_SECONDS: [f64; 18] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.026, 0.05, 0.1, 0.25, 0.5, 0.76,
    1.0, 2.5, 5.0, 10.0, 60.0,
];

/// Kinds of tokens that are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TokenKind {
    /// Tokens of prompts, cached ones included.
    Prompt,
    /// Tokens of prompts that were in an engine's cache.
    Cached,
    /// Tokens generated.
    Completion,
}

impl TokenKind {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Prompt => "prompt",
            Self::Cached => "cached",
            Self::Completion => "completion",
        }
    }
}

/// The metrics of one daemon; clones share them.
///
/// ```
/// use ibisdale_telemetry::MetricRegistry;
///
/// let registry = MetricRegistry::new();
/// registry.count_request("ok");
/// let text = registry.render();
/// assert!(text.starts_with(b"# HELP ibisdale_"));
/// ```
#[derive(Clone, Debug)]
pub struct MetricRegistry {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: HistogramVec,
    first_token_seconds: Histogram,
    between_tokens_seconds: Histogram,
    queue_seconds: Histogram,
    open_streams: Gauge,
    tokens: IntCounterVec,
    upstream_calls: IntCounterVec,
    upstream_failures: IntCounterVec,
    upstream_retries: IntCounter,
    key_value_calls: IntCounterVec,
    key_value_seconds: HistogramVec,
    fleet_messages: IntCounterVec,
    fleet_bytes: IntCounterVec,
    forwarded: IntCounter,
    members: GaugeVec,
    programs: Gauge,
    slots: Gauge,
    credit_requests: Gauge,
    worst_workspace_seconds: Gauge,
    cleanup_backlog: Gauge,
    settings_revision: Gauge,
    settings_age_seconds: Gauge,
    history_records: IntCounterVec,
    spans_dropped: IntCounter,
}

impl Default for MetricRegistry {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricRegistry {
    /// Creates the metrics of the catalogue, all at zero.
    ///
    /// # Panics
    ///
    /// Panics when the catalogue has a name twice or a malformed one, which a
    /// test rules out.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            requests: add_counter_vec(&registry, &metric::REQUESTS),
            request_seconds: add_histogram_vec(&registry, &metric::REQUEST_SECONDS),
            first_token_seconds: add_histogram(&registry, &metric::FIRST_TOKEN_SECONDS),
            between_tokens_seconds: add_histogram(&registry, &metric::BETWEEN_TOKENS_SECONDS),
            queue_seconds: add_histogram(&registry, &metric::QUEUE_SECONDS),
            open_streams: add_gauge(&registry, &metric::OPEN_STREAMS),
            tokens: add_counter_vec(&registry, &metric::TOKENS),
            upstream_calls: add_counter_vec(&registry, &metric::UPSTREAM_CALLS),
            upstream_failures: add_counter_vec(&registry, &metric::UPSTREAM_FAILURES),
            upstream_retries: add_counter(&registry, &metric::UPSTREAM_RETRIES),
            key_value_calls: add_counter_vec(&registry, &metric::KEY_VALUE_CALLS),
            key_value_seconds: add_histogram_vec(&registry, &metric::KEY_VALUE_SECONDS),
            fleet_messages: add_counter_vec(&registry, &metric::FLEET_MESSAGES),
            fleet_bytes: add_counter_vec(&registry, &metric::FLEET_BYTES),
            forwarded: add_counter(&registry, &metric::FORWARDED),
            members: add_gauge_vec(&registry, &metric::MEMBERS),
            programs: add_gauge(&registry, &metric::PROGRAMS),
            slots: add_gauge(&registry, &metric::SLOTS),
            credit_requests: add_gauge(&registry, &metric::CREDIT_REQUESTS),
            worst_workspace_seconds: add_gauge(&registry, &metric::WORST_WORKSPACE_SECONDS),
            cleanup_backlog: add_gauge(&registry, &metric::CLEANUP_BACKLOG),
            settings_revision: add_gauge(&registry, &metric::SETTINGS_REVISION),
            settings_age_seconds: add_gauge(&registry, &metric::SETTINGS_AGE_SECONDS),
            history_records: add_counter_vec(&registry, &metric::HISTORY_RECORDS),
            spans_dropped: add_counter(&registry, &metric::SPANS_DROPPED),
            registry,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Bytes {
        let families = self.registry.gather();
        let text = TextEncoder::new().encode_to_string(&families);
        Bytes::from(text.unwrap_or_default())
    }

    /// Counts an answered request by refusal code, or `ok`.
    pub fn count_request(&self, code: &'static str) {
        self.requests.with_label_values(&[code]).inc();
    }

    /// Observes the time that a request of a route took.
    pub fn observe_request(&self, route: &'static str, time: Duration) {
        let histogram = self.request_seconds.with_label_values(&[route]);
        histogram.observe(time.as_secs_f64());
    }

    /// Observes the time to a chat request's first token.
    pub fn observe_first_token(&self, time: Duration) {
        self.first_token_seconds.observe(time.as_secs_f64());
    }

    /// Observes the time between two tokens of a stream.
    pub fn observe_between_tokens(&self, time: Duration) {
        self.between_tokens_seconds.observe(time.as_secs_f64());
    }

    /// Observes the time that a call waited for an upstream.
    pub fn observe_queue(&self, time: Duration) {
        self.queue_seconds.observe(time.as_secs_f64());
    }

    /// Counts a stream as under way.
    pub fn open_stream(&self) {
        self.open_streams.inc();
    }

    /// Counts a stream as over.
    pub fn end_stream(&self) {
        self.open_streams.dec();
    }

    /// Counts tokens.
    pub fn add_tokens(&self, kind: TokenKind, tokens: u64) {
        self.tokens
            .with_label_values(&[kind.as_str()])
            .inc_by(tokens);
    }

    /// Counts a call sent to an `engine` or a `service`.
    pub fn count_upstream_call(&self, upstream: &'static str) {
        self.upstream_calls.with_label_values(&[upstream]).inc();
    }

    /// Counts a failed call to an upstream by its kind.
    pub fn count_upstream_failure(&self, kind: &'static str) {
        self.upstream_failures.with_label_values(&[kind]).inc();
    }

    /// Counts a call sent again to another upstream.
    pub fn count_upstream_retry(&self) {
        self.upstream_retries.inc();
    }

    /// Counts a call to the key-value service, which took `time`.
    pub fn count_key_value_call(
        &self,
        operation: &'static str,
        outcome: &'static str,
        time: Duration,
    ) {
        self.key_value_calls
            .with_label_values(&[operation, outcome])
            .inc();
        let histogram = self.key_value_seconds.with_label_values(&[operation]);
        histogram.observe(time.as_secs_f64());
    }

    /// Counts a message of `bytes` bytes sent to another daemon.
    pub fn count_fleet_message(&self, message: &'static str, bytes: u64) {
        self.count_fleet_messages(message, 1, bytes);
    }

    /// Counts messages that have `bytes` bytes together, sent to other daemons.
    pub fn count_fleet_messages(&self, message: &'static str, messages: u64, bytes: u64) {
        let counter = self.fleet_messages.with_label_values(&[message]);
        counter.inc_by(messages);
        self.fleet_bytes.with_label_values(&[message]).inc_by(bytes);
    }

    /// Counts a request forwarded to the owner of its program.
    pub fn count_forwarded(&self) {
        self.forwarded.inc();
    }

    /// Sets the number of daemons known with a status.
    pub fn set_members(&self, status: &'static str, count: u32) {
        self.members
            .with_label_values(&[status])
            .set(f64::from(count));
    }

    /// Sets the number of programs that this daemon owns.
    pub fn set_programs(&self, count: u32) {
        self.programs.set(f64::from(count));
    }

    /// Sets the number of slots that this daemon owns.
    pub fn set_slots(&self, count: u32) {
        self.slots.set(f64::from(count));
    }

    /// Sets the rate credit held for all workspaces, in requests.
    pub fn set_credit(&self, requests: f64) {
        self.credit_requests.set(requests);
    }

    /// Sets the mean wait of the workspace that waits longest.
    pub fn set_worst_workspace_wait(&self, wait: Duration) {
        self.worst_workspace_seconds.set(wait.as_secs_f64());
    }

    /// Sets the number of sessions whose release is not confirmed.
    pub fn set_cleanup_backlog(&self, count: u32) {
        self.cleanup_backlog.set(f64::from(count));
    }

    /// Sets the settings revision in force.
    #[allow(clippy::cast_precision_loss)] // revisions stay far below 2^52
    pub fn set_settings_revision(&self, revision: u64) {
        self.settings_revision.set(revision as f64);
    }

    /// Sets the time since the settings revision was last confirmed.
    pub fn set_settings_age(&self, age: Duration) {
        self.settings_age_seconds.set(age.as_secs_f64());
    }

    /// Counts a history record appended at holders, by outcome.
    pub fn count_history_record(&self, outcome: &'static str) {
        self.history_records.with_label_values(&[outcome]).inc();
    }

    /// Counts dropped trace spans.
    pub fn add_spans_dropped(&self, count: u64) {
        self.spans_dropped.inc_by(count);
    }
}

fn add<C: Collector + Clone + 'static>(
    registry: &Registry,
    collector: Result<C, prometheus::Error>,
) -> C {
    let collector = collector.expect("the catalogue's names are well formed");
    registry
        .register(Box::new(collector.clone()))
        .expect("the catalogue's names differ");
    collector
}

fn create_options(info: &MetricInfo) -> Opts {
    Opts::new(info.name, info.help)
}

fn create_histogram_options(info: &MetricInfo) -> HistogramOpts {
    HistogramOpts::new(info.name, info.help).buckets(BUCKETS_SECONDS.to_vec())
}

fn add_counter(registry: &Registry, info: &MetricInfo) -> IntCounter {
    add(registry, IntCounter::with_opts(create_options(info)))
}

fn add_counter_vec(registry: &Registry, info: &MetricInfo) -> IntCounterVec {
    add(
        registry,
        IntCounterVec::new(create_options(info), info.labels),
    )
}

fn add_gauge(registry: &Registry, info: &MetricInfo) -> Gauge {
    add(registry, Gauge::with_opts(create_options(info)))
}

fn add_gauge_vec(registry: &Registry, info: &MetricInfo) -> GaugeVec {
    add(registry, GaugeVec::new(create_options(info), info.labels))
}

fn add_histogram(registry: &Registry, info: &MetricInfo) -> Histogram {
    add(
        registry,
        Histogram::with_opts(create_histogram_options(info)),
    )
}

fn add_histogram_vec(registry: &Registry, info: &MetricInfo) -> HistogramVec {
    let options = create_histogram_options(info);
    add(registry, HistogramVec::new(options, info.labels))
}
