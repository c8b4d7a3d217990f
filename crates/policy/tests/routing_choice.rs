//! Replica selection.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ibisdale_core::TimeStamp;
use ibisdale_policy::{
    CallOutcome, CallReport, LoadReport, RefusalReason, ReplicaKey, ReplicaSet, ReplicaSpec,
    ReplicaStatus, RoutingRequest, RoutingSettings, SessionId, SharedPrefix, choose_replica,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SEED: u64 = 7;

fn replica_set(count: u16) -> (ReplicaSet, Vec<ReplicaKey>) {
    let settings = RoutingSettings {
        sample_count: usize::from(count),
        ..RoutingSettings::default()
    };
    let mut set = ReplicaSet::new(settings);
    let domain = set.domain_key(b"a");
    let keys = (0..count)
        .map(|index| {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + index));
            set.insert(ReplicaSpec::new(address, domain).running_limit(8))
        })
        .collect();
    (set, keys)
}

fn at(millis: u64) -> TimeStamp {
    TimeStamp::from_millis(millis)
}

#[test]
fn leaving_replica_gets_no_new_calls() {
    let (mut set, keys) = replica_set(2);
    let session = SessionId::new(1);
    set.record_cached(keys[0], session, 5_000, at(0));
    set.set_status(keys[0], ReplicaStatus::Leaving);
    let prefix = SharedPrefix {
        session,
        tokens: 5_000,
    };
    let request = RoutingRequest::new()
        .prompt_tokens(5_100)
        .shared_prefix(prefix);
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    for _ in 0..100 {
        let decision = choose_replica(&set, &request, at(1), &mut rng).unwrap();
        assert_eq!(decision.replica, keys[1]);
    }
    set.set_status(keys[1], ReplicaStatus::Leaving);
    let refusal = choose_replica(&set, &request, at(1), &mut rng).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NoReplica);
}

#[test]
fn cached_prefix_is_preferred_until_waiting_costs_more() {
    let (mut set, keys) = replica_set(2);
    let session = SessionId::new(1);
    set.record_cached(keys[0], session, 5_000, at(0));
    let prefix = SharedPrefix {
        session,
        tokens: 5_000,
    };
    let request = RoutingRequest::new()
        .prompt_tokens(5_100)
        .shared_prefix(prefix);
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut report = LoadReport {
        running: 6,
        at: at(1),
        ..LoadReport::default()
    };
    set.record_load(keys[0], report);
    let decision = choose_replica(&set, &request, at(2), &mut rng).unwrap();
    assert_eq!(
        (decision.replica, decision.expected_cached_tokens),
        (keys[0], 5_000)
    );
    report.queue_length = 4;
    report.at = at(2);
    set.record_load(keys[0], report);
    let decision = choose_replica(&set, &request, at(3), &mut rng).unwrap();
    assert_eq!(decision.replica, keys[1]);
}

#[test]
fn failing_replica_is_ejected_and_restored_by_a_probe() {
    let (mut set, keys) = replica_set(2);
    let request = RoutingRequest::new();
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    set.set_status(keys[1], ReplicaStatus::Leaving);
    for _ in 0..3 {
        let decision = choose_replica(&set, &request, at(0), &mut rng).unwrap();
        let call = set.begin_call(&request, &decision, at(0));
        set.finish_call(call, CallReport::new(CallOutcome::Failed), at(0));
    }
    let refusal = choose_replica(&set, &request, at(1), &mut rng).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::AllFailing);
    let later = at(1).plus(refusal.retry_after + Duration::from_millis(1));
    let probe = choose_replica(&set, &request, later, &mut rng).unwrap();
    assert!(probe.is_probe);
    let call = set.begin_call(&request, &probe, later);
    assert!(choose_replica(&set, &request, later, &mut rng).is_err());
    set.finish_call(call, CallReport::new(CallOutcome::Succeeded), later);
    assert!(
        !choose_replica(&set, &request, later, &mut rng)
            .unwrap()
            .is_probe
    );
}

/// A replica without a load report looks idle. If the daemon did not count its own
/// calls in flight, it would send every call there.
#[test]
fn replica_that_looks_idle_does_not_receive_all_calls() {
    let (mut set, keys) = replica_set(10);
    for key in &keys[1..] {
        let report = LoadReport {
            running: 4,
            at: at(1),
            ..LoadReport::default()
        };
        set.record_load(*key, report);
    }
    let request = RoutingRequest::new().prompt_tokens(500);
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    for _ in 0..20 {
        let decision = choose_replica(&set, &request, at(2), &mut rng).unwrap();
        set.begin_call(&request, &decision, at(2));
    }
    assert!(
        set.get_own_in_flight(keys[0]) <= 6,
        "{}",
        set.get_own_in_flight(keys[0])
    );
}

#[test]
fn unreachable_replica_is_ejected_after_one_failure() {
    let (mut set, keys) = replica_set(2);
    let request = RoutingRequest::new();
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    set.set_status(keys[1], ReplicaStatus::Leaving);
    let decision = choose_replica(&set, &request, at(0), &mut rng).unwrap();
    let call = set.begin_call(&request, &decision, at(0));
    set.finish_call(call, CallReport::new(CallOutcome::Unreachable), at(0));
    let refusal = choose_replica(&set, &request, at(1), &mut rng).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::AllFailing);
}

#[test]
fn maximum_load_report_marks_the_replica_busy_without_overflow() {
    let (mut set, keys) = replica_set(2);
    let report = LoadReport {
        queue_length: u32::MAX,
        running: u32::MAX,
        kv_use_permille: u16::MAX,
        at: at(1),
    };
    set.record_load(keys[0], report);
    let request = RoutingRequest::new().prompt_tokens(u32::MAX);
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let decision = choose_replica(&set, &request, at(2), &mut rng).unwrap();
    assert_eq!(decision.replica, keys[1]);
    set.begin_call(&request, &decision, at(2));
}
