//! Behaviour of the program table that `owner_fuzz` does not cover.

use std::time::Duration;

use ibisdale_core::{
    AttemptKey, ProgramId, RefusalCode, RequestRefusal, SlotId, StepNumber, TimeStamp,
    WorkspaceName,
};
use ibisdale_programs::{
    EngineAddress, HistoryCompleteness, HistoryFault, ProgramLimits, ProgramRecord, ProgramTable,
    StartRequest, StepAdmission, StepKind, StepOutcome, StepRequest, StepTicket, TableOptions,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const NOW: TimeStamp = TimeStamp::from_millis(1_000);
const ENDED_RETENTION: Duration = Duration::from_mins(10);

fn slot() -> SlotId {
    SlotId::new(9).expect("valid slot")
}

fn program(number: u64) -> ProgramId {
    ProgramId::generate(slot(), &mut SmallRng::seed_from_u64(number))
}

fn workspace(name: &'static str) -> WorkspaceName {
    WorkspaceName::new(name).expect("valid name")
}

fn engine() -> EngineAddress {
    EngineAddress::new("10.0.0.1:80")
}

fn table(epoch: u64) -> ProgramTable {
    let mut table = ProgramTable::new(TableOptions::default().ended_retention(ENDED_RETENTION));
    table.acquire_slot(slot(), epoch);
    table
}

fn open_table() -> ProgramTable {
    let mut table = table(1);
    table.open_slot(slot(), HistoryCompleteness::Whole);
    let start = StartRequest::new(program(1), workspace("own"), "planner");
    table.start(start, NOW).expect("program starts");
    table
}

fn request(step: u32, is_paid: bool) -> StepRequest {
    let attempt = AttemptKey::new("a").expect("valid key");
    let kind = StepKind::Call {
        idempotent: !is_paid,
    };
    let step = StepNumber::new(step);
    StepRequest::new(program(1), workspace("own"), step, attempt, kind, "order")
}

fn admit(table: &mut ProgramTable, step: u32, is_paid: bool) -> StepTicket {
    match table.admit_step(request(step, is_paid), NOW) {
        Ok(StepAdmission::Run(ticket)) => ticket,
        other => panic!("the step was not admitted: {other:?}"),
    }
}

fn completed() -> StepOutcome {
    StepOutcome::Completed {
        answer: "booked".into(),
        tokens_used: 0,
    }
}

fn describe(refusal: &RequestRefusal) -> String {
    let code = refusal.get_code().as_str();
    format!(
        "{code} {:?} {:?}",
        refusal.get_run_state(),
        refusal.get_retry_after()
    )
}

fn refused(table: &mut ProgramTable, request: StepRequest) -> String {
    let result = table.admit_step(request, NOW);
    describe(&result.expect_err("the step is refused"))
}

/// Guards against a refusal with run state `NotRun` although another owner may
/// have run the attempt. The cases are: the slot is not owned, not open or its
/// histories are incomplete; the program is unknown or its history is lost.
#[test]
fn refusals_without_the_history_leave_the_run_state_unknown() {
    let mut table = ProgramTable::default();
    let mut found = vec![refused(&mut table, request(1, true))];
    table.acquire_slot(slot(), 2);
    found.push(refused(&mut table, request(1, true)));
    table.open_slot(slot(), HistoryCompleteness::Incomplete);
    found.push(refused(&mut table, request(1, true)));
    table.open_slot(slot(), HistoryCompleteness::Whole);
    found.push(refused(&mut table, request(1, true)));
    table.mark_history_lost(program(1));
    found.push(refused(&mut table, request(1, true)));
    insta::assert_snapshot!(found.join("\n"), @r"
    owner_unavailable Unknown Some(500ms)
    owner_unavailable Unknown Some(500ms)
    history_lost Unknown None
    unknown_program Unknown None
    history_lost Unknown None
    ");
}

#[rstest]
#[case::own_workspace("own", true)]
#[case::other_workspace("other", false)]
fn caller_can_import_a_history_of_its_own_workspace_only(
    #[case] name: &'static str,
    #[case] is_accepted: bool,
) {
    let mut old = open_table();
    let ticket = admit(&mut old, 1, true);
    old.finish_step(ticket, completed(), NOW)
        .expect("owned slot");
    let records = old.export(program(1)).expect("known program");
    let mut new = table(2);
    new.open_slot(slot(), HistoryCompleteness::Incomplete);
    let imported = new.import_from_caller(&workspace(name), &records, NOW);
    assert_eq!(imported.is_ok(), is_accepted);
    let answer = new.admit_step(request(1, true), NOW);
    assert_eq!(
        matches!(answer, Ok(StepAdmission::Recorded(_))),
        is_accepted
    );
}

#[rstest]
#[case::missing_record(|records: &mut Vec<ProgramRecord>| { records.remove(1); })]
#[case::missing_start(|records: &mut Vec<ProgramRecord>| { records.remove(0); })]
#[case::duplicate_record(|records: &mut Vec<ProgramRecord>| records.insert(2, records[1].clone()))]
#[case::record_of_other_program(|records: &mut Vec<ProgramRecord>| records[2].root = program(2))]
#[case::epoch_above_owner(|records: &mut Vec<ProgramRecord>| records[2].epoch = 9)]
#[case::decreasing_epoch(|records: &mut Vec<ProgramRecord>| records[2].epoch = 0)]
#[case::swapped_events(|records: &mut Vec<ProgramRecord>| {
    let event = records[3].event.clone();
    records[3].event = records[2].event.clone();
    records[2].event = event;
})]
fn invalid_history_is_refused_and_leaves_no_program(#[case] corrupt: fn(&mut Vec<ProgramRecord>)) {
    let mut old = open_table();
    old.record_session(program(1), engine())
        .expect("known program");
    let ticket = admit(&mut old, 1, true);
    old.finish_step(ticket, completed(), NOW)
        .expect("owned slot");
    let records = old.export(program(1)).expect("known program");
    let mut corrupted = records.clone();
    corrupt(&mut corrupted);
    let mut new = table(2);
    let error = new
        .import(&corrupted, |_| StepOutcome::Unknown, NOW)
        .expect_err("corrupted history");
    assert!(
        !matches!(error.fault, HistoryFault::NotImportable { .. }),
        "{error}"
    );
    assert_eq!(new.all_programs(), []);
    new.import(&records, |_| StepOutcome::Unknown, NOW)
        .expect("the intact history is accepted");
}

