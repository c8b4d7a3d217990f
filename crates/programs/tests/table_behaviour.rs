//! Single behaviours of the program table that the fuzz does not reach.

use std::time::Duration;

use ibisdale_core::{
    AttemptKey, ProgramId, RefusalCode, RequestRefusal, SlotId, StepNumber, TimeStamp,
    WorkspaceName,
};
use ibisdale_programs::{
    EngineAddress, HistoryFault, ProgramLimits, ProgramRecord, ProgramStart, ProgramTable,
    SlotHistory, StepAdmission, StepKind, StepOutcome, StepRequest, StepTicket, TableOptions,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const NOW: TimeStamp = TimeStamp::from_millis(1_000);
const KEEP: Duration = Duration::from_mins(10);

fn slot() -> SlotId {
    SlotId::new(9).expect("a slot")
}

fn program(number: u64) -> ProgramId {
    ProgramId::generate(slot(), &mut SmallRng::seed_from_u64(number))
}

fn workspace(name: &'static str) -> WorkspaceName {
    WorkspaceName::new(name).expect("a name")
}

fn engine() -> EngineAddress {
    EngineAddress::new("10.0.0.1:80")
}

fn table(epoch: u64) -> ProgramTable {
    let mut table = ProgramTable::new(TableOptions::default().ended_retention(KEEP));
    table.acquire_slot(slot(), epoch);
    table
}

fn open_table() -> ProgramTable {
    let mut table = table(1);
    table.open_slot(slot(), SlotHistory::Whole);
    let start = ProgramStart::new(program(1), workspace("own"), "planner");
    table.start(start, NOW).expect("it starts");
    table
}

fn request(step: u32, is_paid: bool) -> StepRequest {
    let attempt = AttemptKey::new("a").expect("a key");
    let kind = StepKind::Call {
        idempotent: !is_paid,
    };
    let step = StepNumber::new(step);
    StepRequest::new(program(1), workspace("own"), step, attempt, kind, "order")
}

fn run(table: &mut ProgramTable, step: u32, is_paid: bool) -> StepTicket {
    match table.admit_step(request(step, is_paid), NOW) {
        Ok(StepAdmission::Run(ticket)) => ticket,
        other => panic!("it runs: {other:?}"),
    }
}

fn completed() -> StepOutcome {
    StepOutcome::Completed {
        answer: "booked".into(),
        tokens_used: 0,
    }
}

fn text(refusal: &RequestRefusal) -> String {
    let code = refusal.get_code().as_str();
    format!(
        "{code} {:?} {:?}",
        refusal.get_run_state(),
        refusal.get_retry_after()
    )
}

fn refused(table: &mut ProgramTable, request: StepRequest) -> String {
    let result = table.admit_step(request, NOW);
    text(&result.expect_err("it is refused"))
}

#[test]
fn without_the_history_nothing_is_said_not_run() {
    let mut table = ProgramTable::default();
    let mut found = vec![refused(&mut table, request(1, true))];
    table.acquire_slot(slot(), 2);
    found.push(refused(&mut table, request(1, true)));
    table.open_slot(slot(), SlotHistory::Incomplete);
    found.push(refused(&mut table, request(1, true)));
    table.open_slot(slot(), SlotHistory::Whole);
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
#[case::own("own", true)]
#[case::foreign("other", false)]
fn a_caller_brings_its_history_back(#[case] name: &'static str, #[case] is_taken: bool) {
    let mut old = open_table();
    let ticket = run(&mut old, 1, true);
    old.finish_step(ticket, completed(), NOW).expect("owned");
    let records = old.export(program(1)).expect("held");
    let mut new = table(2);
    new.open_slot(slot(), SlotHistory::Incomplete);
    let imported = new.import_from_caller(&workspace(name), &records, NOW);
    assert_eq!(imported.is_ok(), is_taken);
    let answer = new.admit_step(request(1, true), NOW);
    assert_eq!(matches!(answer, Ok(StepAdmission::Recorded(_))), is_taken);
}

#[rstest]
#[case::record_missing(|records: &mut Vec<ProgramRecord>| { records.remove(1); })]
#[case::start_missing(|records: &mut Vec<ProgramRecord>| { records.remove(0); })]
#[case::record_twice(|records: &mut Vec<ProgramRecord>| records.insert(2, records[1].clone()))]
#[case::foreign_record(|records: &mut Vec<ProgramRecord>| records[2].root = program(2))]
#[case::epoch_from_later(|records: &mut Vec<ProgramRecord>| records[2].epoch = 9)]
#[case::epoch_falls(|records: &mut Vec<ProgramRecord>| records[2].epoch = 0)]
#[case::swapped_events(|records: &mut Vec<ProgramRecord>| {
    let event = records[3].event.clone();
    records[3].event = records[2].event.clone();
    records[2].event = event;
})]
fn a_history_that_is_not_whole_is_refused_and_leaves_nothing(
    #[case] spoil: fn(&mut Vec<ProgramRecord>),
) {
    let mut old = open_table();
    old.open_session(program(1), engine()).expect("held");
    let ticket = run(&mut old, 1, true);
    old.finish_step(ticket, completed(), NOW).expect("owned");
    let whole = old.export(program(1)).expect("held");
    let mut spoilt = whole.clone();
    spoil(&mut spoilt);
    let mut new = table(2);
    let error = new
        .import(&spoilt, |_| StepOutcome::Unknown, NOW)
        .expect_err("spoilt");
    assert!(
        !matches!(error.fault, HistoryFault::NotImportable { .. }),
        "{error}"
    );
    assert_eq!(new.all_programs(), []);
    new.import(&whole, |_| StepOutcome::Unknown, NOW)
        .expect("the whole one is taken");
}

