//! Replica selection with idle, busy, failing and draining replicas.

use std::collections::HashMap;

use bytes::Bytes;
use ibisdale_relay::decide::{
    AttemptOutcome, LimitStatement, LimitTable, PlacementInput, ReplicaInfo, ReplicaKey,
    ReplicaLoad, ReplicaTable, choose_replicas,
};

const SLOTS: u32 = 16;

/// Chooses a replica where none names a limit.
fn choose_replica(
    table: &ReplicaTable,
    input: &PlacementInput<'_>,
    now_ms: u64,
) -> Option<ReplicaKey> {
    let choice = choose_replicas(table, &LimitTable::default(), input, now_ms);
    assert_eq!(choice.limited, []);
    choice.open
}

fn info(index: u16, service: &'static str) -> ReplicaInfo {
    ReplicaInfo {
        id: Bytes::from(format!("replica-{index}")),
        started_ms: 1,
        service: Bytes::from(service),
        address: ([127, 0, 0, 1], 1_000 + index).into(),
        domain: Bytes::from(if index.is_multiple_of(2) {
            "east"
        } else {
            "west"
        }),
        software_version: Bytes::from_static(b"v1"),
        slots: SLOTS,
        is_draining: false,
        cold_left_ms: 0,
    }
}

fn table(count: u16) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    table.replace((0..count).map(|index| info(index, "model")).collect());
    table
}

fn input(affinity: Option<u64>, random: u64) -> PlacementInput<'static> {
    PlacementInput {
        service: b"model",
        software_version: None,
        affinity,
        domain: b"east",
        excluded: &[],
        cold: None,
        random,
    }
}

#[test]
fn all_vms_choose_the_same_replica_for_a_program() {
    let (first_vm, second_vm) = (table(9), table(9));
    for program in 0..50 {
        let first = choose_replica(&first_vm, &input(Some(program), 1), 1).unwrap();
        let second = choose_replica(&second_vm, &input(Some(program), 99), 1).unwrap();
        assert_eq!(first_vm.get_info(first), second_vm.get_info(second));
    }
}

#[test]
fn burst_of_one_program_spills_to_other_replicas() {
    let mut table = table(9);
    let mut chosen: Vec<ReplicaKey> = Vec::new();
    for _ in 0..60 {
        let key = choose_replica(&table, &input(Some(5), 1), 1).unwrap();
        table.begin_request(key, 1_000);
        chosen.push(key);
    }
    let replicas = table.service_replicas(b"model").iter();
    let counts = replicas.map(|key| chosen.iter().filter(|other| *other == key).count());
    assert!(counts.max().unwrap() <= 10);
}

#[test]
fn removing_a_replica_moves_few_programs() {
    let before = table(9);
    let mut after = table(9);
    after.replace((0..8).map(|index| info(index, "model")).collect());
    let moved = (0..900).filter(|program| {
        let old = choose_replica(&before, &input(Some(*program), 1), 1).unwrap();
        let new = choose_replica(&after, &input(Some(*program), 1), 1).unwrap();
        before.get_info(old) != after.get_info(new)
    });
    let moved = moved.count();
    assert!((50..=150).contains(&moved), "{moved} of 900 programs moved");
}

#[test]
fn draining_replica_gets_no_requests() {
    let mut table = table(2);
    let mut draining = info(0, "model");
    draining.is_draining = true;
    table.replace(vec![draining, info(1, "model")]);
    for random in 0..100_u64 {
        let key = choose_replica(&table, &input(Some(random), random), 1).unwrap();
        assert_eq!(table.get_info(key).unwrap().id, "replica-1");
    }
}

#[test]
fn failing_replica_is_ejected_and_readmitted() {
    let mut table = table(2);
    let failing = table.service_replicas(b"model")[0];
    for _ in 0..3 {
        table.begin_request(failing, 0);
        table.finish_request(failing, AttemptOutcome::Failed, 100);
    }
    let is_chosen = |table: &ReplicaTable, now_ms| {
        (0..100_u64)
            .any(|program| choose_replica(table, &input(Some(program), 1), now_ms) == Some(failing))
    };
    assert!(!is_chosen(&table, 200));
    assert!(is_chosen(&table, 10_000));
}

#[test]
fn ejected_replica_is_used_if_no_other_is_listed() {
    let mut table = table(1);
    let only = table.service_replicas(b"model")[0];
    for _ in 0..5 {
        table.begin_request(only, 0);
        table.finish_request(only, AttemptOutcome::Failed, 100);
    }
    assert_eq!(choose_replica(&table, &input(None, 7), 101), Some(only));
}

