//! Prometheus metrics of the gateway.

use std::time::Duration;

use bytes::Bytes;
use prometheus::core::Collector;
use prometheus::{
    Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry,
    TextEncoder,
};

use ibisdale_clients::ClientMemoryUse;
use ibisdale_turns::ClientMetrics;

use super::plan_metrics::PlanMetrics;
use crate::decide::{AttemptFailure, SpeedSpan};

/// Upper bounds of the latency buckets, in seconds.
const BUCKETS_SECONDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.76, 1.0, 2.0, 4.0, 8.0, 16.0,
];

#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: HistogramVec,
    first_data_seconds: HistogramVec,
    failed_attempts: IntCounterVec,
    connections: IntCounter,
    resumed_streams: IntCounterVec,
    rate_decisions: IntCounterVec,
    grant_decisions: IntCounterVec,
    unreadable_limits: IntCounter,
    limited_replicas: Gauge,
    cold_replicas: Gauge,
    suspects: SuspectMetrics,
    evacuations: EvacuationMetrics,
    memory: MemoryMetrics,
    speeds: SpeedMetrics,
    oldest_heartbeat_seconds: Gauge,
    silent_vms: Gauge,
    in_flight: Gauge,
    plan: PlanMetrics,
    pub(crate) turns: ClientMetrics,
}

/// Metrics of replicas that ended and of the requests that may have caused it.
#[derive(Debug)]
struct SuspectMetrics {
    ended_replicas: IntCounter,
    refused: IntCounter,
    suspected: Gauge,
    condemned: Gauge,
}

impl SuspectMetrics {
    fn register(registry: &Registry) -> Self {
        Self {
            ended_replicas: register(
                registry,
                IntCounter::new(
                    "ibisdale_gateway_ended_replicas_total",
                    "Replicas that this VM found to have ended with requests in flight.",
                ),
            ),
            refused: register(
                registry,
                IntCounter::new(
                    "ibisdale_gateway_condemned_refused_total",
                    "Requests refused because they have ended replicas.",
                ),
            ),
            suspected: register_gauge(
                registry,
                "ibisdale_gateway_suspects",
                "Requests that may have ended a replica and have not been served since.",
            ),
            condemned: register_gauge(
                registry,
                "ibisdale_gateway_condemned",
                "Requests that are refused because they have ended replicas.",
            ),
        }
    }
}

/// Metrics of evacuated failure domains.
#[derive(Debug)]
struct EvacuationMetrics {
    domains: Gauge,
    in_flight: Gauge,
    refused: IntCounter,
}

impl EvacuationMetrics {
    fn register(registry: &Registry) -> Self {
        Self {
            domains: register_gauge(
                registry,
                "ibisdale_gateway_evacuated_domains",
                "Failure domains that operators have evacuated.",
            ),
            in_flight: register_gauge(
                registry,
                "ibisdale_gateway_evacuated_requests_in_flight",
                "Requests of this VM that still run at replicas of evacuated domains.",
            ),
            refused: register(
                registry,
                IntCounter::new(
                    "ibisdale_gateway_evacuated_refused_total",
                    "Requests refused because all replicas are in evacuated domains.",
                ),
            ),
        }
    }
}

/// Metrics of the memory that clients make the process hold.
#[derive(Debug)]
struct MemoryMetrics {
    client_bytes: GaugeVec,
    refused_bodies: IntCounterVec,
    evicted_responses: IntCounter,
    connections: Gauge,
    closed_connections: IntCounterVec,
}

impl MemoryMetrics {
    fn register(registry: &Registry) -> Self {
        Self {
            client_bytes: register(
                registry,
                GaugeVec::new(
                    Opts::new(
                        "ibisdale_gateway_client_bytes",
                        "Bytes held for clients, by kind.",
                    ),
                    &["kind"],
                ),
            ),
            refused_bodies: register_counters(
                registry,
                "ibisdale_gateway_refused_bodies_total",
                "Requests refused because memory for their body was short, by reason.",
                &["reason"],
            ),
            evicted_responses: register(
                registry,
                IntCounter::new(
                    "ibisdale_gateway_evicted_responses_total",
                    "Responses cut off because their clients did not read while memory was short.",
                ),
            ),
            connections: register_gauge(
                registry,
                "ibisdale_gateway_client_connections",
                "Open connections of clients.",
            ),
            closed_connections: register_counters(
                registry,
                "ibisdale_gateway_closed_connections_total",
                "Connections closed because there were too many, idle or new ones.",
                &["kind"],
            ),
        }
    }
}

/// Metrics of the learned speed of replicas.
#[derive(Debug)]
struct SpeedMetrics {
    min: Gauge,
    max: Gauge,
    report_age_seconds: Gauge,
}

