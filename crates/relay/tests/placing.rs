//! Choice of replicas under the loads that it answers.

use std::collections::HashMap;

use bytes::Bytes;
use ibisdale_relay::decide::{
    CallOutcome, PlacingRequest, ReplicaFact, ReplicaKey, ReplicaLoad, ReplicaTable, choose_replica,
};

const SLOTS: u32 = 16;

fn fact(index: u16, service: &'static str) -> ReplicaFact {
    ReplicaFact {
        id: Bytes::from(format!("replica-{index}")),
        started_ms: 1,
        service: Bytes::from(service),
        address: ([127, 0, 0, 1], 1_000 + index).into(),
        domain: Bytes::from(if index.is_multiple_of(2) {
            "east"
        } else {
            "west"
        }),
        slots: SLOTS,
        is_draining: false,
    }
}

fn table(count: u16) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    table.replace((0..count).map(|index| fact(index, "model")).collect());
    table
}

fn request(affinity: Option<u64>, draw: u64) -> PlacingRequest<'static> {
    PlacingRequest {
        service: b"model",
        affinity,
        domain: b"east",
        excluded: &[],
        draw,
    }
}

#[test]
fn calls_of_a_program_meet_at_one_replica_on_every_vm() {
    let (one, other) = (table(9), table(9));
    for program in 0..50 {
        let first = choose_replica(&one, &request(Some(program), 1), 1).unwrap();
        let second = choose_replica(&other, &request(Some(program), 99), 1).unwrap();
        assert_eq!(one.get_fact(first), other.get_fact(second));
    }
}

#[test]
fn burst_of_one_program_spills_to_other_replicas() {
    let mut table = table(9);
    let mut chosen: Vec<ReplicaKey> = Vec::new();
    for _ in 0..60 {
        let key = choose_replica(&table, &request(Some(5), 1), 1).unwrap();
        table.begin(key, 1_000);
        chosen.push(key);
    }
    let busiest = table.get_service(b"model").iter();
    let busiest = busiest.map(|key| chosen.iter().filter(|other| *other == key).count());
    assert!(busiest.max().unwrap() <= 10);
}

#[test]
fn removed_replica_moves_only_its_own_programs() {
    let before = table(9);
    let mut after = table(9);
    after.replace((0..8).map(|index| fact(index, "model")).collect());
    let moved = (0..900).filter(|program| {
        let old = choose_replica(&before, &request(Some(*program), 1), 1).unwrap();
        let new = choose_replica(&after, &request(Some(*program), 1), 1).unwrap();
        before.get_fact(old) != after.get_fact(new)
    });
    let moved = moved.count();
    assert!((50..=150).contains(&moved), "{moved} of 900 programs moved");
}

#[test]
fn draining_replica_gets_nothing() {
    let mut table = table(2);
    let mut leaving = fact(0, "model");
    leaving.is_draining = true;
    table.replace(vec![leaving, fact(1, "model")]);
    for draw in 0..100_u64 {
        let key = choose_replica(&table, &request(Some(draw), draw), 1).unwrap();
        assert_eq!(table.get_fact(key).unwrap().id, "replica-1");
    }
}

#[test]
fn failing_replica_pauses_and_comes_back() {
    let mut table = table(2);
    let failing = table.get_service(b"model")[0];
    for _ in 0..3 {
        table.begin(failing, 0);
        table.finish(failing, CallOutcome::Failed, 100);
    }
    let gets = |table: &ReplicaTable, now_ms| {
        (0..100_u64).any(|program| {
            choose_replica(table, &request(Some(program), 1), now_ms) == Some(failing)
        })
    };
    assert!(!gets(&table, 200));
    assert!(gets(&table, 10_000));
}

#[test]
fn last_replica_is_used_although_it_paused() {
    let mut table = table(1);
    let only = table.get_service(b"model")[0];
    for _ in 0..5 {
        table.begin(only, 0);
        table.finish(only, CallOutcome::Failed, 100);
    }
    assert_eq!(choose_replica(&table, &request(None, 7), 101), Some(only));
}