#[test]
fn less_loaded_of_two_replicas_is_chosen() {
    let mut table = table(2);
    let keys = table.service_replicas(b"model").to_vec();
    let full = ReplicaLoad {
        running: SLOTS,
        waiting: 3,
        slots: SLOTS,
    };
    table.record_load(keys[0], full, 1);
    // The lower half of the random number selects one replica, the upper half the other.
    let key = choose_replica(&table, &input(None, 1 << 32), 2);
    assert_eq!(key, Some(keys[1]));
}

#[test]
fn restarted_replica_is_added_as_a_new_one() {
    let mut table = table(1);
    let old = table.service_replicas(b"model")[0];
    let mut restarted = info(0, "model");
    restarted.started_ms = 2;
    let changes = table.replace(vec![restarted]);
    assert_eq!(changes.added.len(), 1);
    assert_eq!(changes.removed.len(), 1);
    assert!(table.get_info(old).is_none());
}

/// Simulation of the requests of programs across many VMs in discrete time steps.
struct RequestSimulation {
    vms: Vec<ReplicaTable>,
    /// Number of requests at each replica.
    requests_by_replica: HashMap<Bytes, u32>,
    /// End time, VM and replica of each running request.
    running: Vec<(u64, usize, ReplicaKey)>,
    requests_total: u32,
    queued_total: u32,
}

const VMS: u64 = 59;
const REPLICAS: u16 = 72;
const PROGRAMS: u64 = 950;
const REQUEST_MS: u64 = 400;
const STEP_MS: u64 = 10;
const EXCHANGE_INTERVAL_MS: u64 = 250;

impl RequestSimulation {
    /// Simulates programs that send each request through a random VM.
    fn run(with_exchange: bool) -> Self {
        let mut simulation = Self {
            vms: (0..VMS).map(|_| table(REPLICAS)).collect(),
            requests_by_replica: HashMap::new(),
            running: Vec::new(),
            requests_total: 0,
            queued_total: 0,
        };
        let mut next_ms: Vec<u64> = (0..PROGRAMS).map(|program| program % REQUEST_MS).collect();
        for now_ms in (0..4_000).step_by(10) {
            simulation.end_requests(now_ms);
            if with_exchange && now_ms % EXCHANGE_INTERVAL_MS < STEP_MS {
                simulation.exchange_counts(now_ms);
            }
            for program in 0..PROGRAMS {
                let due_ms = &mut next_ms[usize::try_from(program).unwrap()];
                if *due_ms <= now_ms {
                    *due_ms = now_ms + REQUEST_MS + 20;
                    simulation.begin_request(program, now_ms);
                }
            }
        }
        simulation
    }

    fn begin_request(&mut self, program: u64, now_ms: u64) {
        let random = program.wrapping_mul(31).wrapping_add(now_ms / STEP_MS);
        let random = random.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let vm = usize::try_from((random >> 32) % VMS).unwrap();
        let table = &mut self.vms[vm];
        let key = choose_replica(table, &input(Some(program), random), now_ms).unwrap();
        table.begin_request(key, 0);
        let id = table.get_info(key).unwrap().id.clone();
        let count = self.requests_by_replica.entry(id).or_default();
        *count += 1;
        self.requests_total += 1;
        self.queued_total += u32::from(*count > SLOTS);
        self.running.push((now_ms + REQUEST_MS, vm, key));
    }

    fn end_requests(&mut self, now_ms: u64) {
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(end_ms, ..)| *end_ms <= now_ms);
        self.running = running;
        for (_, vm, key) in ended {
            let id = self.vms[vm].get_info(key).unwrap().id.clone();
            *self.requests_by_replica.get_mut(&id).unwrap() -= 1;
            self.vms[vm].finish_request(key, AttemptOutcome::Answered, now_ms);
        }
    }

    fn exchange_counts(&mut self, now_ms: u64) {
        let counts_by_vm: Vec<_> = self
            .vms
            .iter()
            .map(ReplicaTable::in_flight_counts)
            .collect();
        for (vm, table) in self.vms.iter_mut().enumerate() {
            for (other, counts) in counts_by_vm
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != vm)
            {
                table.record_peer_in_flight(other as u64, counts.clone(), now_ms);
            }
        }
    }
}

