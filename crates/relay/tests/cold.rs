//! Cold replicas: until when they are cold, and the rate at which requests to them are granted.

use bytes::Bytes;
use ibisdale_relay::decide::{
    COLD_GRANT_MAX_AGE_MS, ColdReport, ColdRule, ColdTable, ColdTolerance, GrantCandidate,
    GrantLedger, GrantOutcome, GrantQuery, GrantShare, ReplicaInfo, hash_bytes,
};
use rstest::rstest;

const TOLERANCE: ColdTolerance = ColdTolerance {
    excess: 1.5,
    slack: 5.0,
};
const RULE: ColdRule = ColdRule {
    cold_time_ms: 8_000,
    granted_per_s: 16.0,
};

const WHOLE: GrantShare = GrantShare {
    rank: 0,
    vm_count: 8,
    silent_count: 0,
    returned_count: 0,
    is_settled: true,
};

fn replica(service: &'static str, cold_left_ms: u64) -> ReplicaInfo {
    ReplicaInfo {
        id: Bytes::from_static(b"r"),
        started_ms: 1,
        service: Bytes::from_static(service.as_bytes()),
        address: ([127, 0, 0, 1], 1_000).into(),
        domain: Bytes::from_static(b"east"),
        software_version: Bytes::from_static(b"v1"),
        slots: 4,
        is_draining: false,
        cold_left_ms,
    }
}

fn table() -> ColdTable {
    let mut table = ColdTable::default();
    table.set_rules([(hash_bytes(b"s"), RULE)].into_iter());
    table
}

fn left_ms(table: &ColdTable, now_ms: u64) -> u64 {
    let report = table.report(replica("s", 0).start_key(), now_ms);
    report.map_or(0, |report| report.left_ms)
}

/// Guards against entries that are listed again and make a replica cold a second time, and
/// against changes that are missed.
#[test]
fn only_a_new_remaining_time_in_an_entry_makes_a_replica_cold() {
    let mut table = table();
    let entries = [
        (0, 10),
        (5_000, 20),
        (5_000, 3_020),
        (0, 3_020),
        (4_000, 9_000),
    ];
    let left = entries.map(|(cold_left_ms, now_ms)| {
        table.record_entry(&replica("s", cold_left_ms), now_ms);
        left_ms(&table, now_ms)
    });
    assert_eq!(left, [0, 5_000, 2_000, 2_000, 4_000]);
    assert_eq!(left_ms(&table, 13_000), 0);
}

/// Guards against responses that overtake each other and end a cold time early.
#[test]
fn response_shortens_the_time_only_if_its_request_was_sent_later() {
    let mut table = table();
    let responses = [
        (3_000, Some(5), 10),
        (0, Some(10), 20),
        (0, None, 30),
        (1_000, Some(11), 40),
        (0, Some(41), 50),
    ];
    let left = responses.map(|(stated_ms, sent_ms, now_ms)| {
        table.record_response(&replica("s", 0), stated_ms, sent_ms, now_ms);
        left_ms(&table, now_ms)
    });
    assert_eq!(left, [3_000, 2_990, 2_980, 1_000, 0]);
}

/// Guards against a return that is taken for warm since the entry is older than it.
#[test]
fn replicas_of_a_returned_domain_are_cold_for_the_time_of_their_service() {
    let mut table = table();
    table.record_entry(&replica("s", 1_000), 10);
    let returned = [replica("s", 1_000), replica("other", 0)];
    assert_eq!(table.record_return(returned.iter(), 500), 1);
    assert_eq!(left_ms(&table, 500), 8_000);
}

/// Guards against overflow, and against limits in services that have none.
#[test]
fn huge_times_are_cut_and_services_without_a_rule_are_not_limited() {
    let mut table = table();
    table.record_entry(&replica("s", u64::MAX), 10);
    assert_eq!(left_ms(&table, 10), 600_000);
    let report = ColdReport {
        start: 9,
        service: hash_bytes(b"other"),
        left_ms: 1_000,
    };
    assert!(!table.merge(&report, 10));
    assert_eq!(table.limit(9, 11), None);
    assert_eq!(table.count(11), 1);
}