impl SpeedMetrics {
    fn register(registry: &Registry) -> Self {
        Self {
            min: register_gauge(
                registry,
                "ibisdale_gateway_replica_speed_min",
                "Learned speed of the slowest replica relative to the median of its service.",
            ),
            max: register_gauge(
                registry,
                "ibisdale_gateway_replica_speed_max",
                "Learned speed of the fastest replica relative to the median of its service.",
            ),
            report_age_seconds: register_gauge(
                registry,
                "ibisdale_gateway_replica_speed_report_age_seconds",
                "Time since another VM last reported the speed of a replica; -1 if never.",
            ),
        }
    }
}

impl GatewayMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let turns = ClientMetrics::register(&registry).expect("unique metric names");
        Self {
            turns,
            requests: register_counters(
                &registry,
                "ibisdale_gateway_requests_total",
                "Requests answered, by status and reason.",
                &["status", "reason"],
            ),
            request_seconds: register_histograms(
                &registry,
                "ibisdale_gateway_request_seconds",
                "Time from a request's head to the end of its response, by kind of request.",
            ),
            first_data_seconds: register_histograms(
                &registry,
                "ibisdale_gateway_first_data_seconds",
                "Time from a request's head to the first data of its response, by kind of request.",
            ),
            failed_attempts: register_counters(
                &registry,
                "ibisdale_gateway_failed_attempts_total",
                "Failed attempts at replicas, by outcome.",
                &["end"],
            ),
            connections: register(
                &registry,
                IntCounter::new(
                    "ibisdale_gateway_replica_connections_total",
                    "Connections opened to replicas.",
                ),
            ),
            resumed_streams: register_counters(
                &registry,
                "ibisdale_gateway_streams_resumed_total",
                "Streams that went on at a replica, by who resumed them.",
                &["by"],
            ),
            rate_decisions: register_counters(
                &registry,
                "ibisdale_gateway_rate_decisions_total",
                "Requests admitted or refused by a workspace's rate limit, by the VM whose share decided.",
                &["by", "outcome"],
            ),
            grant_decisions: register_counters(
                &registry,
                "ibisdale_gateway_grant_decisions_total",
                "Requests to limited replicas, by the home that was asked and its decision.",
                &["by", "outcome"],
            ),
            unreadable_limits: register(
                &registry,
                IntCounter::new(
                    "ibisdale_gateway_unreadable_limits_total",
                    "Responses of replicas that name a limit that can't be read.",
                ),
            ),
            limited_replicas: register_gauge(
                &registry,
                "ibisdale_gateway_limited_replicas",
                "Replicas that name a limit of requests per second.",
            ),
            cold_replicas: register_gauge(
                &registry,
                "ibisdale_gateway_cold_replicas",
                "Cold replicas of services that limit requests to them.",
            ),
            suspects: SuspectMetrics::register(&registry),
            evacuations: EvacuationMetrics::register(&registry),
            memory: MemoryMetrics::register(&registry),
            speeds: SpeedMetrics::register(&registry),
            oldest_heartbeat_seconds: register_gauge(
                &registry,
                "ibisdale_gateway_oldest_heartbeat_seconds",
                "Age of the oldest heartbeat among the VMs that are not silent.",
            ),
            silent_vms: register_gauge(
                &registry,
                "ibisdale_gateway_silent_vms",
                "Known VMs that are silent.",
            ),
            in_flight: register_gauge(
                &registry,
                "ibisdale_gateway_requests_in_flight",
                "Requests in flight.",
            ),
            plan: PlanMetrics::register(&registry),
            registry,
        }
    }

    pub(crate) fn count_request(&self, status: u16, reason: &str, kind: &str, elapsed: Duration) {
        let status = status.to_string();
        self.requests.with_label_values(&[&status, reason]).inc();
        let histogram = self.request_seconds.with_label_values(&[kind]);
        histogram.observe(elapsed.as_secs_f64());
    }

    pub(crate) fn observe_first_data(&self, kind: &str, elapsed: Duration) {
        let histogram = self.first_data_seconds.with_label_values(&[kind]);
        histogram.observe(elapsed.as_secs_f64());
    }

    pub(crate) fn count_failed_attempt(&self, failure: AttemptFailure) {
        let end = match failure {
            AttemptFailure::NotReached => "not_reached",
            AttemptFailure::NotRun => "not_run",
            AttemptFailure::MayHaveRun => "may_have_run",
            AttemptFailure::ReplicaEnded => "replica_ended",
            AttemptFailure::ReplicaGone => "replica_gone",
        };
        self.failed_attempts.with_label_values(&[end]).inc();
    }

    pub(crate) fn count_resumed_stream(&self, by: &str) {
        self.resumed_streams.with_label_values(&[by]).inc();
    }

    pub(crate) fn count_rate_decision(&self, by: &str, outcome: &str) {
        self.rate_decisions.with_label_values(&[by, outcome]).inc();
    }

    pub(crate) fn count_grant_decision(&self, by: &str, outcome: &str) {
        self.grant_decisions.with_label_values(&[by, outcome]).inc();
    }

    pub(crate) fn count_unreadable_limit(&self) {
        self.unreadable_limits.inc();
    }

    pub(crate) fn count_ended_replica(&self) {
        self.suspects.ended_replicas.inc();
    }

    pub(crate) fn count_condemned_request(&self) {
        self.suspects.refused.inc();
    }

    #[expect(clippy::cast_precision_loss, reason = "at most 10,000")]
    pub(crate) fn set_suspects(&self, suspects: usize, condemned: usize) {
        self.suspects.suspected.set(suspects as f64);
        self.suspects.condemned.set(condemned as f64);
    }

    pub(crate) fn count_evacuated_request(&self) {
        self.evacuations.refused.inc();
    }

    #[expect(clippy::cast_precision_loss, reason = "at most 256")]
    pub(crate) fn set_evacuations(&self, domains: usize, in_flight: u32) {
        self.evacuations.domains.set(domains as f64);
        self.evacuations.in_flight.set(f64::from(in_flight));
    }

    #[expect(clippy::cast_precision_loss, reason = "a few thousand replicas")]
    pub(crate) fn set_limited_replicas(&self, count: usize) {
        self.limited_replicas.set(count as f64);
    }

    #[expect(clippy::cast_precision_loss, reason = "a few thousand replicas")]
    pub(crate) fn set_cold_replicas(&self, count: usize) {
        self.cold_replicas.set(count as f64);
    }

    #[expect(clippy::cast_precision_loss, reason = "the memory of a process")]
    pub(crate) fn set_client_memory(&self, usage: &ClientMemoryUse, evicted_responses: u64) {
        let evicted = &self.memory.evicted_responses;
        evicted.inc_by(evicted_responses.saturating_sub(evicted.get()));
        let kinds = [
            ("unfinished_bodies", usage.unfinished),
            ("complete_bodies", usage.complete),
            ("responses", usage.responses),
        ];
        for (kind, bytes) in kinds {
            let gauge = self.memory.client_bytes.with_label_values(&[kind]);
            gauge.set(bytes as f64);
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "at most the descriptors")]
    pub(crate) fn set_connections(&self, count: usize) {
        self.memory.connections.set(count as f64);
    }

    pub(crate) fn count_closed_connections(&self, kind: &str, count: u64) {
        let counter = self.memory.closed_connections.with_label_values(&[kind]);
        counter.inc_by(count);
    }

    pub(crate) fn count_refused_body(&self, reason: &str) {
        self.memory
            .refused_bodies
            .with_label_values(&[reason])
            .inc();
    }

    pub(crate) fn set_replica_speeds(&self, span: SpeedSpan, report_age_ms: Option<u64>) {
        self.speeds.min.set(span.min);
        self.speeds.max.set(span.max);
        let age = report_age_ms.map(Duration::from_millis);
        let age_seconds = age.map_or(-1.0, |age| age.as_secs_f64());
        self.speeds.report_age_seconds.set(age_seconds);
    }

    pub(crate) fn set_member_ages(&self, oldest_heartbeat: Duration, silent_vms: u32) {
        self.oldest_heartbeat_seconds
            .set(oldest_heartbeat.as_secs_f64());
        self.silent_vms.set(f64::from(silent_vms));
    }

    pub(crate) fn set_task_delay(&self, delay: Duration) {
        self.plan.set_task_delay(delay);
    }

    pub(crate) fn count_connection(&self) {
        self.connections.inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn render(
        &self,
        in_flight: u32,
        feed_age: Option<Duration>,
        plan_version: u64,
        outdated: Duration,
    ) -> Bytes {
        self.in_flight.set(f64::from(in_flight));
        self.plan.set_version(plan_version, feed_age, outdated);
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => Bytes::from(text),
            Err(error) => {
                log::error!("failed to encode the metrics: {error}");
                Bytes::new()
            }
        }
    }
}

/// Registers a metric.
///
/// # Panics
///
/// Panics if the options are invalid or the name is already registered.
fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<C>,
) -> C {
    let metric = metric.expect("valid metric options");
    let registered = registry.register(Box::new(metric.clone()));
    registered.expect("unique metric name");
    metric
}

fn register_counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    register(registry, IntCounterVec::new(Opts::new(name, help), labels))
}

fn register_histograms(registry: &Registry, name: &str, help: &str) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(BUCKETS_SECONDS.to_vec());
    register(registry, HistogramVec::new(options, &["kind"]))
}

pub(super) fn register_gauge(registry: &Registry, name: &str, help: &str) -> Gauge {
    register(registry, Gauge::new(name, help))
}
