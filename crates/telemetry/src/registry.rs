//! Registers and updates the metrics of a daemon.

use std::time::Duration;

use bytes::Bytes;
use prometheus::core::Collector;
use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts,
    Registry, TextEncoder,
};

use crate::metric::{self, MetricDefinition};

/// Upper bounds of the histogram buckets, in seconds.
///
/// 0.026 and 0.76 are the latency targets between tokens and to the first
/// token.
const BUCKET_BOUNDS_SECONDS: [f64; 18] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.026, 0.05, 0.1, 0.25, 0.5, 0.76,
    1.0, 2.5, 5.0, 10.0, 60.0,
];

/// Values of the `kind` label of the token counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TokenKind {
    /// Prompt tokens, including cached ones.
    Prompt,
    /// Prompt tokens found in an engine's cache.
    Cached,
    /// Generated tokens.
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

/// The metrics of a daemon. Clones share the same values.
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
    worst_workspace_wait_seconds: Gauge,
    cleanup_backlog: Gauge,
    settings_revision: Gauge,
    settings_age_seconds: Gauge,
    history_records: IntCounterVec,
    client_bytes: GaugeVec,
    client_connections: GaugeVec,
    refused_bodies: IntCounterVec,
    evicted_responses: IntCounter,
    closed_connections: IntCounterVec,
    spans_dropped: IntCounter,
}

impl Default for MetricRegistry {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricRegistry {
    /// Creates and registers all metrics of the catalogue.
    ///
    /// Metrics without labels start at zero. Metrics with labels have no series
    /// before their first update.
    ///
    /// # Panics
    ///
    /// Panics if the catalogue contains a duplicate or malformed name. Tests
    /// check that it does not.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            requests: register_counter_vec(&registry, &metric::REQUESTS),
            request_seconds: register_histogram_vec(&registry, &metric::REQUEST_SECONDS),
            first_token_seconds: register_histogram(&registry, &metric::FIRST_TOKEN_SECONDS),
            between_tokens_seconds: register_histogram(&registry, &metric::BETWEEN_TOKENS_SECONDS),
            queue_seconds: register_histogram(&registry, &metric::QUEUE_SECONDS),
            open_streams: register_gauge(&registry, &metric::OPEN_STREAMS),
            tokens: register_counter_vec(&registry, &metric::TOKENS),
            upstream_calls: register_counter_vec(&registry, &metric::UPSTREAM_CALLS),
            upstream_failures: register_counter_vec(&registry, &metric::UPSTREAM_FAILURES),
            upstream_retries: register_counter(&registry, &metric::UPSTREAM_RETRIES),
            key_value_calls: register_counter_vec(&registry, &metric::KEY_VALUE_CALLS),
            key_value_seconds: register_histogram_vec(&registry, &metric::KEY_VALUE_SECONDS),
            fleet_messages: register_counter_vec(&registry, &metric::FLEET_MESSAGES),
            fleet_bytes: register_counter_vec(&registry, &metric::FLEET_BYTES),
            forwarded: register_counter(&registry, &metric::FORWARDED),
            members: register_gauge_vec(&registry, &metric::MEMBERS),
            programs: register_gauge(&registry, &metric::PROGRAMS),
            slots: register_gauge(&registry, &metric::SLOTS),
            credit_requests: register_gauge(&registry, &metric::CREDIT_REQUESTS),
            worst_workspace_wait_seconds: register_gauge(
                &registry,
                &metric::WORST_WORKSPACE_WAIT_SECONDS,
            ),
            cleanup_backlog: register_gauge(&registry, &metric::CLEANUP_BACKLOG),
            settings_revision: register_gauge(&registry, &metric::SETTINGS_REVISION),
            settings_age_seconds: register_gauge(&registry, &metric::SETTINGS_AGE_SECONDS),
            history_records: register_counter_vec(&registry, &metric::HISTORY_RECORDS),
            client_bytes: register_gauge_vec(&registry, &metric::CLIENT_BYTES),
            client_connections: register_gauge_vec(&registry, &metric::CLIENT_CONNECTIONS),
            refused_bodies: register_counter_vec(&registry, &metric::REFUSED_BODIES),
            evicted_responses: register_counter(&registry, &metric::EVICTED_RESPONSES),
            closed_connections: register_counter_vec(&registry, &metric::CLOSED_CONNECTIONS),
            spans_dropped: register_counter(&registry, &metric::SPANS_DROPPED),
            registry,
        }
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Bytes {
        let families = self.registry.gather();
        let text = TextEncoder::new().encode_to_string(&families);
        Bytes::from(text.unwrap_or_default())
    }

