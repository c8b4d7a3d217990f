//! Requests that may have ended replicas, and the exchange of what VMs know of them.

use std::net::SocketAddrV4;

use ibisdale_telemetry::record_event;

use super::admit::GatewayError;
use super::caller_request::CallerRequest;
use super::message::PeerMessage;
use super::peer_link::{peer_addresses, send, spawn_send};
use super::state::{Gateway, lossy_string};
use crate::decide::{
    RETENTION_MS, ReplicaInfo, RequestIdentity, RequestStanding, SuspectChange, SuspectReport,
    SuspectTable,
};

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

/// Records that a replica has ended with a request in flight that was sent at `sent_ms`.
pub(crate) async fn record_crash(
    gateway: &Gateway,
    request: &CallerRequest,
    sent_ms: u64,
    replica: &ReplicaInfo,
) {
    let changes = {
        let mut suspects = gateway.state.suspects.borrow_mut();
        let (identity, now_ms) = (request.identity(), gateway.now_ms());
        suspects.record_crash(identity, sent_ms, replica.start_key(), now_ms)
    };
    if changes.is_empty() {
        return;
    }
    let name = lossy_string(&replica.id);
    record_changes(&changes, "crash", &name, &request.attempt_id);
    // The caller may send the request again, to any VM, as soon as it gets the response.
    announce_suspect(gateway, request.identity()).await;
}

/// Records that a request got a complete response, which clears it of suspicion.
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
