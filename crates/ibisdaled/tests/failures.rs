//! What must hold while daemon processes are killed, paused and stopped.

mod support;

use std::time::Duration;

use http::Method;
use ibisdale_standins::{OutageKind, ServiceFault};
use support::{Answer, Caller, TestFleet, wait_until};

const CHAT: &str =
    r#"{"model": "small", "messages": [{"role": "user", "content": "Which talk is next?"}]}"#;
const BOOK: &str = r#"{"service": "orders", "route": "book", "body": {"room": "Leie 2"}}"#;
const QUOTE: &str = r#"{"service": "orders", "route": "quote", "body": {"kilos": 40}}"#;

fn prompt_tokens(answer: &Answer) -> u64 {
    answer.json()["usage"]["prompt_tokens"]
        .as_u64()
        .unwrap_or_else(|| panic!("{}", answer.text()))
}

/// Starts a program with a budget of paid actions.
fn start_program(caller: &Caller<'_>) -> String {
    let body = r#"{"program": "planner", "budget": {"paid_actions": 2}}"#;
    let answer = caller.post("/v1/programs", body);
    assert_eq!(answer.status, 201, "{}", answer.text());
    answer.json()["id"].as_str().expect("an id").to_owned()
}

/// Sends a step until its owner can be reached.
fn send_until_served(
    caller: &Caller<'_>,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let answer = std::cell::RefCell::new(None);
    wait_until("the step is served", || {
        let reply = caller.send(Method::POST, path, headers, body);
        let is_served = reply.status != 503;
        *answer.borrow_mut() = Some(reply);
        is_served
    });
    answer.into_inner().expect("an answer")
}

#[test]
fn a_history_survives_the_death_of_its_owner_between_turns() {
    let mut fleet = TestFleet::start();
    let program = start_program(&fleet.caller(2));
    let first = fleet
        .caller(2)
        .post(&format!("/v1/programs/{program}/steps/1/chat"), CHAT);
    let (tokens, digest) = (prompt_tokens(&first), first.digest());
    fleet.daemons[2].kill();
    let path = format!("/v1/programs/{program}/steps/2/chat");
    let second = send_until_served(
        &fleet.caller(0),
        &path,
        &[("history-digest", &digest)],
        CHAT,
    );
    assert_eq!(second.status, 200, "{}", second.text());
    assert!(
        prompt_tokens(&second) > tokens,
        "the prompt holds the first turn"
    );
}

#[test]
fn a_paid_action_runs_once_when_its_owner_dies_before_the_answer() {
    let mut fleet = TestFleet::start();
    let program = start_program(&fleet.caller(2));
    let path = format!("/v1/programs/{program}/steps/1/call");
    fleet
        .bed
        .orders
        .set_fault(ServiceFault::AnswerLate(Duration::from_secs(40)));
    let attempt = [("attempt-key", "book-1")];
    std::thread::scope(|scope| {
        let caller = fleet.caller(2);
        let path = &path;
        scope.spawn(move || {
            // The connection is cut with its daemon.
            let _ = caller.try_send(Method::POST, path, &attempt, BOOK);
        });
        wait_until("the order service ran it", || {
            fleet.bed.orders.get_counters().get_most_executions() == 1
        });
        let paused = fleet.daemons[2].pause();
        fleet.bed.orders.set_fault(ServiceFault::None);
        let again = send_until_served(&fleet.caller(0), path, &attempt, BOOK);
        assert_eq!(again.refusal(), "502 outcome_unknown unknown");
        paused.close();
        assert_eq!(fleet.bed.orders.get_counters().get_most_executions(), 1);
    });
    fleet.daemons[2].kill();
}

#[test]
fn an_owner_that_was_paused_past_its_lease_changes_nothing() {
    let fleet = TestFleet::start();
    let program = start_program(&fleet.caller(2));
    let first = fleet
        .caller(2)
        .post(&format!("/v1/programs/{program}/steps/1/chat"), CHAT);
    assert_eq!(first.status, 200, "{}", first.text());
    let paused = fleet.daemons[2].pause();
    let path = format!("/v1/programs/{program}/steps/2/chat");
    let second = send_until_served(&fleet.caller(0), &path, &[], CHAT);
    assert_eq!(second.status, 200, "{}", second.text());
    paused.close();
    // The old owner's state is a step behind: it must not answer from it.
    let headers = [("attempt-key", "late")];
    let late = fleet.caller(2).send(Method::POST, &path, &headers, CHAT);
    assert_ne!(late.status, 200, "{}", late.text());
    let path = format!("/v1/programs/{program}/steps/3/chat");
    let digest = second.digest();
    let third = send_until_served(
        &fleet.caller(2),
        &path,
        &[("history-digest", &digest)],
        CHAT,
    );
    assert_eq!(third.status, 200, "{}", third.text());
}

