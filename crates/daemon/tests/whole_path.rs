//! A program's way from its caller to the upstreams and back.

mod support;

use ibisdale_daemon::RunningDaemon;
use ibisdale_standins::EngineFault;
use insta::assert_snapshot;
use rstest::rstest;
use support::{Caller, KERMESSE_KEY, NORRFROST_KEY, TestBed, WITHDRAWN_KEY, wait_until};

const CHAT: &str =
    r#"{"model": "small", "messages": [{"role": "user", "content": "Which talk is next?"}]}"#;
const STREAM: &str = r#"{"model": "small", "stream": true, "max_tokens": 8,
    "messages": [{"role": "user", "content": "Which talk is next?"}]}"#;

fn caller<'a>(bed: &'a TestBed, daemon: &RunningDaemon, key: &'a str) -> Caller<'a> {
    Caller {
        bed,
        address: daemon.get_entry_address(),
        key,
    }
}

#[test]
fn a_program_of_several_steps_keeps_its_history() {
    let bed = TestBed::start();
    let daemon = bed.start_daemon();
    let caller = caller(&bed, &daemon, KERMESSE_KEY);
    let program = caller.start_program("planner");
    let first = caller.post(&format!("/v1/programs/{program}/steps/1/chat"), CHAT);
    assert_eq!(first.status, 200, "{}", first.text());
    let second = caller.post(&format!("/v1/programs/{program}/steps/2/chat"), CHAT);
    let tokens = |answer: &support::Answer| answer.json()["usage"]["prompt_tokens"].as_u64();
    assert!(
        tokens(&second) > tokens(&first),
        "the second prompt holds the history"
    );
    let quote = r#"{"service": "orders", "route": "quote", "body": {"request_id": "q-1"}}"#;
    let third = caller.post(&format!("/v1/programs/{program}/steps/3/call"), quote);
    assert_eq!(third.status, 200, "{}", third.text());
    let state = caller
        .get(&format!("/v1/programs/{program}/steps/2"))
        .json();
    assert_eq!(state["answer"], second.json());
    let ended = caller.post(&format!("/v1/programs/{program}/end"), "");
    assert_eq!(ended.json()["state"], "finished");
    daemon.close();
}

#[test]
fn a_stream_ends_with_the_digest_and_the_end_mark() {
    let bed = TestBed::start();
    let daemon = bed.start_daemon();
    let caller = caller(&bed, &daemon, KERMESSE_KEY);
    let answer = caller.post("/v1/chat/completions", STREAM);
    assert_eq!(answer.status, 200, "{}", answer.text());
    let text = answer.text();
    let events: Vec<&str> = text
        .split("\n\n")
        .filter(|event| !event.is_empty())
        .collect();
    assert_eq!(events.last(), Some(&"data: [DONE]"));
    assert!(
        events[events.len() - 2].contains(r#""digest":"2-"#),
        "{text}"
    );
    daemon.close();
}

#[rstest]
#[case::no_key("", "/v1/programs", "{}", "401 unknown_key not_run")]
#[case::unknown_key("nobody", "/v1/programs", "{}", "401 unknown_key not_run")]
#[case::withdrawn_key(WITHDRAWN_KEY, "/v1/programs", "{}", "401 withdrawn_key not_run")]
#[case::broken_json(KERMESSE_KEY, "/v1/programs", "{", "400 bad_request not_run")]
#[case::undeclared_program(
    KERMESSE_KEY,
    "/v1/programs",
    r#"{"program": "quotes"}"#,
    "403 not_allowed not_run"
)]
#[case::unknown_model(
    KERMESSE_KEY,
    "/v1/chat/completions",
    r#"{"model": "huge", "messages": [{"role": "user", "content": "x"}]}"#,
    "404 unknown_model not_run"
)]
#[case::unknown_route(KERMESSE_KEY, "/v2/programs", "{}", "404 unknown_route not_run")]
#[case::wrong_method(KERMESSE_KEY, "/v1/addresses", "", "405 method_not_allowed not_run")]
fn bad_requests_get_a_typed_refusal(
    #[case] key: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] refusal: &str,
) {
    let bed = TestBed::start();
    let daemon = bed.start_daemon();
    assert_eq!(
        caller(&bed, &daemon, key).post(path, body).refusal(),
        refusal
    );
    daemon.close();
}

