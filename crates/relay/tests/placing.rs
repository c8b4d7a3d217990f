//! Choice of replicas under the loads that it answers.

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