    /// Counts an answered request by its refusal code, or `ok`.
    pub fn count_request(&self, code: &'static str) {
        self.requests.with_label_values(&[code]).inc();
    }

    /// Sets the bytes of a kind that are held for clients.
    #[expect(clippy::cast_precision_loss, reason = "the memory of a process")]
    pub fn set_client_bytes(&self, kind: &'static str, bytes: usize) {
        let gauge = self.client_bytes.with_label_values(&[kind]);
        gauge.set(bytes as f64);
    }

    /// Sets the open connections of a listening address.
    #[expect(clippy::cast_precision_loss, reason = "at most the descriptors")]
    pub fn set_client_connections(&self, address: &'static str, count: usize) {
        let gauge = self.client_connections.with_label_values(&[address]);
        gauge.set(count as f64);
    }

    /// Counts a request that is refused because memory for its body is short.
    pub fn count_refused_body(&self, reason: &'static str) {
        self.refused_bodies.with_label_values(&[reason]).inc();
    }

    /// Sets the number of responses that were cut off since the start.
    pub fn set_evicted_responses(&self, count: u64) {
        let before = self.evicted_responses.get();
        self.evicted_responses.inc_by(count.saturating_sub(before));
    }

    /// Counts connections that the limit of a listener has closed.
    pub fn count_closed_connections(&self, kind: &'static str, count: u64) {
        let counter = self.closed_connections.with_label_values(&[kind]);
        counter.inc_by(count);
    }

    /// Observes the duration of a request to a route.
    pub fn observe_request_duration(&self, route: &'static str, duration: Duration) {
        let histogram = self.request_seconds.with_label_values(&[route]);
        histogram.observe(duration.as_secs_f64());
    }

    /// Observes the time from the admission of a chat step to its first token.
    pub fn observe_first_token(&self, duration: Duration) {
        self.first_token_seconds.observe(duration.as_secs_f64());
    }

    /// Observes the time between two consecutive tokens of a stream.
    pub fn observe_between_tokens(&self, duration: Duration) {
        self.between_tokens_seconds.observe(duration.as_secs_f64());
    }

    /// Observes the time that a call waited in the queue for an upstream.
    pub fn observe_queue_wait(&self, duration: Duration) {
        self.queue_seconds.observe(duration.as_secs_f64());
    }

    /// Increments the number of open streams.
    pub fn increment_open_streams(&self) {
        self.open_streams.inc();
    }

    /// Decrements the number of open streams.
    pub fn decrement_open_streams(&self) {
        self.open_streams.dec();
    }

    /// Adds to the number of tokens of a kind.
    pub fn add_tokens(&self, kind: TokenKind, tokens: u64) {
        self.tokens
            .with_label_values(&[kind.as_str()])
            .inc_by(tokens);
    }

    /// Counts a call sent to an `engine` or a `service`.
    pub fn count_upstream_call(&self, upstream_kind: &'static str) {
        self.upstream_calls
            .with_label_values(&[upstream_kind])
            .inc();
    }

    /// Counts a failed call to an upstream by kind of failure.
    pub fn count_upstream_failure(&self, kind: &'static str) {
        self.upstream_failures.with_label_values(&[kind]).inc();
    }

    /// Counts a call retried at another upstream.
    pub fn count_upstream_retry(&self) {
        self.upstream_retries.inc();
    }

    /// Counts a call to the key-value service and observes its duration.
    pub fn count_key_value_call(
        &self,
        operation: &'static str,
        outcome: &'static str,
        duration: Duration,
    ) {
        self.key_value_calls
            .with_label_values(&[operation, outcome])
            .inc();
        let histogram = self.key_value_seconds.with_label_values(&[operation]);
        histogram.observe(duration.as_secs_f64());
    }

