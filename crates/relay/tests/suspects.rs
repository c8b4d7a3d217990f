//! Requests that may have ended replicas, and permits for their runs.

use ibisdale_relay::decide::{
    CRASHES_MAX, RETENTION_MS, RequestIdentity, RunDecision, RunLedger, RunQuery, SuspectTable,
};
use rstest::rstest;

fn identity(body: &[u8]) -> RequestIdentity {
    RequestIdentity::new(b"/path", Some(b"caller"), body)
}

/// Records crashes of different replicas, each of a copy that was sent after the one before.
fn crash(table: &mut SuspectTable, request: &RequestIdentity, times_ms: &[u64]) {
    for time_ms in times_ms {
        table.record_crash(request, time_ms - 1, *time_ms, *time_ms);
    }
}

#[rstest]
#[case::path(b"/path2", Some(b"caller" as &[u8]), b"body")]
#[case::caller(b"/path", Some(b"caller2" as &[u8]), b"body")]
#[case::no_caller(b"/path", None, b"body")]
#[case::body(b"/path", Some(b"caller" as &[u8]), b"bodz")]
#[case::other_parts(b"/pathc", Some(b"aller" as &[u8]), b"body")]
fn identity_depends_on_path_caller_and_body(
    #[case] target: &[u8],
    #[case] caller: Option<&[u8]>,
    #[case] body: &[u8],
) {
    let other = RequestIdentity::new(target, caller, body);
    assert_ne!(other, identity(b"body"));
    assert_eq!(identity(b"body"), identity(b"body"));
}

#[test]
fn request_whose_body_has_grown_shares_its_heads() {
    let body = [7; 5_000];
    let (short, long) = (identity(&body[..2_000]), identity(&body));
    assert_eq!(short.heads(), &long.heads()[1..]);
    assert_ne!(short.full(), long.full());
    assert_eq!(identity(&body[..256]).heads(), []);
}

#[test]
fn request_is_condemned_after_three_crashes() {
    let (mut table, request) = (SuspectTable::default(), identity(b"body"));
    let crashes = [10, 20, 30, 40].map(|time_ms| {
        crash(&mut table, &request, &[time_ms]);
        let standing = table.standing(&request);
        (standing.crashes, standing.condemned.is_some())
    });
    assert_eq!(crashes, [(1, false), (2, false), (3, true), (3, true)]);
    assert_eq!(table.standing(&identity(b"other")).crashes, 0);
}

/// Guards against refusing what was in flight at several replicas of a rack that fails.
#[test]
fn replicas_that_end_at_the_same_time_count_once() {
    let (mut table, request) = (SuspectTable::default(), identity(b""));
    for replica in 1..=5 {
        table.record_crash(&request, 10, replica, 100 + replica);
    }
    assert_eq!(table.standing(&request).crashes, 1);
}

/// Guards against counting a replica twice, as connections to it may outlive it in the pool.
#[test]
fn replica_that_has_ended_counts_once() {
    let (mut table, request) = (SuspectTable::default(), identity(b"body"));
    for time_ms in [10, 20, 30] {
        table.record_crash(&request, time_ms - 1, 7, time_ms);
    }
    assert_eq!(table.standing(&request).crashes, 1);
}

#[test]
fn request_that_was_served_starts_over() {
    let (mut table, request) = (SuspectTable::default(), identity(b"body"));
    crash(&mut table, &request, &[10, 20]);
    table.record_served(&request, 30);
    assert_eq!(table.standing(&request).crashes, 0);
    crash(&mut table, &request, &[40, 50]);
    assert!(table.standing(&request).condemned.is_none());
}

/// Guards against a request that ends replica after replica with a prompt that grows.
#[test]
fn forms_of_a_request_with_the_same_head_count_together() {
    let mut table = SuspectTable::default();
    let body = [7; 9_000];
    let forms = [5_000, 2_000, 9_000].map(|size| identity(&body[..size]));
    for (form, time_ms) in forms.iter().zip([10, 20, 30]) {
        crash(&mut table, form, &[time_ms]);
    }
    // The longest head that all three share is condemned, the shorter one is not.
    let condemned = forms.each_ref().map(|form| table.standing(form).condemned);
    assert_eq!(condemned, [Some(forms[1].heads()[0]); 3]);
    assert!(
        table
            .standing(&identity(&body[..1_000]))
            .condemned
            .is_none()
    );
}

/// Guards against refusing requests that only share their head with one that ends replicas.
#[test]
fn shared_head_whose_requests_bring_events_is_not_condemned() {
    let mut table = SuspectTable::default();
    let mut body = [7; 5_000];
    let deadly = identity(&body);
    body[4_999] = 8;
    let innocent = identity(&body);
    for time_ms in [10, 20, 30] {
        crash(&mut table, &deadly, &[time_ms]);
        table.record_progress(&innocent, time_ms + 5);
    }
    assert_eq!(table.standing(&deadly).condemned, Some(deadly.full()));
    assert_eq!(table.standing(&innocent).crashes, 0);
}