/// Guards against rates that are not numbers or exceed what a replica tolerates.
#[test]
fn granted_rate_follows_from_the_bound() {
    let bounds = [(2.0, 1.5, 5.0), (17.0, 1.5, 1e300), (1.0, 1.0, 0.0)];
    let invalid = [(17.0, f64::NAN, 5.0), (17.0, -1.0, 0.0)];
    let granted = bounds
        .into_iter()
        .chain(invalid)
        .map(|(per_s, excess, slack)| {
            let tolerance = ColdTolerance { excess, slack };
            tolerance.granted_per_s(per_s).to_string()
        });
    assert_eq!(granted.collect::<Vec<_>>(), ["2", "17", "0", "0", "0"]);
}

fn cold_candidate(per_s: f64) -> GrantCandidate {
    GrantCandidate {
        start: 1,
        per_s: Some(per_s),
        is_cold: true,
    }
}

fn query(candidates: &[GrantCandidate]) -> GrantQuery<'_> {
    GrantQuery {
        service: 1,
        affinity: None,
        work: 0,
        candidates,
        is_refusal_final: false,
    }
}

/// Guards against two first homes that grant the whole rate while VMs differ in who is the home:
/// after a VM has joined or fallen silent, and after one half has heard the other one again.
#[test]
fn home_grants_a_part_until_it_is_settled() {
    let unsettled = GrantShare {
        is_settled: false,
        ..WHOLE
    };
    let half_silent = GrantShare {
        silent_count: 4,
        ..WHOLE
    };
    let half_returned = GrantShare {
        returned_count: 4,
        ..WHOLE
    };
    let candidates = [cold_candidate(16.0)];
    let granted = [WHOLE, unsettled, half_silent, half_returned].map(|share| {
        let mut ledger = GrantLedger::default();
        let outcomes = (0..10_000).map(|now_ms| ledger.grant(&query(&candidates), share, now_ms));
        let granted = outcomes.filter(|outcome| matches!(outcome, GrantOutcome::Granted(_)));
        granted.count()
    });
    // Of one replica, in 10 s.
    assert_eq!(granted, [158, 39, 39, 39]);
}

/// Guards against homes of three ranks whose grants, used at the end of their validity or at
/// once, exceed the bound of a second together.
#[rstest]
fn homes_of_all_ranks_together_keep_the_bound(#[values(1.0, 2.0, 5.0, 17.0, 200.0)] per_s: f64) {
    let mut ledgers: [GrantLedger; 3] = Default::default();
    let per_s_granted = TOLERANCE.granted_per_s(per_s);
    let candidates = [cold_candidate(per_s_granted)];
    let query = query(&candidates);
    let mut granted_ms = Vec::new();
    // The homes grant nothing for 2 s, so that they have retained what they may.
    for now_ms in (0..10).chain(2_000..6_000) {
        for (rank, ledger) in ledgers.iter_mut().enumerate() {
            let share = GrantShare { rank, ..WHOLE };
            while matches!(
                ledger.grant(&query, share, now_ms),
                GrantOutcome::Granted(_)
            ) {
                granted_ms.push(now_ms);
            }
        }
    }
    let period_ms = 1_000 + COLD_GRANT_MAX_AGE_MS + 50;
    let worst = granted_ms.iter().enumerate().map(|(index, start_ms)| {
        granted_ms[index..].partition_point(|at_ms| *at_ms < start_ms + period_ms)
    });
    let worst = f64::from(u32::try_from(worst.max().unwrap()).unwrap());
    let bound = per_s * TOLERANCE.excess + TOLERANCE.slack;
    assert!(worst <= bound, "{worst} requests, bound {bound}");
    assert!(
        worst >= per_s,
        "{worst} requests of {per_s} that are tolerated"
    );
}