#[test]
fn finishing_a_step_of_a_released_slot_is_refused() {
    let mut table = open_table();
    let ticket = admit(&mut table, 1, true);
    let Ok(StepAdmission::Join(joined)) = table.admit_step(request(1, true), NOW) else {
        panic!("a repeat did not join the running attempt");
    };
    let lost = table.release_slot(slot());
    assert_eq!(
        (lost.programs, lost.running),
        (vec![program(1)], vec![ticket.get_run()])
    );
    assert_eq!(lost.woken[0].key, joined);
    let refusal = table
        .finish_step(ticket, completed(), NOW)
        .expect_err("released slot");
    insta::assert_snapshot!(describe(&refusal), @"owner_unavailable Unknown Some(500ms)");
}

#[test]
fn ended_program_answers_repeats_until_it_is_removed() {
    let mut table = open_table();
    table
        .record_session(program(1), engine())
        .expect("known program");
    let ticket = admit(&mut table, 1, true);
    table
        .finish_step(ticket, completed(), NOW)
        .expect("owned slot");
    table
        .end(program(1), &workspace("own"), NOW)
        .expect("no step is running");
    let repeat = table.admit_step(request(1, true), NOW);
    assert!(matches!(repeat, Ok(StepAdmission::Recorded(_))));
    insta::assert_snapshot!(refused(&mut table, request(2, true)), @"program_ended NotRun None");

    let later = NOW.plus(ENDED_RETENTION);
    assert_eq!(
        table.expire(later).expect("owned slot").removed,
        [],
        "its session is not released"
    );
    let (key, _) = table.cleanup_requests().next().expect("clean-up request");
    assert!(table.confirm_cleanup(key).expect("owned slot").is_some());
    let dropped = table
        .expire(later.plus(ENDED_RETENTION))
        .expect("owned slot")
        .removed;
    assert_eq!(dropped, [program(1)]);
    assert_eq!(table.export(program(1)), None);
    assert_eq!(table.next_expiry(), None);
}

