//! Latency and writes of paid actions, and the time to a takeover.
//!
//! `cargo bench -p ibisdale-daemon --bench ownership`

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ibisdale_core::{AttemptKey, DaemonName, ProgramId, SlotId, StepNumber};
use ibisdale_daemon::ownership::{OwnershipDriver, OwnershipHandle, PaidIntent, ProcessClock};
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::{KvCallKind, KvClient, KvOptions};
use ibisdale_policy::ownership::{DaemonProfile, OwnershipOptions};
use ibisdale_standins::KvServer;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: u16 = 64;
const ACTIONS_PER_CALLER: u64 = 50;
const LEASE_TTL: Duration = Duration::from_secs(3);
const KILLS: u64 = 5;
const POLL_INTERVAL: Duration = Duration::from_millis(2);

fn start(
    server: &KvServer,
    executor: &TrafficExecutor,
    name: &'static str,
    seed: u64,
) -> OwnershipDriver {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let profile = DaemonProfile {
        name: DaemonName::new(name).expect("a name"),
        fleet_address: address,
        entry_address: address,
        failure_domain: "a".to_owned(),
    };
    let options = OwnershipOptions::new(profile, seed)
        .slot_count(SLOTS)
        .lease_ttl(LEASE_TTL);
    let kv = KvOptions::new().endpoint(server.get_address());
    let client = KvClient::new(kv, executor);
    OwnershipDriver::start(options, client, ProcessClock::start(), executor)
}

fn own_count(driver: &OwnershipDriver) -> usize {
    driver.handle().get_snapshot().own_slots().count()
}

async fn wait_owned(drivers: &[&OwnershipDriver]) {
    loop {
        let total: usize = drivers.iter().map(|driver| own_count(driver)).sum();
        if total == usize::from(SLOTS) {
            return;
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// Records and finishes actions one after another; returns their latencies.
async fn run_caller(handle: OwnershipHandle, caller: u64) -> Vec<Duration> {
    let mut random = SmallRng::seed_from_u64(caller);
    let slot = SlotId::new(u16::try_from(caller).unwrap_or(0) % SLOTS).expect("a slot");
    let mut latencies = Vec::new();
    for _ in 0..ACTIONS_PER_CALLER {
        let program = ProgramId::generate(slot, &mut random);
        let intent = PaidIntent {
            program,
            step: StepNumber::FIRST,
            attempt: AttemptKey::new("a").expect("a key"),
            timeout: Duration::from_secs(10),
        };
        let started = Instant::now();
        handle.commit_intent(intent).await.expect("committed");
        latencies.push(started.elapsed());
        handle.finish_intent(program, StepNumber::FIRST);
    }
    latencies
}

async fn measure_actions(executor: &TrafficExecutor, delay: Duration, callers: u64) {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = KvServer::start(address, executor).expect("a free port");
    let driver = start(&server, executor, "a", 1);
    wait_owned(&[&driver]).await;
    server.set_delay(delay);
    let before = server.get_counts();
    let tasks: Vec<_> = (0..callers)
        .map(|caller| executor.spawn(run_caller(driver.handle(), caller)))
        .collect();
    let mut histogram = Histogram::<u64>::new(3).expect("three digits");
    for task in tasks {
        for latency in task.await {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            histogram.record(micros).expect("the histogram grows");
        }
    }
    let calls = server.get_counts() - before;
    let actions = callers * ACTIONS_PER_CALLER;
    println!(
        "service {delay:?}, {callers} callers: {actions} actions, {} writes, p50 {} us, p99 {} us",
        calls.get(KvCallKind::Txn),
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    );
    driver.close().await;
    server.close().await;
}

async fn measure_takeover(executor: &TrafficExecutor, seed: u64) {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = KvServer::start(address, executor).expect("a free port");
    let victim = start(&server, executor, "a", 10 * seed);
    let others = [
        start(&server, executor, "b", 10 * seed + 1),
        start(&server, executor, "c", 10 * seed + 2),
    ];
    wait_owned(&[&victim, &others[0], &others[1]]).await;
    let lost = own_count(&victim);
    smol::Timer::after(Duration::from_millis(200 * seed)).await;
    let before = server.get_counts();
    let killed_at = Instant::now();
    victim.close().await;
    wait_owned(&[&others[0], &others[1]]).await;
    let calls = server.get_counts() - before;
    println!(
        "takeover of {lost} slots, lease {LEASE_TTL:?}: {:?}, {} writes, {} reads",
        killed_at.elapsed(),
        calls.get(KvCallKind::Txn),
        calls.get(KvCallKind::Range),
    );
    for driver in others {
        driver.close().await;
    }
    server.close().await;
}

fn main() {
    let executor: TrafficExecutor = Arc::new(async_executor::Executor::new());
    smol::block_on(executor.run(async {
        for delay in [Duration::from_millis(1), Duration::from_millis(5)] {
            for callers in [1, 16, 64] {
                measure_actions(&executor, delay, callers).await;
            }
        }
        for seed in 1..=KILLS {
            measure_takeover(&executor, seed).await;
        }
    }));
}
