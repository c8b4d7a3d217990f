//! Detection of replicas that end while they have requests.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use ibisdale_telemetry::record_event;
use smol::Timer;

use super::attempt::{FailedAttempt, RetryState, is_available};
use super::caller_request::CallerRequest;
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