/// Without the exchange a VM knows only its own requests and the load reports in
/// responses. With 59 VMs and 72 replicas it rarely gets a response from a given
/// replica, so it keeps sending to full ones.
#[test]
fn exchanged_counts_reduce_requests_queued_at_full_replicas() {
    let without_exchange = RequestSimulation::run(false);
    let with_exchange = RequestSimulation::run(true);
    let per_mille = |simulation: &RequestSimulation| {
        1_000 * simulation.queued_total / simulation.requests_total
    };
    insta::assert_debug_snapshot!((per_mille(&without_exchange), per_mille(&with_exchange)), @r"
    (
        147,
        89,
    )
    ");
}

#[test]
fn replica_that_said_it_leaves_gets_no_requests_until_it_starts_again() {
    let mut table = table(2);
    let leaving = choose_replica(&table, &input(Some(7), 1), 1).unwrap();
    let leaving = table.get_info(leaving).unwrap().clone();
    let id = leaving.id.clone();
    assert!(table.record_leaving(&leaving));
    assert!(!table.record_leaving(&leaving));
    let is_chosen = |table: &ReplicaTable| {
        let keys = (0..40).filter_map(|random| choose_replica(table, &input(None, random), 1));
        let mut ids = keys.map(|key| table.get_info(key).unwrap().id.clone());
        ids.any(|chosen| chosen == id)
    };
    assert!(!is_chosen(&table));
    // The list still has it as ready, loses it and has it again.
    let infos = || (0..2).map(|index| info(index, "model"));
    table.replace(infos().collect());
    assert!(!is_chosen(&table));
    table.replace(infos().filter(|info| info.id != id).collect());
    table.replace(infos().collect());
    assert!(!is_chosen(&table));
    let restarted = infos().map(|info| ReplicaInfo {
        started_ms: 2,
        ..info
    });
    table.replace(restarted.collect());
    assert!(is_chosen(&table));
}

#[test]
fn replica_that_said_it_leaves_while_it_was_delisted_gets_no_requests() {
    let mut table = table(1);
    let leaving = info(0, "model");
    table.replace(Vec::new());
    assert!(table.record_leaving(&leaving));
    table.replace(vec![leaving]);
    assert_eq!(choose_replica(&table, &input(None, 1), 1), None);
}

#[test]
fn replica_of_another_software_version_is_never_chosen() {
    let mut table = ReplicaTable::default();
    let infos = (0..6).map(|index| ReplicaInfo {
        software_version: Bytes::from(if index < 2 { "v1" } else { "v2" }),
        ..info(index, "model")
    });
    table.replace(infos.collect());
    let mut excluded = Vec::new();
    for expected in [true, true, false] {
        let input = PlacementInput {
            software_version: Some(b"v1"),
            excluded: &excluded,
            ..input(Some(7), 3)
        };
        let chosen = choose_replica(&table, &input, 1);
        assert_eq!(chosen.is_some(), expected);
        if let Some(key) = chosen {
            assert_eq!(table.get_info(key).unwrap().software_version, "v1");
            // Ejects it, so that only replicas of the other version are usable.
            for _ in 0..4 {
                table.begin_request(key, 0);
                table.finish_request(key, AttemptOutcome::Failed, 1);
            }
            excluded.push(key);
        }
    }
}

#[test]
fn limited_replicas_are_offered_before_the_open_one_by_rank() {
    let table = table(9);
    let mut limits = LimitTable::default();
    let infos: Vec<ReplicaInfo> = table.infos().cloned().collect();
    for limited in &infos[..6] {
        let named = LimitStatement::PerSecond(1.0);
        limits.observe(limited.start_key(), named, Some(1), 2);
    }
    for program in 0..50 {
        let all = choose_replica(&table, &input(Some(program), 1), 3);
        let choice = choose_replicas(&table, &limits, &input(Some(program), 1), 3);
        let offered = choice.limited.first().copied().or(choice.open);
        assert_eq!(offered, all, "the preferred replica is offered first");
        let is_limited = |key| {
            let info = table.get_info(key).unwrap();
            limits.limit(info.start_key()).is_some()
        };
        assert!(choice.limited.iter().all(|key| is_limited(*key)));
        assert!(choice.open.is_some_and(|key| !is_limited(key)));
    }
}

#[test]
fn all_limited_replicas_are_offered_if_none_is_open() {
    let table = table(9);
    let mut limits = LimitTable::default();
    for info in table.infos() {
        limits.observe(info.start_key(), LimitStatement::PerSecond(1.0), Some(1), 2);
    }
    for affinity in [None, Some(7)] {
        let choice = choose_replicas(&table, &limits, &input(affinity, 1), 3);
        assert_eq!((choice.limited.len(), choice.open), (9, None));
    }
}
