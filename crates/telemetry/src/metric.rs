//! The catalogue of metrics.

/// The Prometheus type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MetricKind {
    /// A value that only increases.
    Counter,
    /// A value that can increase and decrease.
    Gauge,
    /// Counts of observations per bucket.
    Histogram,
}

impl MetricKind {
    /// Returns the type name as written in the Prometheus text format.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// Definition of a metric in the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricDefinition {
    /// The metric name, including its unit if it has one.
    pub name: &'static str,
    /// The metric type.
    pub kind: MetricKind,
    /// The label names. Each label has few distinct values, which bounds the
    /// number of series.
    pub labels: &'static [&'static str],
    /// The help text.
    pub help: &'static str,
}

macro_rules! metric_catalogue {
    ($($constant:ident = $kind:ident, $name:literal, [$($label:literal),*], $help:literal;)*) => {
        $(pub(crate) const $constant: MetricDefinition = MetricDefinition {
            name: $name,
            kind: MetricKind::$kind,
            labels: &[$($label),*],
            help: $help,
        };)*

        /// The catalogue of all metrics.
        pub const METRIC_CATALOGUE: &[MetricDefinition] = &[$($constant),*];
    };
}

metric_catalogue! {
    REQUESTS = Counter, "ibisdale_requests_total", ["code"],
        "Requests answered, by refusal code or `ok`.";
    REQUEST_SECONDS = Histogram, "ibisdale_request_seconds", ["route"],
        "Time from receiving a request's head to the end of its response.";
    FIRST_TOKEN_SECONDS = Histogram, "ibisdale_first_token_seconds", [],
        "Time from the admission of a chat step to its first token.";
    BETWEEN_TOKENS_SECONDS = Histogram, "ibisdale_between_tokens_seconds", [],
        "Time between two consecutive tokens of a stream.";
    QUEUE_SECONDS = Histogram, "ibisdale_queue_seconds", [],
        "Time that calls waited in the queue for an upstream.";
    OPEN_STREAMS = Gauge, "ibisdale_open_streams", [],
        "Streams in progress.";
    TOKENS = Counter, "ibisdale_tokens_total", ["kind"],
        "Tokens processed by engines: `prompt` (including cached ones), `cached`, `completion`.";
    UPSTREAM_CALLS = Counter, "ibisdale_upstream_calls_total", ["upstream"],
        "Calls sent to upstreams, by kind of upstream: `engine` or `service`.";
    UPSTREAM_FAILURES = Counter, "ibisdale_upstream_failures_total", ["kind"],
        "Failed calls to upstreams, by kind of failure.";
    UPSTREAM_RETRIES = Counter, "ibisdale_upstream_retries_total", [],
        "Calls retried at another upstream.";
    KEY_VALUE_CALLS = Counter, "ibisdale_key_value_calls_total", ["operation", "outcome"],
        "Calls to the key-value service, by operation and outcome.";
    KEY_VALUE_SECONDS = Histogram, "ibisdale_key_value_seconds", ["operation"],
        "Duration of calls to the key-value service.";
    FLEET_MESSAGES = Counter, "ibisdale_fleet_messages_total", ["message"],
        "Messages sent to other daemons.";
    FLEET_BYTES = Counter, "ibisdale_fleet_bytes_total", ["message"],
        "Bytes of messages sent to other daemons.";
    FORWARDED = Counter, "ibisdale_forwarded_total", [],
        "Requests forwarded to the owner of their program.";
    MEMBERS = Gauge, "ibisdale_members", ["status"],
        "Known daemons, by status.";
    PROGRAMS = Gauge, "ibisdale_programs", [],
        "Running programs owned by this daemon.";
    SLOTS = Gauge, "ibisdale_slots", [],
        "Slots owned by this daemon.";
    CREDIT_REQUESTS = Gauge, "ibisdale_credit_requests", [],
        "Rate credit held by this daemon, in requests, summed over all workspaces.";
    WORST_WORKSPACE_WAIT_SECONDS = Gauge, "ibisdale_worst_workspace_wait_seconds", [],
        "Mean wait time of the workspace with the longest mean wait time.";
    CLEANUP_BACKLOG = Gauge, "ibisdale_cleanup_backlog", [],
        "Sessions that belong to ended programs and are not yet confirmed as released.";
    SETTINGS_REVISION = Gauge, "ibisdale_settings_revision", [],
        "Settings revision in force.";
    SETTINGS_AGE_SECONDS = Gauge, "ibisdale_settings_age_seconds", [],
        "Time since the key-value service or a peer last confirmed the settings revision.";
    HISTORY_RECORDS = Counter, "ibisdale_history_records_total", ["outcome"],
        "Attempts to append a history record at a daemon that holds a copy, by outcome.";
    CLIENT_BYTES = Gauge, "ibisdale_client_bytes", ["kind"],
        "Bytes held for clients, by kind: `unfinished_bodies`, `complete_bodies`, `responses`.";
    CLIENT_CONNECTIONS = Gauge, "ibisdale_client_connections", ["address"],
        "Open connections, by listening address: `entry`, `fleet`, `operator`.";
    REFUSED_BODIES = Counter, "ibisdale_refused_bodies_total", ["reason"],
        "Requests refused because memory for their body was short: `full` or `evicted`.";
    EVICTED_RESPONSES = Counter, "ibisdale_evicted_responses_total", [],
        "Responses cut off because their clients did not read while memory was short.";
    CLOSED_CONNECTIONS = Counter, "ibisdale_closed_connections_total", ["kind"],
        "Connections closed because there were too many: `idle` or `new` ones.";
    SPANS_DROPPED = Counter, "ibisdale_spans_dropped_total", [],
        "Trace spans dropped because their queue was full or the writer had stopped.";
}
