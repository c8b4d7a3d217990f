//! Graceful shutdown of a gateway.

use std::time::{Duration, Instant};

use ibisdale_telemetry::record_event;
use smol::Timer;

use super::budget_copies;
use super::caller_request::millis;
use super::peer_link;
use super::state::{Gateway, lossy_string};

/// Time for which callers may still connect to an address from an earlier directory
/// response, as a multiple of the response's TTL.
const TTL_FACTOR: u64 = 3;
/// Part of the grace period after which requests in flight are no longer waited for,
/// in percent.
const GRACE_USED_PERCENT: u32 = 92;
/// Part of that time after which no request is taken, so that those taken before can end, in
/// percent.
const ACCEPT_PERCENT: u32 = 37;
/// Interval at which the requests in flight are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Removes this VM from the directory, waits for the requests in flight and for their responses to
/// be sent, and hands over the accounts of programs that it knows.
///
/// Returns before `grace` has passed, since the process would be killed then.
pub async fn drain(gateway: &Gateway, grace: Duration) {
    let started = Instant::now();
    let name = lossy_string(&gateway.state.options.facts.name);
    gateway.state.is_draining.set(true);
    record_event!(
        GatewayDraining,
        vm = name,
        in_flight = gateway.state.in_flight.get()
    );
    peer_link::announce(gateway).await;
    let wait_limit = grace * GRACE_USED_PERCENT / 100;
    let ttl_wait = Duration::from_secs(gateway.state.options.directory.ttl_s * TTL_FACTOR);
    let accept_time = ttl_wait.min(wait_limit * ACCEPT_PERCENT / 100);
    while started.elapsed() < accept_time {
        Timer::after(POLL_INTERVAL).await;
    }
    gateway.state.is_stopping.set(true);
    // Closes idle connections at once, busy ones after their responses.
    gateway.state.shutdown_sender.borrow_mut().take();
    Timer::after(POLL_INTERVAL).await;
    while is_serving(gateway) && started.elapsed() < wait_limit {
        Timer::after(POLL_INTERVAL).await;
    }
    budget_copies::hand_over(gateway).await;
    peer_link::announce_leave(gateway).await;
    // Leaves time to write the last bytes of responses.
    Timer::after(POLL_INTERVAL).await;
    record_event!(
        GatewayStopped,
        vm = name,
        in_flight = gateway.state.in_flight.get(),
        drain_ms = millis(started.elapsed()),
    );
}

/// Returns whether a request is in flight, or a response is still being sent to a client that reads
/// it slowly.
fn is_serving(gateway: &Gateway) -> bool {
    let connections = gateway.state.connections.borrow();
    let unsent = connections.iter().any(|limiter| limiter.unsent_count() > 0);
    gateway.state.in_flight.get() > 0 || unsent
}