/// Guards against releasing the sessions of a running program that this table
/// does not know because its history was not read.
#[rstest]
#[case::whole(HistoryCompleteness::Whole, 2)]
#[case::incomplete(HistoryCompleteness::Incomplete, 0)]
fn sweep_releases_orphaned_sessions_only_if_all_histories_are_read(
    #[case] history: HistoryCompleteness,
    #[case] expected: usize,
) {
    let mut table = open_table();
    table.open_slot(slot(), history);
    let other = ProgramId::generate(
        SlotId::new(1).expect("valid slot"),
        &mut SmallRng::seed_from_u64(1),
    );
    let held = [program(1), program(2), program(3), other];
    assert_eq!(table.queue_orphan_cleanups(&engine(), &held), expected);
    assert_eq!(
        table.queue_orphan_cleanups(&engine(), &held),
        0,
        "a second call adds no duplicate requests"
    );
}

/// Guards against an endless loop in `expire`: with a timeout or retention of
/// zero, a timer that was set again was due at once.
#[test]
fn zero_timeouts_end_programs_without_an_endless_timer_loop() {
    let options = TableOptions::default()
        .idle_timeout(Duration::ZERO)
        .ended_retention(Duration::ZERO);
    let mut table = ProgramTable::new(options);
    table.acquire_slot(slot(), 1);
    table.open_slot(slot(), HistoryCompleteness::Whole);
    let start = StartRequest::new(program(1), workspace("own"), "planner");
    table.start(start, NOW).expect("program starts");
    table
        .record_session(program(1), engine())
        .expect("known program");
    let ticket = admit(&mut table, 1, false);
    assert_eq!(
        table.expire(NOW).expect("owned slot").ended.len(),
        0,
        "a step is running"
    );
    table
        .finish_step(ticket, completed(), NOW)
        .expect("owned slot");
    let later = NOW.plus(Duration::from_millis(1));
    assert_eq!(table.expire(later).expect("owned slot").ended.len(), 1);
    assert!(
        table.next_expiry().is_some_and(|next| next > later),
        "its session is not released"
    );
}

/// Guards against ending a program at its step limit although the running step
/// was later reported as not run, so that the limit is no longer reached.
#[test]
fn step_that_did_not_run_cancels_a_pending_end_at_the_step_limit() {
    let mut table = table(1);
    table.open_slot(slot(), HistoryCompleteness::Whole);
    let limits = ProgramLimits {
        steps: Some(2),
        wall_clock_ms: None,
    };
    let root = StartRequest::new(program(1), workspace("own"), "planner").limits(limits);
    table.start(root, NOW).expect("program starts");
    let child = StartRequest::new(program(2), workspace("own"), "planner").parent(program(1));
    table.start(child, NOW).expect("program starts");
    let attempt = AttemptKey::new("a").expect("valid key");
    let kind = StepKind::Call { idempotent: true };
    let step = StepRequest::new(
        program(2),
        workspace("own"),
        StepNumber::FIRST,
        attempt,
        kind,
        "",
    );
    let Ok(StepAdmission::Run(ticket)) = table.admit_step(step, NOW) else {
        panic!("the sub-agent's step was not admitted");
    };
    insta::assert_snapshot!(refused(&mut table, request(1, false)), @"limit_reached NotRun None");
    let refusal = RequestRefusal::new(RefusalCode::NoUpstream, "none");
    table
        .finish_step(ticket, StepOutcome::Failed { refusal }, NOW)
        .expect("owned slot");
    assert_eq!(table.expire(NOW).expect("owned slot").ended.len(), 0);
    assert_eq!(admit(&mut table, 1, false).get_step(), StepNumber::FIRST);
}
