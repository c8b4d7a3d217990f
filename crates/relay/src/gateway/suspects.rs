//! Requests that may have ended replicas: what this VM sees of them and hears from others.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use http::HeaderMap;
use ibisdale_telemetry::record_event;
use smol::Timer;

use super::admit::GatewayError;
use super::attempt::{FailedAttempt, RetryState, is_available};
use super::caller_request::CallerRequest;
use super::message::PeerMessage;
use super::peer_link::{peer_addresses, send, spawn_send};
use super::state::{Gateway, lossy_string};
use crate::decide::{
    AttemptFailure, RETENTION_MS, ReplicaKey, RequestIdentity, RequestStanding, SuspectChange,
    SuspectReport, SuspectTable,
};
use crate::http1::Http1Connection;

/// Time in which a replica whose connection was lost has to accept another one, or it is not
/// known to have ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which such a connection has to stay open.
const PROBE_SETTLE_TIME: Duration = Duration::from_millis(5);
/// Maximum number of such connections.
const PROBES_MAX: u32 = 2;
/// Maximum number of suspects in one message; each takes at most 60 bytes.
const SUSPECTS_PER_MESSAGE: usize = 500;
/// Time for which a change is repeated in the gossip rounds, in milliseconds; two passes over
/// the peers in fleets of hundreds of VMs, since messages may be lost.
const REPEAT_MS: u64 = 3_000;

/// Returns what follows for a request from the crashes that it may have caused.
pub(crate) fn standing(gateway: &Gateway, request: &CallerRequest) -> RequestStanding {
    let suspects = gateway.state.suspects.borrow();
    if suspects.is_empty() {
        return RequestStanding::default();
    }
    suspects.standing(request.identity())
}

/// Returns the refusal of a request that is condemned, and logs and counts it.
pub(crate) fn refuse_condemned(gateway: &Gateway, request: &CallerRequest) -> Option<GatewayError> {
    let standing = standing(gateway, request);
    let fingerprint = standing.condemned?;
    let report = {
        let suspects = gateway.state.suspects.borrow();
        suspects.report(fingerprint, gateway.now_ms())
    };
    let age_ms = report.map_or(0, |report| report.age_ms);
    let after_ms = RETENTION_MS.saturating_sub(age_ms);
    gateway.state.metrics.count_condemned_request();
    record_event!(
        CondemnedRefused,
        request = request.attempt_id,
        fingerprint = fingerprint,
        crashes = standing.crashes,
        age_ms = age_ms,
        after_ms = after_ms,
    );
    Some(GatewayError {
        retry_after_ms: Some(after_ms),
        ..GatewayError::unavailable("the request has ended replicas and is not run again for now")
    })
}

/// Finds out whether a replica ended while it had the request, and records the crash.
///
/// A connection may also be lost on the way or closed by a replica that goes on; the replica has
/// ended if nothing accepts connections at its address.
pub(crate) async fn examine_failure(
    gateway: &Gateway,
    request: &CallerRequest,
    retry: &RetryState,
    replica: ReplicaKey,
    failed: &mut FailedAttempt,
) {
    // A replica that drains or leaves ends as planned.
    let may_be_crash = failed.is_connection_lost && is_available(gateway, retry, replica);
    if !may_be_crash || !has_ended(gateway, request, replica).await {
        return;
    }
    failed.failure = AttemptFailure::ReplicaEnded;
    let info = gateway.state.replicas.borrow().get_info(replica).cloned();
    let Some(info) = info else {
        return;
    };
    let changes = {
        let mut suspects = gateway.state.suspects.borrow_mut();
        let (identity, now_ms) = (request.identity(), gateway.now_ms());
        suspects.record_crash(identity, retry.sent_ms, info.start_key(), now_ms)
    };
    if changes.is_empty() {
        return;
    }
    record_changes(
        &changes,
        "crash",
        &lossy_string(&info.id),
        &request.attempt_id,
    );
    // The caller may send the request again, to any VM, as soon as it gets the response.
    announce_suspect(gateway, request.identity()).await;
}

/// Returns whether nothing accepts connections at a replica's address any more.
async fn has_ended(gateway: &Gateway, request: &CallerRequest, replica: ReplicaKey) -> bool {
    if gateway
        .state
        .replicas
        .borrow()
        .has_ended(replica, gateway.now_ms())
    {
        return true;
    }
    let info = gateway.state.replicas.borrow().get_info(replica).cloned();
    let Some(info) = info else {
        return false;
    };
    if !refuses_connections(gateway, replica, info.address).await {
        return false;
    }
    let mut replicas = gateway.state.replicas.borrow_mut();
    if replicas.record_ended(replica, gateway.now_ms()) {
        gateway.state.pool.remove_replica(replica);
        gateway.state.metrics.count_ended_replica();
        record_event!(
            ReplicaEnded,
            replica = lossy_string(&info.id),
            service = lossy_string(&info.service),
            address = info.address,
            in_flight = replicas.in_flight(replica),
            request = request.attempt_id,
        );
    }
    true
}

