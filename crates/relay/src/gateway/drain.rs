//! The graceful stop of a gateway.

use std::time::{Duration, Instant};

use ibisdale_telemetry::record_event;
use smol::Timer;

use super::budget;
use super::call::millis;
use super::peers;
use super::state::{Gateway, text};

/// Time for which callers may still open connections to an address that they
/// were told before, as a multiple of the time they are to keep it.
const KEEP_FACTOR: u64 = 3;
/// Part of the grace after which nothing further is waited for, in percent.
const GRACE_USED_PERCENT: u32 = 92;
/// Time between two looks at what is still in service.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Sends callers elsewhere, finishes what is in service and returns.
///
/// Returns before `grace` is over, after which the process would be killed.
pub async fn drain(gateway: &Gateway, grace: Duration) {
    let started = Instant::now();
    let name = text(&gateway.state.options.facts.name);
    gateway.state.is_draining.set(true);
    record_event!(
        GatewayDraining,
        vm = name,
        in_flight = gateway.state.in_flight.get()
    );
    peers::announce(gateway).await;
    let last = grace * GRACE_USED_PERCENT / 100;
    let keep = Duration::from_secs(gateway.state.options.directory.keep_s * KEEP_FACTOR);
    let quiet = keep.min(last / 2);
    while started.elapsed() < quiet {
        Timer::after(LOOK_INTERVAL).await;
    }
    // Idle connections close now; those in service after their answers.
    gateway.state.close_sender.borrow_mut().take();
    Timer::after(LOOK_INTERVAL).await;
    while gateway.state.in_flight.get() > 0 && started.elapsed() < last {
        Timer::after(LOOK_INTERVAL).await;
    }
    budget::hand_over(gateway).await;
    peers::say_goodbye(gateway).await;
    // Lets the last bytes of answers leave.
    Timer::after(LOOK_INTERVAL).await;
    record_event!(
        GatewayStopped,
        vm = name,
        in_flight = gateway.state.in_flight.get(),
        drain_ms = millis(started.elapsed()),
    );
}