#[test]
fn less_loaded_of_two_replicas_is_taken() {
    let mut table = table(2);
    let keys = table.get_service(b"model").to_vec();
    let full = ReplicaLoad {
        running: SLOTS,
        waiting: 3,
        slots: SLOTS,
    };
    table.record_load(keys[0], full, 1);
    // The draw names both replicas.
    let key = choose_replica(&table, &request(None, 1 << 32), 2);
    assert_eq!(key, Some(keys[1]));
}

#[test]
fn replica_that_starts_again_under_its_name_is_a_new_one() {
    let mut table = table(1);
    let old = table.get_service(b"model")[0];
    let mut again = fact(0, "model");
    again.started_ms = 2;
    let changes = table.replace(vec![again]);
    assert_eq!(changes.added.len(), 1);
    assert_eq!(changes.removed.len(), 1);
    assert!(table.get_fact(old).is_none());
}

/// Turns of programs over many VMs, played in steps of simulated time.
struct TurnLoad {
    vms: Vec<ReplicaTable>,
    /// Requests at each replica.
    at_replica: HashMap<Bytes, u32>,
    /// Ends of running turns with their VM and replica.
    running: Vec<(u64, usize, ReplicaKey)>,
    turns: u32,
    waiting: u32,
}

const VMS: u64 = 59;
const REPLICAS: u16 = 72;
const PROGRAMS: u64 = 950;
const TURN_MS: u64 = 400;
const STEP_MS: u64 = 10;
const ROUND_MS: u64 = 250;

impl TurnLoad {
    /// Plays programs whose turns follow each other, each at another VM.
    fn play(tells: bool) -> Self {
        let mut load = Self {
            vms: (0..VMS).map(|_| table(REPLICAS)).collect(),
            at_replica: HashMap::new(),
            running: Vec::new(),
            turns: 0,
            waiting: 0,
        };
        let mut next_ms: Vec<u64> = (0..PROGRAMS).map(|program| program % TURN_MS).collect();
        for now_ms in (0..4_000).step_by(10) {
            load.end_turns(now_ms);
            if tells && now_ms % ROUND_MS < STEP_MS {
                load.tell(now_ms);
            }
            for program in 0..PROGRAMS {
                let due_ms = &mut next_ms[usize::try_from(program).unwrap()];
                if *due_ms <= now_ms {
                    *due_ms = now_ms + TURN_MS + 20;
                    load.begin_turn(program, now_ms);
                }
            }
        }
        load
    }

    fn begin_turn(&mut self, program: u64, now_ms: u64) {
        let draw = program.wrapping_mul(31).wrapping_add(now_ms / STEP_MS);
        let draw = draw.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let vm = usize::try_from((draw >> 32) % VMS).unwrap();
        let table = &mut self.vms[vm];
        let key = choose_replica(table, &request(Some(program), draw), now_ms).unwrap();
        table.begin(key, 0);
        let id = table.get_fact(key).unwrap().id.clone();
        let count = self.at_replica.entry(id).or_default();
        *count += 1;
        self.turns += 1;
        self.waiting += u32::from(*count > SLOTS);
        self.running.push((now_ms + TURN_MS, vm, key));
    }

    fn end_turns(&mut self, now_ms: u64) {
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(end_ms, ..)| *end_ms <= now_ms);
        self.running = running;
        for (_, vm, key) in ended {
            let id = self.vms[vm].get_fact(key).unwrap().id.clone();
            *self.at_replica.get_mut(&id).unwrap() -= 1;
            self.vms[vm].finish(key, CallOutcome::Answered, now_ms);
        }
    }

    fn tell(&mut self, now_ms: u64) {
        let told: Vec<_> = self.vms.iter().map(ReplicaTable::flights).collect();
        for (vm, table) in self.vms.iter_mut().enumerate() {
            for (other, counts) in told.iter().enumerate().filter(|(other, _)| *other != vm) {
                table.record_flights(other as u64, counts.clone(), now_ms);
            }
        }
    }
}

/// A VM of 59 rarely gets an answer of one of 72 engines, so that it did not see which
/// were full.
#[test]
fn turns_of_many_vms_seldom_wait_at_an_engine() {
    let alone = TurnLoad::play(false);
    let told = TurnLoad::play(true);
    let per_mille = |load: &TurnLoad| 1_000 * load.waiting / load.turns;
    insta::assert_debug_snapshot!((per_mille(&alone), per_mille(&told)), @r"
    (
        147,
        89,
    )
    ");
}
