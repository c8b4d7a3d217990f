//! Cold replicas: what entries, responses and other VMs say of them.

use std::net::SocketAddrV4;

use http::HeaderMap;
use ibisdale_telemetry::record_event;

use super::limits::ObservedResponse;
use super::message::PeerMessage;
use super::peer_link::{peer_addresses, spawn_send};
use super::state::{Gateway, lossy_string};
use crate::decide::{ColdReport, ColdRule, ReplicaInfo, StartKey, hash_bytes};
use crate::plan::DeploymentPlan;

/// Maximum number of cold replicas in one message; each takes at most 23 bytes.
const REPORTS_PER_MESSAGE: usize = 1_000;

/// Replaces the services whose cold replicas are limited.
pub(crate) fn set_cold_rules(gateway: &Gateway, plan: &DeploymentPlan) {
    let tolerance = gateway.state.options.cold_tolerance;
    let services = plan.get_services().iter();
    let limited = services.filter(|service| service.cold_per_s > 0.0 && service.cold_time_ms > 0);
    let rules = limited.map(|service| {
        let rule = ColdRule {
            cold_time_ms: service.cold_time_ms,
            granted_per_s: tolerance.granted_per_s(service.cold_per_s),
        };
        (hash_bytes(&service.name), rule)
    });
    gateway.state.cold.borrow_mut().set_rules(rules);
}

/// Records that requests may be sent again to the replicas of a failure domain; they are cold
/// from now on, whatever their entries say, since these may be older.
pub fn record_domain_return(gateway: &Gateway, domain: &[u8]) {
    let replicas = gateway.state.replicas.borrow();
    let returned = replicas.infos().filter(|replica| replica.domain == domain);
    let now_ms = gateway.now_ms();
    let count = gateway
        .state
        .cold
        .borrow_mut()
        .record_return(returned, now_ms);
    if count > 0 {
        record_event!(DomainCold, domain = lossy_string(domain), replicas = count);
    }
}

/// Records the entries that are new or have changed.
pub(crate) fn record_cold_entries<'a>(
    gateway: &Gateway,
    replicas: impl Iterator<Item = &'a ReplicaInfo>,
) {
    let now_ms = gateway.now_ms();
    let cold: Vec<_> = {
        let mut table = gateway.state.cold.borrow_mut();
        replicas
            .filter(|replica| table.record_entry(replica, now_ms))
            .collect()
    };
    if let Some(first) = cold.first() {
        log_cold(first, first.cold_left_ms, "entry", cold.len(), "");
    }
}

/// Records the remaining time that a response states, and notifies all VMs if the replica was not
/// known to be cold.
pub(crate) fn record_cold_response(
    gateway: &Gateway,
    attempt_id: &str,
    response: &ObservedResponse<'_>,
) {
    if response.status == 421 {
        // Another replica may have taken over the address.
        return;
    }
    let Some(left_ms) = read_left_ms(gateway, response.headers) else {
        return;
    };
    let now_ms = gateway.now_ms();
    let mut cold = gateway.state.cold.borrow_mut();
    let has_become_cold = cold.record_response(response.replica, left_ms, response.sent_ms, now_ms);
    if !has_become_cold {
        return;
    }
    log_cold(response.replica, left_ms, "response", 1, attempt_id);
    let report = cold.report(response.replica.start_key(), now_ms);
    for peer in peer_addresses(gateway) {
        let cold = report.into_iter().collect();
        spawn_send(gateway, PeerMessage::Cold { cold }, peer);
    }
}

/// Reads a decimal number of milliseconds; `None` if it is missing or anything else. A number that
/// is too large for the type is read as the largest one.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates for large numbers"
)]
fn read_left_ms(gateway: &Gateway, headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(&gateway.state.options.header_names.replica_cold)?;
    let text = value.to_str().ok()?.trim();
    let mut bytes = text.bytes();
    let is_decimal = bytes.all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number: Option<f64> = text.parse().ok();
    number.filter(|_| is_decimal).map(|number| number as u64)
}

/// Takes over what other VMs know.
pub(crate) fn merge_cold(gateway: &Gateway, reports: &[ColdReport]) {
    let now_ms = gateway.now_ms();
    let mut table = gateway.state.cold.borrow_mut();
    let new: Vec<_> = reports
        .iter()
        .filter(|report| table.merge(report, now_ms))
        .collect();
    let replicas = gateway.state.replicas.borrow();
    let listed = new.iter().find_map(|report| {
        let replica = replicas.find_start(report.start)?;
        Some((replica, report.left_ms))
    });
    if let Some((replica, left_ms)) = listed {
        log_cold(replica, left_ms, "peer", new.len(), "");
    }
}

/// Writes one line for all replicas that have become cold at once; `first` is one of them.
fn log_cold(first: &ReplicaInfo, left_ms: u64, source: &str, count: usize, request: &str) {
    record_event!(
        ReplicaCold,
        replica = lossy_string(&first.id),
        service = lossy_string(&first.service),
        left_ms = left_ms,
        source = source,
        count = count,
        request = request,
    );
}

/// Sends all known cold replicas to a peer.
pub(crate) fn send_cold(gateway: &Gateway, peer: SocketAddrV4) {
    let reports = gateway.state.cold.borrow().reports(gateway.now_ms());
    for cold in reports.chunks(REPORTS_PER_MESSAGE) {
        let cold = cold.to_vec();
        spawn_send(gateway, PeerMessage::Cold { cold }, peer);
    }
}

/// Returns whether a replica is cold and its service has a limit for that.
pub(crate) fn is_cold(gateway: &Gateway, start: StartKey) -> bool {
    let cold = gateway.state.cold.borrow();
    cold.limit(start, gateway.now_ms()).is_some()
}

/// Returns the limit of a replica in requests per second: the one that it names or that of cold
/// replicas, whichever is smaller; `None` if there is neither.
pub(crate) fn effective_limit(gateway: &Gateway, start: StartKey) -> Option<f64> {
    let named = gateway.state.limits.borrow().limit(start);
    let cold = gateway.state.cold.borrow();
    let limits = [named, cold.limit(start, gateway.now_ms())];
    limits.into_iter().flatten().reduce(f64::min)
}
