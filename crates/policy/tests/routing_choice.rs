//! Choice of a replica.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ibisdale_core::TimeStamp;
use ibisdale_policy::{
    ChoiceRequest, FlightOutcome, FlightReport, LoadReport, PrefixClaim, RefusalReason, ReplicaKey,
    ReplicaSet, ReplicaSpec, ReplicaStatus, RoutingWeights, SessionId, choose,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SEED: u64 = 7;

fn replica_set(count: u16) -> (ReplicaSet, Vec<ReplicaKey>) {
    let weights = RoutingWeights {
        sample_count: usize::from(count),
        ..RoutingWeights::default()
    };
    let mut set = ReplicaSet::new(weights);
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
fn leaving_replica_gets_nothing_new() {
    let (mut set, keys) = replica_set(2);
    let session = SessionId::new(1);
    set.record_cached(keys[0], session, 5_000, at(0));
    set.set_status(keys[0], ReplicaStatus::Leaving);
    let claim = PrefixClaim {
        session,
        tokens: 5_000,
    };
    let request = ChoiceRequest::new().prompt_tokens(5_100).claim(claim);
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    for _ in 0..100 {
        let decision = choose(&set, &request, at(1), &mut random).unwrap();
        assert_eq!(decision.replica, keys[1]);
    }
    set.set_status(keys[1], ReplicaStatus::Leaving);
    let refusal = choose(&set, &request, at(1), &mut random).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NoReplica);
}

#[test]
fn call_stays_with_its_prefix_until_waiting_costs_more() {
    let (mut set, keys) = replica_set(2);
    let session = SessionId::new(1);
    set.record_cached(keys[0], session, 5_000, at(0));
    let claim = PrefixClaim {
        session,
        tokens: 5_000,
    };
    let request = ChoiceRequest::new().prompt_tokens(5_100).claim(claim);
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let mut report = LoadReport {
        running: 6,
        at: at(1),
        ..LoadReport::default()
    };
    set.record_load(keys[0], report);
    let decision = choose(&set, &request, at(2), &mut random).unwrap();
    assert_eq!(
        (decision.replica, decision.expected_cached_tokens),
        (keys[0], 5_000)
    );
    report.queue_length = 4;
    report.at = at(2);
    set.record_load(keys[0], report);
    let decision = choose(&set, &request, at(3), &mut random).unwrap();
    assert_eq!(decision.replica, keys[1]);
}

#[test]
fn failing_replica_is_avoided_and_probed_back() {
    let (mut set, keys) = replica_set(2);
    let request = ChoiceRequest::new();
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    set.set_status(keys[1], ReplicaStatus::Leaving);
    for _ in 0..3 {
        let decision = choose(&set, &request, at(0), &mut random).unwrap();
        let flight = set.begin(&request, &decision, at(0));
        set.finish(flight, FlightReport::new(FlightOutcome::Failed), at(0));
    }
    let refusal = choose(&set, &request, at(1), &mut random).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::AllFailing);
    let later = at(1).plus(refusal.retry_after + Duration::from_millis(1));
    let probe = choose(&set, &request, later, &mut random).unwrap();
    assert!(probe.is_probe);
    let flight = set.begin(&request, &probe, later);
    assert!(choose(&set, &request, later, &mut random).is_err());
    set.finish(flight, FlightReport::new(FlightOutcome::Succeeded), later);
    assert!(!choose(&set, &request, later, &mut random).unwrap().is_probe);
}

#[test]
fn idle_looking_replica_draws_no_herd() {
    let (mut set, keys) = replica_set(10);
    for key in &keys[1..] {
        let report = LoadReport {
            running: 4,
            at: at(1),
            ..LoadReport::default()
        };
        set.record_load(*key, report);
    }
    let request = ChoiceRequest::new().prompt_tokens(500);
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    for _ in 0..20 {
        let decision = choose(&set, &request, at(2), &mut random).unwrap();
        set.begin(&request, &decision, at(2));
    }
    assert!(
        set.get_own_flights(keys[0]) <= 6,
        "{}",
        set.get_own_flights(keys[0])
    );
}

#[test]
fn replica_without_connections_is_avoided_at_once() {
    let (mut set, keys) = replica_set(2);
    let request = ChoiceRequest::new();
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    set.set_status(keys[1], ReplicaStatus::Leaving);
    let decision = choose(&set, &request, at(0), &mut random).unwrap();
    let flight = set.begin(&request, &decision, at(0));
    set.finish(flight, FlightReport::new(FlightOutcome::Unreachable), at(0));
    let refusal = choose(&set, &request, at(1), &mut random).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::AllFailing);
}

#[test]
fn absurd_load_report_only_makes_the_replica_look_busy() {
    let (mut set, keys) = replica_set(2);
    let report = LoadReport {
        queue_length: u32::MAX,
        running: u32::MAX,
        kv_use_permille: u16::MAX,
        at: at(1),
    };
    set.record_load(keys[0], report);
    let request = ChoiceRequest::new().prompt_tokens(u32::MAX);
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let decision = choose(&set, &request, at(2), &mut random).unwrap();
    assert_eq!(decision.replica, keys[1]);
    set.begin(&request, &decision, at(2));
}
