//! Observation and exchange of the speed of replicas.

use ibisdale_telemetry::record_event;

use super::caller_request::header_str;
use super::state::{Gateway, lossy_string};
use crate::decide::{
    ROUND_MS, ReplicaInfo, ReplicaKey, SpeedReport, read_momentary_factor, rounds_per_pass,
    truncate_start,
};
use crate::http1::ResponseHead;

/// Position of the factor in the load header, from 0.
const FACTOR_POSITION: usize = 3;
/// Maximum number of changes of a step that are logged in a round.
const LOGGED_CHANGES_MAX: usize = 8;

/// Kind of work whose time was measured. A service is judged by one kind only, since their times
/// differ by orders of magnitude.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkUnit {
    /// An event of a stream; counts for engines.
    Event,
    /// A whole response; counts for other services.
    Response,
}

impl Gateway {
    /// Returns the time since the start of the process, in microseconds.
    pub(crate) fn now_us(&self) -> u64 {
        u64::try_from(self.state.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

/// Records the momentary factor that a response of the replica names, if it names one.
pub(crate) fn record_momentary_factor(
    gateway: &Gateway,
    replica: &ReplicaInfo,
    head: &ResponseHead,
) {
    if head.status == 421 {
        // Another replica may have taken over the address.
        return;
    }
    let text = header_str(
        &head.headers,
        &gateway.state.options.header_names.replica_load,
    );
    let number = text.split(',').nth(FACTOR_POSITION);
    let Some(factor) = number.and_then(|number| read_momentary_factor(number.trim())) else {
        return;
    };
    let now_ms = gateway.now_ms();
    let mut replicas = gateway.state.replicas.borrow_mut();
    let is_first = replicas
        .speeds
        .record_factor(replica.start_key(), factor, now_ms);
    if is_first {
        log_enabled(replica, "response");
    }
}

/// Records the time that a replica took for a unit of work, in microseconds.
pub(crate) fn record_work_time(
    gateway: &Gateway,
    replica: ReplicaKey,
    unit: WorkUnit,
    unit_us: u64,
) {
    let mut replicas = gateway.state.replicas.borrow_mut();
    let Some(info) = replicas.get_info(replica) else {
        return;
    };
    let start = info.start_key();
    if !replicas.speeds.is_enabled(start) {
        return;
    }
    let plan = gateway.state.plan.borrow();
    let service = plan.find_service(&info.service);
    let is_engine = service.is_some_and(|service| service.engine.is_some());
    if is_engine == (unit == WorkUnit::Event) {
        let now_ms = gateway.now_ms();
        replicas.speeds.record_time(start, unit_us, now_ms);
    }
}

/// Returns what this VM has measured since each peer got its last report.
pub(crate) fn recent_speeds(gateway: &Gateway) -> Vec<SpeedReport> {
    let now_ms = gateway.now_ms();
    let peer_count = gateway.state.members.borrow().count(now_ms).0;
    let max_age_ms = u64::from(rounds_per_pass(peer_count)) * ROUND_MS;
    let replicas = gateway.state.replicas.borrow();
    replicas.speeds.reports(max_age_ms, now_ms)
}

/// Merges what another VM has measured.
pub(crate) fn merge_speeds(gateway: &Gateway, reports: &[SpeedReport]) {
    let now_ms = gateway.now_ms();
    let mut replicas = gateway.state.replicas.borrow_mut();
    for start_hash in replicas.speeds.merge(reports, now_ms) {
        let mut infos = replicas.infos();
        if let Some(info) = infos.find(|info| truncate_start(info.start_key()) == start_hash) {
            log_enabled(info, "peer");
        }
    }
}

/// Updates the steps of all replicas and logs changes.
pub(crate) fn update_speeds(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let mut replicas = gateway.state.replicas.borrow_mut();
    let changes = replicas.update_speeds(now_ms);
    for change in changes.iter().take(LOGGED_CHANGES_MAX) {
        let mut infos = replicas.infos();
        let found = infos.find(|info| truncate_start(info.start_key()) == change.start_hash);
        if let Some(info) = found {
            record_event!(
                SpeedStepChanged,
                replica = lossy_string(&info.id),
                service = lossy_string(&info.service),
                step = change.step,
                before = change.before,
                changes = changes.len(),
            );
        }
    }
}

/// Sets the gauges of learned speeds.
pub(crate) fn set_speed_metrics(gateway: &Gateway) {
    let replicas = gateway.state.replicas.borrow();
    let age_ms = replicas.speeds.report_age_ms(gateway.now_ms());
    let metrics = &gateway.state.metrics;
    metrics.set_replica_speeds(replicas.speeds.span(), age_ms);
}

fn log_enabled(replica: &ReplicaInfo, source: &str) {
    record_event!(
        SpeedsEnabled,
        service = lossy_string(&replica.service),
        replica = lossy_string(&replica.id),
        source = source,
    );
}