#[test]
fn vms_agree_in_whichever_order_reports_arrive() {
    let (request, other) = (identity(b"body"), identity(b"other"));
    let mut tables = [(); 3].map(|()| SuspectTable::default());
    crash(&mut tables[0], &request, &[10, 20, 30]);
    crash(&mut tables[1], &request, &[15]);
    tables[1].record_served(&request, 18);
    crash(&mut tables[1], &other, &[15]);
    tables[2].merge(&tables[1].reports(18), 18);
    tables[2].record_served(&other, 25);
    let reports = tables.each_ref().map(|table| table.reports(40));
    for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2], [2, 0, 1]] {
        let mut table = SuspectTable::default();
        for sender in order {
            table.merge(&reports[sender], 40);
        }
        let standing = table.standing(&request);
        assert!(standing.condemned.is_some(), "{order:?}");
        assert_eq!(table.standing(&other).crashes, 0, "{order:?}");
    }
}

#[test]
fn condemned_request_may_run_again_later() {
    let (mut table, request) = (SuspectTable::default(), identity(b"body"));
    crash(&mut table, &request, &[10, 20, 30]);
    // A VM that has just started learns of it, with its age.
    let mut restarted = SuspectTable::default();
    restarted.merge(&table.reports(RETENTION_MS), 1);
    let left_ms = 30;
    for (table, now_ms) in [(&mut table, RETENTION_MS), (&mut restarted, 1)] {
        table.expire(now_ms + left_ms - 1);
        assert!(table.standing(&request).condemned.is_some());
        table.expire(now_ms + left_ms);
        assert!(table.is_empty());
    }
}

#[test]
fn full_table_keeps_condemned_requests() {
    let (mut table, request) = (SuspectTable::default(), identity(b"body"));
    crash(&mut table, &request, &[1, 2, 3]);
    for index in 0..10_500_u64 {
        crash(&mut table, &identity(&index.to_le_bytes()), &[index + 10]);
    }
    assert_eq!(table.count(), (9_999, 1));
    assert!(table.standing(&request).condemned.is_some());
}

fn query(table: &SuspectTable, request: &RequestIdentity, start: u64, vm: u64) -> RunQuery {
    RunQuery {
        fingerprint: request.full(),
        history: table.history(request.full()),
        start,
        vm,
        max_ms: 1_000,
    }
}

#[test]
fn suspect_runs_at_one_replica_at_a_time() {
    let (mut table, mut ledger) = (SuspectTable::default(), RunLedger::default());
    let request = identity(b"body");
    crash(&mut table, &request, &[10]);
    let run = |start, vm| query(&table, &request, start, vm);
    let granted = ledger.decide(&run(1, 1), 100);
    let beside = ledger.decide(&run(2, 2), 150);
    ledger.end(request.full(), 2);
    let not_its_own = ledger.decide(&run(2, 2), 160);
    ledger.end(request.full(), 1);
    let after = ledger.decide(&run(2, 2), 170);
    ledger.end_all(2);
    let restarted = ledger.decide(&run(3, 3), 180);
    let expired = ledger.decide(&run(1, 1), 1_180);
    let expected = [
        RunDecision::Granted,
        RunDecision::Busy,
        RunDecision::Busy,
        RunDecision::Granted,
        RunDecision::Granted,
        RunDecision::Granted,
    ];
    let decisions = [granted, beside, not_its_own, after, restarted, expired];
    assert_eq!(decisions, expected);
}

/// Guards against condemning an innocent request that goes on where the deadly one runs next.
#[rstest]
#[case::both_suspected(&[10], &[10], RunDecision::Granted)]
#[case::one_with_two_crashes(&[10, 20], &[10], RunDecision::ReplicaTaken)]
#[case::beside_two_crashes(&[10], &[10, 20], RunDecision::ReplicaTaken)]
fn suspect_with_two_crashes_runs_apart_from_other_suspects(
    #[case] first: &[u64],
    #[case] second: &[u64],
    #[case] expected: RunDecision,
) {
    let (mut table, mut ledger) = (SuspectTable::default(), RunLedger::default());
    let requests = [identity(b"first"), identity(b"second")];
    crash(&mut table, &requests[0], first);
    crash(&mut table, &requests[1], second);
    assert!(table.count().1 == 0 && CRASHES_MAX == 3);
    let granted = ledger.decide(&query(&table, &requests[0], 1, 1), 100);
    assert_eq!(granted, RunDecision::Granted);
    let decision = ledger.decide(&query(&table, &requests[1], 1, 2), 100);
    assert_eq!(decision, expected);
    ledger.end(requests[1].full(), 2);
    let elsewhere = ledger.decide(&query(&table, &requests[1], 2, 2), 100);
    assert_eq!(elsewhere, RunDecision::Granted);
}
