//! The catalogue of metrics.

/// Kinds of metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MetricKind {
    /// Grows only.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Counts observations by size.
    Histogram,
}

impl MetricKind {
    /// Returns the kind as Prometheus names it.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// One metric of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricInfo {
    /// The name, with its unit.
    pub name: &'static str,
    /// The kind.
    pub kind: MetricKind,
    /// The labels, all with few values.
    pub labels: &'static [&'static str],
    /// What it tells.
    pub help: &'static str,
}

macro_rules! metric_table {
    ($($constant:ident = $kind:ident, $name:literal, [$($label:literal),*], $help:literal;)*) => {
        $(pub(crate) const $constant: MetricInfo = MetricInfo {
            name: $name,
            kind: MetricKind::$kind,
            labels: &[$($label),*],
            help: $help,
        };)*

        /// All metrics.
        pub const METRIC_TABLE: &[MetricInfo] = &[$($constant),*];
    };
}

metric_table! {
    REQUESTS = Counter, "ibisdale_requests_total", ["code"],
        "Requests answered, by refusal code or `ok`.";
    REQUEST_SECONDS = Histogram, "ibisdale_request_seconds", ["route"],
        "Time from a request's head to the end of its answer.";
    FIRST_TOKEN_SECONDS = Histogram, "ibisdale_first_token_seconds", [],
        "Time from a chat request's head to its first token.";
    BETWEEN_TOKENS_SECONDS = Histogram, "ibisdale_between_tokens_seconds", [],
        "Time between two tokens of a stream.";
    QUEUE_SECONDS = Histogram, "ibisdale_queue_seconds", [],
        "Time that calls waited for an upstream.";
    OPEN_STREAMS = Gauge, "ibisdale_open_streams", [],
        "Streams under way.";
    TOKENS = Counter, "ibisdale_tokens_total", ["kind"],
        "Tokens at engines: `prompt` (cached ones included), `cached`, `completion`.";
    UPSTREAM_CALLS = Counter, "ibisdale_upstream_calls_total", ["upstream"],
        "Calls sent to upstreams: `engine` or `service`.";
    UPSTREAM_FAILURES = Counter, "ibisdale_upstream_failures_total", ["kind"],
        "Calls to upstreams that failed.";
    UPSTREAM_RETRIES = Counter, "ibisdale_upstream_retries_total", [],
        "Calls sent again to another upstream.";
    KEY_VALUE_CALLS = Counter, "ibisdale_key_value_calls_total", ["operation", "outcome"],
        "Calls to the key-value service.";
    KEY_VALUE_SECONDS = Histogram, "ibisdale_key_value_seconds", ["operation"],
        "Time that calls to the key-value service took.";
    FLEET_MESSAGES = Counter, "ibisdale_fleet_messages_total", ["message"],
        "Messages sent to other daemons.";
    FLEET_BYTES = Counter, "ibisdale_fleet_bytes_total", ["message"],
        "Bytes of messages sent to other daemons.";
    FORWARDED = Counter, "ibisdale_forwarded_total", [],
        "Requests forwarded to the owner of their program.";
    MEMBERS = Gauge, "ibisdale_members", ["status"],
        "Daemons known, by status.";
    PROGRAMS = Gauge, "ibisdale_programs", [],
        "Programs under way that this daemon owns.";
    SLOTS = Gauge, "ibisdale_slots", [],
        "Slots that this daemon owns.";
    CREDIT_REQUESTS = Gauge, "ibisdale_credit_requests", [],
        "Rate credit held for all workspaces, in requests.";
    WORST_WORKSPACE_SECONDS = Gauge, "ibisdale_worst_workspace_wait_seconds", [],
        "Mean wait of the workspace that waits longest.";
    CLEANUP_BACKLOG = Gauge, "ibisdale_cleanup_backlog", [],
        "Sessions of ended programs whose release is not confirmed.";
    SETTINGS_REVISION = Gauge, "ibisdale_settings_revision", [],
        "Settings revision in force.";
    SETTINGS_AGE_SECONDS = Gauge, "ibisdale_settings_age_seconds", [],
        "Time since the settings revision was last confirmed.";
    HISTORY_RECORDS = Counter, "ibisdale_history_records_total", ["outcome"],
        "History records appended at holders.";
    SPANS_DROPPED = Counter, "ibisdale_spans_dropped_total", [],
        "Trace spans dropped because their queue was full.";
}