#[test]
fn a_program_is_unknown_to_other_workspaces() {
    let bed = TestBed::start();
    let daemon = bed.start_daemon();
    let program = caller(&bed, &daemon, KERMESSE_KEY).start_program("planner");
    let other = caller(&bed, &daemon, NORRFROST_KEY);
    let answer = other.get(&format!("/v1/programs/{program}"));
    assert_snapshot!(answer.refusal(), @"404 unknown_program not_run");
    daemon.close();
}

#[test]
fn a_repeat_of_a_finished_attempt_gets_the_recorded_answer() {
    let bed = TestBed::start();
    let daemon = bed.start_daemon();
    let caller = caller(&bed, &daemon, KERMESSE_KEY);
    let program = caller.start_program("planner");
    let path = format!("/v1/programs/{program}/steps/1/chat");
    let attempt = [("attempt-key", "a-1")];
    let first = caller.send(http::Method::POST, &path, &attempt, CHAT);
    let again = caller.send(http::Method::POST, &path, &attempt, CHAT);
    assert_eq!(first.body, again.body);
    assert_eq!(first.digest(), again.digest());
    let other = caller.send(http::Method::POST, &path, &[("attempt-key", "a-2")], CHAT);
    assert_snapshot!(other.refusal(), @"409 attempt_mismatch not_run");
    daemon.close();
}

#[test]
fn a_workspace_over_its_rate_is_refused_at_once_with_when_to_come_back() {
    let bed = TestBed::start();
    let daemon = bed.start_daemon();
    let caller = caller(&bed, &daemon, NORRFROST_KEY);
    let start = || caller.post("/v1/programs", r#"{"program": "quotes"}"#);
    let statuses: Vec<u16> = (0..3).map(|_| start().status.as_u16()).collect();
    assert_eq!(statuses, [201, 201, 201]);
    let refused = start();
    assert_snapshot!(refused.refusal(), @"429 rate_exceeded not_run");
    assert!(refused.headers.contains_key("retry-after"));
    daemon.close();
}

#[test]
fn an_ended_program_leaves_nothing_at_the_engine() {
    let bed = TestBed::start();
    let daemon = bed.start_daemon();
    let caller = caller(&bed, &daemon, KERMESSE_KEY);
    let program = caller.start_program("planner");
    let answer = caller.post(&format!("/v1/programs/{program}/steps/1/chat"), CHAT);
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(bed.engine.get_sessions(), std::slice::from_ref(&program));
    caller.post(&format!("/v1/programs/{program}/end"), "");
    wait_until("the engine holds nothing", || {
        bed.engine.get_sessions().is_empty()
    });
    daemon.close();
}

#[test]
fn a_refusal_never_says_not_run_after_an_attempt_that_may_have_run() {
    let bed = TestBed::start();
    // Nothing listens there: attempts at it are proven not to have run.
    bed.add_engine("engine-2", "127.0.0.1:1");
    let daemon = bed.start_daemon();
    bed.engine.set_fault(EngineFault::CloseBeforeAnswer);
    let caller = caller(&bed, &daemon, KERMESSE_KEY);
    for _ in 0..8 {
        let before = bed.engine.get_counters().chats;
        let answer = caller.post("/v1/chat/completions", CHAT);
        let is_reached = bed.engine.get_counters().chats > before;
        let is_not_run = answer.json()["error"]["run_state"] == "not_run";
        assert!(!(is_reached && is_not_run), "{}", answer.text());
    }
    daemon.close();
}