/// Returns whether nothing accepts connections at an address; a connection that is accepted is
/// kept for the next request.
async fn refuses_connections(gateway: &Gateway, replica: ReplicaKey, address: SocketAddr) -> bool {
    for _ in 0..PROBES_MAX {
        gateway.state.metrics.count_connection();
        match Http1Connection::open(address, PROBE_TIMEOUT).await {
            Ok(connection) => {
                // A process that ends may close its connections before it stops listening.
                Timer::after(PROBE_SETTLE_TIME).await;
                if connection.is_reusable() {
                    let pool = &gateway.state.pool;
                    pool.put(replica, connection, &HeaderMap::new());
                    return false;
                }
            }
            Err(error) => return error.is_refused(),
        }
    }
    false
}

/// Records that a replica has answered a request whole, which clears it of suspicion.
pub(crate) fn record_served(gateway: &Gateway, request: &CallerRequest, replica: &str) {
    clear(
        gateway,
        request,
        "served",
        replica,
        SuspectTable::record_served,
    );
}

/// Records that a request has brought events, which clears others that share its head.
pub(crate) fn record_progress(gateway: &Gateway, request: &CallerRequest, replica: &str) {
    clear(
        gateway,
        request,
        "progress",
        replica,
        SuspectTable::record_progress,
    );
}

fn clear(
    gateway: &Gateway,
    request: &CallerRequest,
    source: &str,
    replica: &str,
    record: impl FnOnce(&mut SuspectTable, &RequestIdentity, u64) -> Vec<SuspectChange>,
) {
    let changes = {
        let mut suspects = gateway.state.suspects.borrow_mut();
        if suspects.is_empty() {
            return;
        }
        record(&mut suspects, request.identity(), gateway.now_ms())
    };
    if changes.is_empty() {
        return;
    }
    record_changes(&changes, source, replica, &request.attempt_id);
    let (announcer, identity) = (gateway.clone(), request.identity().clone());
    gateway.spawn(async move { announce_suspect(&announcer, &identity).await });
}

fn record_changes(changes: &[SuspectChange], source: &str, replica: &str, request: &str) {
    for change in changes {
        record_event!(
            SuspectChanged,
            fingerprint = change.fingerprint,
            crashes = change.crashes,
            before = change.before,
            source = source,
            replica = replica,
            request = request,
        );
    }
}

/// Takes over what another VM knows of suspected requests.
pub(crate) fn merge_suspects(gateway: &Gateway, reports: &[SuspectReport], source: &str) {
    if reports.is_empty() {
        return;
    }
    let mut suspects = gateway.state.suspects.borrow_mut();
    let changes = suspects.merge(reports, gateway.now_ms());
    record_changes(&changes, source, "", "");
}

/// Sends what this VM knows of a request to all other VMs.
async fn announce_suspect(gateway: &Gateway, identity: &RequestIdentity) {
    let suspects = {
        let suspects = gateway.state.suspects.borrow();
        suspects.request_reports(identity, gateway.now_ms())
    };
    let message = PeerMessage::Suspects { suspects };
    for peer in peer_addresses(gateway) {
        send(gateway, &message, peer).await;
    }
}

/// Returns the changes that this VM has seen recently, as many as fit into a message.
pub(crate) fn recent_suspects(gateway: &Gateway) -> Vec<SuspectReport> {
    let now_ms = gateway.now_ms();
    let suspects = gateway.state.suspects.borrow();
    let mut reports = suspects.own_reports(now_ms.saturating_sub(REPEAT_MS), now_ms);
    reports.truncate(SUSPECTS_PER_MESSAGE);
    reports
}

/// Sends all that is known of suspected requests to a peer.
pub(crate) fn send_suspects(gateway: &Gateway, peer: SocketAddrV4) {
    let reports = gateway.state.suspects.borrow().reports(gateway.now_ms());
    for suspects in reports.chunks(SUSPECTS_PER_MESSAGE) {
        let suspects = suspects.to_vec();
        spawn_send(gateway, PeerMessage::Suspects { suspects }, peer);
    }
}

impl Gateway {
    /// Returns the condemned requests, which end replicas and are not run.
    #[must_use]
    pub fn condemned_requests(&self) -> Vec<SuspectReport> {
        let suspects = self.state.suspects.borrow();
        suspects.condemned(self.now_ms())
    }

    /// Takes over condemned requests that were stored before all VMs lost their state.
    pub fn restore_condemned(&self, reports: &[SuspectReport]) {
        merge_suspects(self, reports, "store");
    }
}
