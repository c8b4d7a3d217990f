//! Where streams that callers take up may go on.

use std::time::Duration;

use bytes::Bytes;
use ibisdale_relay::decide::{
    FleetContact, MemberFacts, MemberTable, OriginTable, ReplicaInfo, StreamOrigin, VersionHistory,
    decide_origin, hash_bytes,
};
use ibisdale_relay::plan::{ExecutionSemantics, RouteRule, WeightedService};
use rstest::rstest;

/// Time for which a stream can be taken up, in milliseconds.
const WINDOW_MS: u64 = 12_000;
/// Number of other VMs that a VM tells where a stream began.
const COPIES: usize = 3;
/// Number of other VMs that a VM asks where a stream began.
const LOOKUPS: usize = 4;

fn replica(service: &'static str, version: &'static str, is_draining: bool) -> ReplicaInfo {
    ReplicaInfo {
        id: Bytes::from(format!("{service}-{version}")),
        started_ms: 1,
        service: Bytes::from(service),
        address: ([127, 0, 0, 1], 1_000).into(),
        domain: Bytes::from_static(b"east"),
        software_version: Bytes::from(version),
        slots: 4,
        is_draining,
        cold_left_ms: 0,
    }
}

fn origin(service: &'static str, version: &'static str) -> StreamOrigin {
    StreamOrigin {
        service: Bytes::from(service),
        software_version: Bytes::from(version),
    }
}