#[test]
fn a_repeat_at_another_vm_gets_the_recorded_answer() {
    let fleet = TestFleet::start();
    let program = start_program(&fleet.caller(0));
    let path = format!("/v1/programs/{program}/steps/1/call");
    let attempt = [("attempt-key", "book-1")];
    let first = fleet.caller(0).send(Method::POST, &path, &attempt, BOOK);
    assert_eq!(first.status, 200, "{}", first.text());
    let again = fleet.caller(1).send(Method::POST, &path, &attempt, BOOK);
    assert_eq!(first.body, again.body);
    assert_eq!(fleet.bed.orders.get_counters().get_most_executions(), 1);
}

#[test]
fn a_withdrawn_key_stops_at_every_vm() {
    let fleet = TestFleet::start();
    let answer = fleet
        .operator(1)
        .send(Method::DELETE, "/admin/v1/keys/kermesse/app", &[], "");
    assert_eq!(answer.status, 200, "{}", answer.text());
    for index in 0..3 {
        wait_until("the key is refused", || {
            let answer = fleet
                .caller(index)
                .post("/v1/programs", r#"{"program": "planner"}"#);
            answer.refusal() == "401 withdrawn_key not_run"
        });
    }
}

#[test]
fn model_steps_go_on_and_paid_ones_are_refused_in_an_outage_of_the_service() {
    let mut fleet = TestFleet::start();
    let program = start_program(&fleet.caller(0));
    smol::block_on(fleet.bed.kv.start_outage(OutageKind::Refused));
    let chat = format!("/v1/programs/{program}/steps/1/chat");
    let first = fleet.caller(0).post(&chat, CHAT);
    assert_eq!(first.status, 200, "{}", first.text());
    let call = format!("/v1/programs/{program}/steps/2/call");
    let refused = fleet.caller(0).post(&call, BOOK);
    assert_eq!(refused.refusal(), "503 platform_unavailable not_run");
    let quote = fleet.caller(0).post(&call, QUOTE);
    assert_eq!(quote.status, 200, "{}", quote.text());
    smol::block_on(fleet.bed.kv.end_outage());
    let call = format!("/v1/programs/{program}/steps/3/call");
    let booked = send_until_served(&fleet.caller(0), &call, &[], BOOK);
    assert_eq!(booked.status, 200, "{}", booked.text());
    assert_eq!(fleet.bed.orders.get_counters().get_most_executions(), 1);
}

#[test]
fn a_daemon_that_drains_cuts_no_request_and_hands_its_programs_over() {
    let mut fleet = TestFleet::start();
    let program = start_program(&fleet.caller(2));
    let first = fleet
        .caller(2)
        .post(&format!("/v1/programs/{program}/steps/1/chat"), CHAT);
    assert_eq!(first.status, 200, "{}", first.text());
    let path = format!("/v1/programs/{program}/steps/2/call");
    fleet
        .bed
        .orders
        .set_fault(ServiceFault::AnswerLate(Duration::from_secs(2)));
    std::thread::scope(|scope| {
        let caller = fleet.caller(2);
        let path = &path;
        let running = scope.spawn(move || caller.post(path, BOOK));
        wait_until("the order service ran it", || {
            fleet.bed.orders.get_counters().get_most_executions() == 1
        });
        fleet.daemons[2].terminate();
        let answer = running.join().expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    });
    assert!(fleet.daemons[2].wait_end(), "it ends by itself");
    let path = format!("/v1/programs/{program}/steps/3/chat");
    let third = send_until_served(&fleet.caller(0), &path, &[], CHAT);
    assert_eq!(third.status, 200, "{}", third.text());
    assert!(prompt_tokens(&third) > prompt_tokens(&first));
}

#[test]
fn an_outcome_that_is_not_stored_is_not_given_to_a_repeat() {
    let mut fleet = TestFleet::start();
    let program = start_program(&fleet.caller(2));
    // Two copies are wanted, and one of the two holders is gone.
    fleet.daemons[1].kill();
    let path = format!("/v1/programs/{program}/steps/1/call");
    let attempt = [("attempt-key", "quote-1")];
    let first = fleet.caller(2).send(Method::POST, &path, &attempt, QUOTE);
    assert_eq!(first.status, 503, "{}", first.text());
    let again = fleet.caller(2).send(Method::POST, &path, &attempt, QUOTE);
    assert_eq!(again.status, 503, "{}", again.text());
}