#[test]
fn a_ticket_of_a_lost_slot_gives_no_answer() {
    let mut table = open_table();
    let ticket = run(&mut table, 1, true);
    let Ok(StepAdmission::Join(joined)) = table.admit_step(request(1, true), NOW) else {
        panic!("a repeat joins");
    };
    let lost = table.release_slot(slot());
    assert_eq!(
        (lost.programs, lost.running),
        (vec![program(1)], vec![ticket.get_run()])
    );
    assert_eq!(lost.woken[0].key, joined);
    let refusal = table
        .finish_step(ticket, completed(), NOW)
        .expect_err("not owned");
    insta::assert_snapshot!(text(&refusal), @"owner_unavailable Unknown Some(500ms)");
}

#[test]
fn an_ended_program_answers_repeats_until_it_is_forgotten() {
    let mut table = open_table();
    table.open_session(program(1), engine()).expect("held");
    let ticket = run(&mut table, 1, true);
    table.finish_step(ticket, completed(), NOW).expect("owned");
    table.end(program(1), &workspace("own"), NOW).expect("idle");
    let repeat = table.admit_step(request(1, true), NOW);
    assert!(matches!(repeat, Ok(StepAdmission::Recorded(_))));
    insta::assert_snapshot!(refused(&mut table, request(2, true)), @"program_ended NotRun None");

    let later = NOW.plus(KEEP);
    assert_eq!(
        table.expire(later).expect("owned").dropped,
        [],
        "its session is still held"
    );
    let (key, _) = table.cleanup_orders().next().expect("an order");
    assert!(table.confirm_cleanup(key).expect("owned").is_some());
    let dropped = table.expire(later.plus(KEEP)).expect("owned").dropped;
    assert_eq!(dropped, [program(1)]);
    assert_eq!(table.export(program(1)), None);
    assert_eq!(table.next_expiry(), None);
}

#[rstest]
#[case::whole(SlotHistory::Whole, 2)]
#[case::incomplete(SlotHistory::Incomplete, 0)]
fn a_sweep_orders_strays_away_only_where_all_programs_are_known(
    #[case] history: SlotHistory,
    #[case] expected: usize,
) {
    let mut table = open_table();
    table.open_slot(slot(), history);
    let other = ProgramId::generate(
        SlotId::new(1).expect("a slot"),
        &mut SmallRng::seed_from_u64(1),
    );
    let held = [program(1), program(2), program(3), other];
    assert_eq!(table.sweep_engine(&engine(), &held), expected);
    assert_eq!(
        table.sweep_engine(&engine(), &held),
        0,
        "orders are not doubled"
    );
}

#[test]
fn limits_of_no_time_end_programs_and_not_the_daemon() {
    let options = TableOptions::default()
        .idle_timeout(Duration::ZERO)
        .ended_retention(Duration::ZERO);
    let mut table = ProgramTable::new(options);
    table.acquire_slot(slot(), 1);
    table.open_slot(slot(), SlotHistory::Whole);
    let start = ProgramStart::new(program(1), workspace("own"), "planner");
    table.start(start, NOW).expect("it starts");
    table.open_session(program(1), engine()).expect("held");
    let ticket = run(&mut table, 1, false);
    assert_eq!(
        table.expire(NOW).expect("owned").ended.len(),
        0,
        "a call is running"
    );
    table.finish_step(ticket, completed(), NOW).expect("owned");
    let later = NOW.plus(Duration::from_millis(1));
    assert_eq!(table.expire(later).expect("owned").ended.len(), 1);
    assert!(
        table.next_expiry().is_some_and(|next| next > later),
        "its session is still held"
    );
}

#[test]
fn a_step_given_back_keeps_a_program_from_ending_at_its_step_limit() {
    let mut table = table(1);
    table.open_slot(slot(), SlotHistory::Whole);
    let limits = ProgramLimits {
        steps: Some(2),
        wall_clock_ms: None,
    };
    let root = ProgramStart::new(program(1), workspace("own"), "planner").limits(limits);
    table.start(root, NOW).expect("it starts");
    let child = ProgramStart::new(program(2), workspace("own"), "planner").parent(program(1));
    table.start(child, NOW).expect("it starts");
    let attempt = AttemptKey::new("a").expect("a key");
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
        panic!("the sub-agent's step runs");
    };
    insta::assert_snapshot!(refused(&mut table, request(1, false)), @"limit_reached NotRun None");
    let refusal = RequestRefusal::new(RefusalCode::NoUpstream, "none");
    table
        .finish_step(ticket, StepOutcome::Failed { refusal }, NOW)
        .expect("owned");
    assert_eq!(table.expire(NOW).expect("owned").ended.len(), 0);
    assert_eq!(run(&mut table, 1, false).get_step(), StepNumber::FIRST);
}