fn route(services: &[&'static str]) -> RouteRule {
    RouteRule {
        name: Bytes::from_static(b"route"),
        host: Bytes::from_static(b"host.test"),
        path_prefix: Bytes::from_static(b"/"),
        kind: ExecutionSemantics::StreamResumable,
        timeout_ms: 6_000,
        slo_ms: 200,
        attempts: 1,
        priority: 1,
        retention_ms: 60_000,
        keeps_turns: false,
        is_sticky: false,
        is_open: false,
        services: services
            .iter()
            .map(|service| WeightedService {
                service: Bytes::from(*service),
                weight: 1,
            })
            .collect(),
    }
}

#[test]
fn sole_version_is_known_only_while_no_other_can_have_begun_a_stream() {
    let mut history = VersionHistory::default();
    let mut told = Vec::new();
    let mut tell = |history: &VersionHistory, now_ms: u64| {
        let version = history.sole_version(b"model", WINDOW_MS, now_ms);
        told.push((now_ms, version.cloned()));
    };
    tell(&history, 1);
    history.record_list([replica("model", "v1", false)].iter(), 1_000);
    tell(&history, 12_999);
    tell(&history, 13_000);
    let both = [replica("model", "v1", false), replica("model", "v2", false)];
    history.record_list(both.iter(), 20_000);
    tell(&history, 20_001);
    // A draining replica may still be sending a stream that began there.
    let leaving = [replica("model", "v1", true), replica("model", "v2", false)];
    history.record_list(leaving.iter(), 30_000);
    history.record_list([replica("model", "v2", false)].iter(), 32_000);
    history.expire(WINDOW_MS, 43_999);
    tell(&history, 43_999);
    tell(&history, 44_000);
    // The version comes back before it has been forgotten.
    history.record_list([replica("other", "v1", false)].iter(), 45_000);
    tell(&history, 45_001);
    insta::assert_debug_snapshot!(told);
}

#[test]
fn history_is_complete_from_the_first_start_of_the_system() {
    let mut history = VersionHistory::complete();
    history.record_list([replica("model", "v1", false)].iter(), 500);
    let version = history.sole_version(b"model", WINDOW_MS, 501);
    assert_eq!(version, Some(&Bytes::from_static(b"v1")));
}

#[test]
fn recorded_versions_count_after_a_restart_like_listed_ones() {
    let mut history = VersionHistory::default();
    history.record_list([replica("model", "v1", false)].iter(), 100);
    assert_eq!(history.possible_origins(WINDOW_MS, 101), None);
    history.restore(vec![origin("model", "v1"), origin("model", "v0")], 200);
    let sole = |now_ms| history.sole_version(b"model", WINDOW_MS, now_ms).cloned();
    // A stream that began at v0 before the restart can be taken up until the window ends.
    assert_eq!((sole(201), sole(12_199)), (None, None));
    assert_eq!(sole(12_200), Some(Bytes::from_static(b"v1")));
    let possible = |now_ms| history.possible_origins(WINDOW_MS, now_ms);
    let both = vec![origin("model", "v0"), origin("model", "v1")];
    assert_eq!(possible(201), Some(both));
    assert_eq!(possible(12_200), Some(vec![origin("model", "v1")]));
}

#[test]
fn stream_goes_on_only_where_its_first_events_fit() {
    let mut history = VersionHistory::complete();
    let listed = [
        replica("model", "v1", false),
        replica("model", "v2", false),
        replica("other", "v1", false),
    ];
    history.record_list(listed.iter(), 0);
    let known = Some(origin("model", "v2"));
    let cases: [(&[&'static str], Option<StreamOrigin>); 7] = [
        (&["model"], known.clone()),
        (&["other", "model"], known.clone()),
        (&["other"], known),
        (&["model"], None),
        (&["other"], None),
        (&["other", "model"], None),
        (&["missing"], None),
    ];
    let decided = cases.map(|(services, known)| {
        let was_known = known.is_some();
        let decided = decide_origin(&route(services), known, &history, Some(&[]), WINDOW_MS, 1);
        (services, was_known, decided)
    });
    insta::assert_debug_snapshot!(decided);
}

#[test]
fn first_record_of_an_attempt_stays_until_it_expires() {
    let mut origins = OriginTable::default();
    origins.record(7, origin("model", "v1"), 100);
    origins.record(7, origin("model", "v2"), 200);
    origins.record(8, origin("model", "v2"), 9_000);
    assert_eq!(origins.get(7), Some(&origin("model", "v1")));
    origins.expire(WINDOW_MS, 12_100);
    assert_eq!(origins.len(), 2);
    origins.expire(WINDOW_MS, 12_101);
    assert_eq!((origins.get(7), origins.len()), (None, 1));
}

#[test]
fn number_of_recorded_origins_is_bounded() {
    let mut origins = OriginTable::default();
    for attempt in 0..50_000 {
        origins.record(attempt, origin("model", "v1"), 1);
    }
    assert_eq!(origins.len(), 20_000);
    assert!(origins.get(0).is_none() && origins.get(49_999).is_some());
}

fn facts(vm: usize) -> MemberFacts {
    MemberFacts {
        name: Bytes::from(format!("vm-{vm}")),
        incarnation: 1,
        ip: [10, 0, 0, 1].into(),
        peer_port: 7_000,
        entry_port: 80,
        domain: Bytes::from_static(b"east"),
        region: Bytes::from_static(b"north"),
        is_serving: true,
    }
}

/// Returns the share of streams whose origin the VM that takes them up finds, after the
/// first `killed` of `vms` VMs have stopped, among them the one that began the stream.
fn share_found(vms: usize, killed: usize) -> f64 {
    let tables: Vec<MemberTable> = (0..vms)
        .map(|own| {
            let mut table = MemberTable::default();
            for vm in (0..vms).filter(|vm| *vm != own) {
                table.record_heartbeat(facts(vm), 1);
            }
            table
        })
        .collect();
    let names = |own: usize, attempt: u64, limit: usize| -> Vec<Bytes> {
        let homes = tables[own].home_candidates(facts(own).key(), attempt, 1, limit);
        homes.into_iter().map(|facts| facts.name).collect()
    };
    let stopped: Vec<Bytes> = (0..killed).map(|vm| facts(vm).name).collect();
    let streams = 500;
    let found = (0..streams).filter(|stream| {
        let attempt = hash_bytes(format!("attempt-{stream}").as_bytes());
        let told = names(stream % killed, attempt, COPIES);
        let next = killed + stream % (vms - killed);
        let asked = names(next, attempt, LOOKUPS);
        let is_told = |name: &Bytes| told.contains(name) && !stopped.contains(name);
        is_told(&facts(next).name) || asked.iter().any(is_told)
    });
    #[expect(clippy::cast_precision_loss, reason = "a few hundred streams")]
    let share = found.count() as f64 / streams as f64;
    share
}

#[test]
fn origins_are_found_after_the_loss_of_one_vm_and_mostly_after_that_of_many() {
    for vms in [7, 54, 300] {
        assert!((share_found(vms, 1) - 1.0).abs() < f64::EPSILON, "{vms}");
        let after_many = share_found(vms, vms * 55 / 100);
        assert!(after_many > 0.75, "{vms}: {after_many}");
    }
}

#[rstest]
#[case::confirmed_lately(Some(1_000), None, 3, true)]
#[case::cut_off_from_all(Some(5_000), None, 6, false)]
#[case::outage_of_the_service(Some(5_000), None, 1, true)]
#[case::never_confirmed(None, None, 6, false)]
#[case::just_resumed(Some(5_000), Some(20), 0, false)]
#[case::resumed_and_others_heard(Some(5_000), Some(1_600), 0, true)]
#[case::resumed_and_confirmed(Some(100), Some(20), 0, true)]
fn list_of_a_vm_that_was_suspended_or_cut_off_is_not_taken_for_current(
    #[case] feed_age_ms: Option<u64>,
    #[case] since_resume_ms: Option<u64>,
    #[case] silent: usize,
    #[case] expected: bool,
) {
    let contact = FleetContact {
        feed_age: feed_age_ms.map(Duration::from_millis),
        since_resume: since_resume_ms.map(Duration::from_millis),
        known: 6,
        silent,
    };
    assert_eq!(contact.has_current_list(), expected);
}