    /// Counts a message of `bytes` bytes sent to another daemon.
    pub fn count_fleet_message(&self, message_type: &'static str, bytes: u64) {
        self.count_fleet_messages(message_type, 1, bytes);
    }

    /// Counts `count` messages of one type, with a total size of `bytes`, sent
    /// to other daemons.
    pub fn count_fleet_messages(&self, message_type: &'static str, count: u64, bytes: u64) {
        let counter = self.fleet_messages.with_label_values(&[message_type]);
        counter.inc_by(count);
        self.fleet_bytes
            .with_label_values(&[message_type])
            .inc_by(bytes);
    }

    /// Counts a request forwarded to the owner of its program.
    pub fn count_forwarded_request(&self) {
        self.forwarded.inc();
    }

    /// Sets the number of known daemons with the given status.
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

    /// Sets the rate credit held by this daemon, in requests, summed over all
    /// workspaces.
    pub fn set_rate_credit(&self, requests: f64) {
        self.credit_requests.set(requests);
    }

    /// Sets the mean wait time of the workspace with the longest mean wait time.
    pub fn set_worst_workspace_wait(&self, wait: Duration) {
        self.worst_workspace_wait_seconds.set(wait.as_secs_f64());
    }

    /// Sets the number of sessions that belong to ended programs and are not yet
    /// confirmed as released.
    pub fn set_cleanup_backlog(&self, count: u32) {
        self.cleanup_backlog.set(f64::from(count));
    }

    /// Sets the settings revision in force.
    #[allow(clippy::cast_precision_loss)] // revisions stay far below 2^53, up to which `f64` is exact
    pub fn set_settings_revision(&self, revision: u64) {
        self.settings_revision.set(revision as f64);
    }

    /// Sets the time since the key-value service or a peer last confirmed the
    /// settings revision.
    pub fn set_settings_age(&self, age: Duration) {
        self.settings_age_seconds.set(age.as_secs_f64());
    }

    /// Counts an attempt to append a history record at a daemon that holds a
    /// copy, by outcome.
    pub fn count_history_record(&self, outcome: &'static str) {
        self.history_records.with_label_values(&[outcome]).inc();
    }

    /// Adds to the number of dropped trace spans.
    pub fn add_spans_dropped(&self, count: u64) {
        self.spans_dropped.inc_by(count);
    }
}

fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    collector: Result<C, prometheus::Error>,
) -> C {
    let collector = collector.expect("metric definitions are well formed");
    registry
        .register(Box::new(collector.clone()))
        .expect("metric names are unique");
    collector
}

fn create_options(definition: &MetricDefinition) -> Opts {
    Opts::new(definition.name, definition.help)
}

fn create_histogram_options(definition: &MetricDefinition) -> HistogramOpts {
    HistogramOpts::new(definition.name, definition.help).buckets(BUCKET_BOUNDS_SECONDS.to_vec())
}

fn register_counter(registry: &Registry, definition: &MetricDefinition) -> IntCounter {
    register(registry, IntCounter::with_opts(create_options(definition)))
}

fn register_counter_vec(registry: &Registry, definition: &MetricDefinition) -> IntCounterVec {
    register(
        registry,
        IntCounterVec::new(create_options(definition), definition.labels),
    )
}

fn register_gauge(registry: &Registry, definition: &MetricDefinition) -> Gauge {
    register(registry, Gauge::with_opts(create_options(definition)))
}

fn register_gauge_vec(registry: &Registry, definition: &MetricDefinition) -> GaugeVec {
    register(
        registry,
        GaugeVec::new(create_options(definition), definition.labels),
    )
}

fn register_histogram(registry: &Registry, definition: &MetricDefinition) -> Histogram {
    register(
        registry,
        Histogram::with_opts(create_histogram_options(definition)),
    )
}

fn register_histogram_vec(registry: &Registry, definition: &MetricDefinition) -> HistogramVec {
    let options = create_histogram_options(definition);
    register(registry, HistogramVec::new(options, definition.labels))
}
