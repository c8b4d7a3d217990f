//! Detection of replicas that end while they have requests.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use ibisdale_telemetry::record_event;
use smol::Timer;

use super::attempt::{RetryState, is_available};
use super::caller_request::CallerRequest;
use super::failed_attempt::FailedAttempt;
use super::state::{Gateway, lossy_string};
use super::suspects::record_crash;
use crate::decide::{AttemptFailure, ReplicaKey};
use crate::http1::Http1Connection;

/// Time in which a replica whose connection was lost has to accept another one, or it is not
/// known to have ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which such a connection has to stay open.
const PROBE_SETTLE_TIME: Duration = Duration::from_millis(5);
/// Maximum number of such connections.
const PROBES_MAX: u32 = 2;

/// Finds out whether a replica that may have run the request has ended, and records a crash.
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
    let is_refused_again = failed.is_connection_refused && retry.ran_at.contains(&replica);
    if is_refused_again {
        failed.failure = AttemptFailure::ReplicaGone;
        return;
    }
    if !failed.is_connection_lost {
        return;
    }
    // A replica that drains, leaves or is no longer listed ends as planned.
    if !is_available(gateway, retry, replica) {
        if request.route.kind.can_resend() && has_left(gateway, retry).await {
            failed.failure = AttemptFailure::ReplicaGone;
        }
        return;
    }
    if !has_ended(gateway, request, replica).await {
        return;
    }
    failed.failure = AttemptFailure::ReplicaEnded;
    let info = gateway.state.replicas.borrow().get_info(replica).cloned();
    let Some(info) = info else {
        return;
    };
    record_crash(gateway, request, retry.sent_ms, &info).await;
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
    match probe(gateway, info.address).await {
        ProbeResult::Refused => {}
        ProbeResult::Unknown => return false,
        ProbeResult::Accepted(connection) => {
            // It is kept for the next request.
            let pool = &gateway.state.pool;
            pool.put(replica, connection, &HeaderMap::new());
            return false;
        }
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

/// Returns whether the replica of the last attempt, which gets no new requests, has ended.
async fn has_left(gateway: &Gateway, retry: &RetryState) -> bool {
    let Some(address) = retry.replica_address else {
        return false;
    };
    matches!(probe(gateway, address).await, ProbeResult::Refused)
}

/// What a replica's address does with a new connection.
enum ProbeResult {
    /// Nothing accepts connections there.
    Refused,
    /// The connection was accepted and stays open.
    Accepted(Http1Connection),
    /// It got no answer, or was accepted and closed.
    Unknown,
}

async fn probe(gateway: &Gateway, address: SocketAddr) -> ProbeResult {
    for _ in 0..PROBES_MAX {
        gateway.state.metrics.count_connection();
        match Http1Connection::open(address, PROBE_TIMEOUT).await {
            Ok(connection) => {
                // A process that ends may close its connections before it stops listening.
                Timer::after(PROBE_SETTLE_TIME).await;
                if connection.is_reusable() {
                    return ProbeResult::Accepted(connection);
                }
            }
            Err(error) if error.is_refused() => return ProbeResult::Refused,
            Err(_) => return ProbeResult::Unknown,
        }
    }
    ProbeResult::Unknown
}
