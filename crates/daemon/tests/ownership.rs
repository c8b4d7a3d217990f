//! Ownership drivers before a key-value service with faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ibisdale_core::{AttemptKey, DaemonName, ProgramId, SlotId, StepNumber};
use ibisdale_daemon::ownership::{
    IntentError, OwnershipDriver, OwnershipHandle, PaidIntent, ProcessClock,
};
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::{KvCallKind, KvClient, KvOptions};
use ibisdale_policy::journal::{EntryState, NotCommittedReason};
use ibisdale_policy::ownership::{DaemonProfile, OwnershipOptions, RegistrationPhase};
use ibisdale_standins::{KvServer, OutageKind};

const SLOTS: u16 = 64;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Ends a test that would wait for ever.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

struct Fleet {
    server: KvServer,
    executor: TrafficExecutor,
    started: Instant,
}

impl Fleet {
    fn new(executor: &TrafficExecutor) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            server: KvServer::start(address, executor).expect("a free port"),
            executor: TrafficExecutor::clone(executor),
            started: Instant::now(),
        }
    }

    fn start(&self, name: &'static str, seed: u64) -> OwnershipDriver {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let profile = DaemonProfile {
            name: DaemonName::new(name).expect("a name"),
            fleet_address: address,
            entry_address: address,
            failure_domain: "a".to_owned(),
        };
        let options = OwnershipOptions::new(profile, seed)
            .slot_count(SLOTS)
            .lease_ttl(Duration::from_secs(3))
            .takeover_delay(Duration::from_millis(200))
            .rebalance_delay(Duration::from_millis(200));
        let kv = KvOptions::new()
            .endpoint(self.server.get_address())
            .call_timeout(Duration::from_secs(1));
        let client = KvClient::new(kv, &self.executor);
        OwnershipDriver::start(options, client, ProcessClock::start(), &self.executor)
    }

    async fn wait(&self, what: &str, is_done: impl Fn() -> bool) {
        while !is_done() {
            assert!(self.started.elapsed() < TEST_TIMEOUT, "waiting: {what}");
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn wait_shared(&self, drivers: &[&OwnershipDriver]) {
        let share = usize::from(SLOTS) / drivers.len();
        self.wait("shares", || {
            let counts: Vec<usize> = drivers.iter().map(|driver| own_count(driver)).collect();
            let total: usize = counts.iter().sum();
            total == usize::from(SLOTS) && counts.iter().all(|count| *count + 2 >= share)
        })
        .await;
    }
}

fn own_count(driver: &OwnershipDriver) -> usize {
    driver.handle().get_snapshot().own_slots().count()
}

fn own_slot(driver: &OwnershipDriver) -> SlotId {
    let snapshot = driver.handle().get_snapshot();
    let mut slots = snapshot.own_slots().map(|(slot, _)| slot);
    slots.next().expect("an own slot")
}

fn intent(slot: SlotId, number: u8) -> PaidIntent {
    let mut bytes = [number; 16];
    bytes[..2].copy_from_slice(&slot.get().to_be_bytes());
    PaidIntent {
        program: ProgramId::from_bytes(&bytes).expect("an id"),
        step: StepNumber::FIRST,
        attempt: AttemptKey::new("a").expect("a key"),
        timeout: Duration::from_secs(5),
    }
}

async fn state_of(handle: &OwnershipHandle, intent: &PaidIntent) -> Option<EntryState> {
    let entry = handle.find_intent(intent.program, intent.step).await;
    entry.expect("the driver runs").map(|entry| entry.state)
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(Fleet) -> F) {
    let executor: TrafficExecutor = Arc::new(async_executor::Executor::new());
    smol::block_on(executor.run(test(Fleet::new(&executor))));
}

#[test]
fn survivors_take_the_slots_and_intents_of_a_dead_daemon() {
    run(|fleet| async move {
        let drivers = [
            fleet.start("a", 1),
            fleet.start("b", 2),
            fleet.start("c", 3),
        ];
        let [first, second, third] = drivers;
        fleet.wait_shared(&[&first, &second, &third]).await;
        let slot = own_slot(&first);
        let epoch = first
            .handle()
            .get_snapshot()
            .owner(slot)
            .map(|owner| owner.epoch);
        let intent = intent(slot, 1);
        let committed = first.handle().commit_intent(intent.clone()).await;
        assert_eq!(committed.map(|committed| committed.epoch).ok(), epoch);
        let before = fleet.server.get_counts();
        let killed_at = Instant::now();
        first.close().await;
        fleet
            .wait("takeover", || {
                own_count(&second) + own_count(&third) == usize::from(SLOTS)
            })
            .await;
        let taken_after = killed_at.elapsed();
        let calls = fleet.server.get_counts() - before;
        println!("takeover of {SLOTS}/3 slots after {taken_after:?} with a lease of 3 s");
        println!(
            "{} transactions, {} reads",
            calls.get(KvCallKind::Txn),
            calls.get(KvCallKind::Range)
        );
        // Two takers, each with one read and one write, and one repeat.
        assert!(calls.get(KvCallKind::Txn) <= 4, "{calls:?}");
        assert!(calls.get(KvCallKind::Range) <= 4, "{calls:?}");
        // The one that did not take the slot learns of it by its watch.
        let knows_taker = |driver: &OwnershipDriver| {
            let snapshot = driver.handle().get_snapshot();
            snapshot.owner(slot).map(|owner| owner.epoch) > epoch
        };
        fleet
            .wait("both know the new owner", || {
                knows_taker(&second) && knows_taker(&third)
            })
            .await;
        for driver in [&second, &third] {
            let handle = driver.handle();
            let snapshot = handle.get_snapshot();
            let owner = snapshot.owner(slot).expect("an owner");
            if owner.is_own {
                assert_eq!(state_of(&handle, &intent).await, Some(EntryState::Intent));
                let repeated = handle.commit_intent(intent.clone()).await;
                let reason = NotCommittedReason::AlreadyRecorded(EntryState::Intent);
                assert_eq!(repeated, Err(IntentError::NotCommitted { reason }));
            }
        }
        second.close().await;
        third.close().await;
        fleet.server.close().await;
    });
}

#[test]
fn owner_goes_on_in_an_outage_and_records_nothing() {
    run(|mut fleet| async move {
        let driver = fleet.start("a", 1);
        fleet.wait_shared(&[&driver]).await;
        let handle = driver.handle();
        let intent = intent(own_slot(&driver), 1);
        fleet.server.start_outage(OutageKind::Refused).await;
        let mut short = intent.clone();
        short.timeout = Duration::from_millis(300);
        let reason = NotCommittedReason::DeadlinePassed;
        let refused = handle.commit_intent(short).await;
        assert_eq!(refused, Err(IntentError::NotCommitted { reason }));
        fleet
            .wait("unconfirmed lease", || {
                let snapshot = handle.get_snapshot();
                fleet.started.elapsed() > Duration::from_secs(4) && snapshot.registration.is_some()
            })
            .await;
        assert_eq!(own_count(&driver), usize::from(SLOTS));
        fleet.server.end_outage().await;
        handle
            .commit_intent(intent)
            .await
            .expect("after the outage");
        driver.close().await;
        fleet.server.close().await;
    });
}

#[test]
fn lost_answers_are_recognised() {
    run(|fleet| async move {
        let driver = fleet.start("a", 1);
        fleet.wait_shared(&[&driver]).await;
        let handle = driver.handle();
        let intent = intent(own_slot(&driver), 1);
        let before = fleet.server.get_counts();
        fleet.server.lose_answers(Some(KvCallKind::Txn), 2);
        handle
            .commit_intent(intent.clone())
            .await
            .expect("recognised");
        let calls = fleet.server.get_counts() - before;
        assert_eq!(calls.get(KvCallKind::Txn), 3);
        assert_eq!(state_of(&handle, &intent).await, Some(EntryState::Intent));
        driver.close().await;
        fleet.server.close().await;
    });
}

#[test]
fn lapsed_owner_registers_anew_and_its_old_slots_are_taken() {
    run(|fleet| async move {
        let first = fleet.start("a", 1);
        let second = fleet.start("b", 2);
        fleet.wait_shared(&[&first, &second]).await;
        let old = first.handle().get_snapshot().registration.clone();
        let lost = intent(own_slot(&first), 1);
        first
            .handle()
            .commit_intent(lost.clone())
            .await
            .expect("committed");
        for lease in fleet.server.get_leases() {
            fleet.server.expire_lease(lease);
        }
        fleet
            .wait("new registration", || {
                let identity = first.handle().get_snapshot().registration.clone();
                identity.is_some() && identity != old
            })
            .await;
        fleet.wait_shared(&[&first, &second]).await;
        let mut states = Vec::new();
        for driver in [&first, &second] {
            states.extend(state_of(&driver.handle(), &lost).await);
        }
        assert_eq!(states, [EntryState::Intent]);
        first.close().await;
        second.close().await;
        fleet.server.close().await;
    });
}

#[test]
fn drained_daemon_waits_for_pinned_slots() {
    run(|fleet| async move {
        let first = fleet.start("a", 1);
        let second = fleet.start("b", 2);
        fleet.wait_shared(&[&first, &second]).await;
        let handle = first.handle();
        let slot = own_slot(&first);
        let pinned = handle.pin(slot).await.expect("the driver runs");
        assert!(pinned.is_some());
        let finish = async {
            let rest = usize::from(SLOTS) - 1;
            fleet.wait("handover", || own_count(&second) == rest).await;
            assert_eq!(own_count(&first), 1);
            handle.unpin(slot);
        };
        futures_lite::future::zip(first.drain(), finish).await;
        fleet
            .wait("last slot", || own_count(&second) == usize::from(SLOTS))
            .await;
        assert_eq!(handle.get_snapshot().phase, RegistrationPhase::Ended);
        first.close().await;
        second.close().await;
        fleet.server.close().await;
    });
}

#[test]
fn intents_of_one_moment_share_writes() {
    run(|fleet| async move {
        let driver = fleet.start("a", 1);
        fleet.wait_shared(&[&driver]).await;
        let slots: Vec<SlotId> = SlotId::all().take(usize::from(SLOTS)).collect();
        let before = fleet.server.get_counts();
        let mut tasks = Vec::new();
        for slot in slots {
            let handle = driver.handle();
            let task = async move { handle.commit_intent(intent(slot, 2)).await };
            tasks.push(fleet.executor.spawn(task));
        }
        for task in tasks {
            task.await.expect("committed");
        }
        let calls = fleet.server.get_counts() - before;
        println!(
            "{} transactions for {SLOTS} intents",
            calls.get(KvCallKind::Txn)
        );
        assert!(calls.get(KvCallKind::Txn) <= 8, "{calls:?}");
        driver.close().await;
        fleet.server.close().await;
    });
}
