//! A program file is run step by step, and nothing is repeated that may have run.

mod support;

use std::fs;
use std::net::SocketAddr;
use std::process::Output;

use rstest::rstest;
use serde_json::{Value, json};
use support::{Reply, ScriptedDaemon, example, ibisdale, refusal, transcript};

const PROGRAM: &str = "00070000000000000000000000000001";
const CHILD: &str = "00070000000000000000000000000002";

fn digest(length: u64) -> String {
    format!("{length}-{}", "0".repeat(64))
}

fn ok(length: Option<u64>, body: Value) -> Reply {
    Reply::Json(200, length.map(digest), body)
}

fn addresses() -> Reply {
    ok(None, json!({ "addresses": ["ADDRESS"], "keep_ms": 1000 }))
}

fn started(id: &str) -> Reply {
    let body = json!({ "id": id, "digest": digest(0), "address": "ADDRESS" });
    Reply::Json(201, None, body)
}

fn step_state(state: &str) -> Reply {
    let body = json!({
        "program": PROGRAM, "step": 1, "state": state,
        "answer": { "booked": true }, "digest": digest(2),
    });
    ok(None, body)
}

fn run(address: SocketAddr, steps: &Value) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("program.json");
    let file =
        json!({ "workspace": "kermesse", "start": { "program": "planner" }, "steps": steps });
    fs::write(&path, file.to_string()).unwrap();
    let (path, address) = (path.display().to_string(), address.to_string());
    let key = example("keys/kermesse.key");
    ibisdale(&["run", &path, "--entry", &address, "--key-file", &key])
}

fn booking() -> Value {
    json!([{ "call": { "service": "orders", "route": "book", "body": { "room": 2 } } }])
}

#[test]
fn runs_the_example_to_its_end() {
    let stream = vec![
        json!({ "choices": [{ "delta": { "content": "Two " } }] }).to_string(),
        json!({ "choices": [{ "delta": { "content": "talks." } }] }).to_string(),
        json!({ "choices": [], "ibisdale": { "digest": digest(2) } }).to_string(),
        "[DONE]".to_owned(),
    ];
    let chat = |text: &str| json!({ "choices": [{ "message": { "content": text } }] });
    let daemon = ScriptedDaemon::start(vec![
        addresses(),
        started(PROGRAM),
        Reply::Events(stream),
        started(CHILD),
        ok(Some(2), chat("Leie 2.")),
        ok(None, json!({})),
        ok(Some(4), json!({ "booked": true })),
        ok(Some(6), chat("Booked.")),
        ok(None, json!({})),
    ]);
    let (program, key) = (example("program.json"), example("keys/kermesse.key"));
    let address = daemon.address.to_string();
    let output = ibisdale(&["run", &program, "--entry", &address, "--key-file", &key]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 0
    chat small: Two talks.
    chat small: Leie 2.
    call orders/book: {"booked":true}
    chat small: Booked.
    program 00070000000000000000000000000001 finished
    --- errors
    program 00070000000000000000000000000001 started
    step 1 done: chat small
    sub-agent 00070000000000000000000000000002 started
    step 1 done: chat small
    step 2 done: call orders/book
    step 3 done: chat small
    "##);
    let seen = daemon.close();
    let lines: Vec<String> = seen
        .iter()
        .map(|request| {
            format!(
                "{} {}",
                request.line,
                request.digest.replace(&"0".repeat(64), "")
            )
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r##"
    GET /v1/addresses?workspace=kermesse 
    POST /v1/programs 
    POST /v1/programs/00070000000000000000000000000001/steps/1/chat 0-
    POST /v1/programs/00070000000000000000000000000001/children 
    POST /v1/programs/00070000000000000000000000000002/steps/1/chat 0-
    POST /v1/programs/00070000000000000000000000000002/end 
    POST /v1/programs/00070000000000000000000000000001/steps/2/call 2-
    POST /v1/programs/00070000000000000000000000000001/steps/3/chat 4-
    POST /v1/programs/00070000000000000000000000000001/end
    "##);
    assert!(
        seen.iter()
            .all(|request| request.key == "Bearer ibk-example-kermesse-app")
    );
}

#[test]
fn a_step_that_has_not_run_is_sent_again_as_the_same_attempt() {
    let refused = refusal("rate_exceeded", "not_run", Some(1));
    let daemon = ScriptedDaemon::start(vec![
        addresses(),
        started(PROGRAM),
        Reply::Json(429, None, refused),
        ok(Some(2), json!({ "booked": true })),
        ok(None, json!({})),
    ]);
    let output = run(daemon.address, &booking());
    assert_eq!(output.status.code(), Some(0), "{}", transcript(&output));
    let seen = daemon.close();
    assert!(!seen[2].attempt.is_empty());
    assert_eq!(seen[2].attempt, seen[3].attempt);
}

#[rstest]
#[case::not_run("not_run", 0)]
#[case::unknown("unknown", 6)]
fn a_start_is_repeated_only_where_it_has_not_run(#[case] run_state: &str, #[case] exit: i32) {
    let refused = refusal("owner_unavailable", run_state, Some(1));
    let mut script = vec![addresses(), Reply::Json(503, None, refused)];
    if exit == 0 {
        script.extend([
            started(PROGRAM),
            ok(Some(2), json!({})),
            ok(None, json!({})),
        ]);
    }
    let daemon = ScriptedDaemon::start(script);
    let output = run(daemon.address, &booking());
    assert_eq!(output.status.code(), Some(exit), "{}", transcript(&output));
    daemon.close();
}

#[test]
fn a_lost_answer_is_looked_up() {
    let daemon = ScriptedDaemon::start(vec![
        addresses(),
        started(PROGRAM),
        Reply::Cut,
        step_state("running"),
        step_state("completed"),
        ok(None, json!({})),
    ]);
    let output = run(daemon.address, &booking());
    assert_eq!(output.status.code(), Some(0), "{}", transcript(&output));
    let seen = daemon.close();
    assert_eq!(seen[3].line, format!("GET /v1/programs/{PROGRAM}/steps/1"));
}

#[rstest]
#[case::lost_and_unknown(vec![Reply::Cut, step_state("unknown")], 6)]
#[case::refused_as_unknown(
    vec![Reply::Json(502, None, refusal("outcome_unknown", "unknown", Some(1)))], 6)]
#[case::refused_for_good(
    vec![Reply::Json(402, None, refusal("budget_exceeded", "not_run", None))], 8)]
#[case::ran_and_failed(
    vec![Reply::Json(502, None, refusal("upstream_failed", "ran", Some(1)))], 8)]
fn what_may_have_run_is_not_sent_again(#[case] replies: Vec<Reply>, #[case] exit: i32) {
    let mut script = vec![addresses(), started(PROGRAM)];
    script.extend(replies);
    let daemon = ScriptedDaemon::start(script);
    let output = run(daemon.address, &booking());
    assert_eq!(output.status.code(), Some(exit), "{}", transcript(&output));
    let seen = daemon.close();
    let posts = seen.iter().filter(|request| request.line.contains("/call"));
    assert_eq!(posts.count(), 1);
}

#[test]
fn a_stream_without_its_end_is_no_answer() {
    let event = json!({ "choices": [{ "delta": { "content": "Two " } }] });
    let daemon = ScriptedDaemon::start(vec![
        addresses(),
        started(PROGRAM),
        Reply::Events(vec![event.to_string()]),
        step_state("unknown"),
    ]);
    let steps = json!([{ "chat": { "model": "small", "messages": [], "stream": true } }]);
    let output = run(daemon.address, &steps);
    assert_eq!(output.status.code(), Some(6), "{}", transcript(&output));
    let seen = daemon.close();
    assert_eq!(seen[3].line, format!("GET /v1/programs/{PROGRAM}/steps/1"));
}

#[test]
fn a_stream_that_ends_in_a_refusal_fails_the_program() {
    let refused = refusal("deadline_exceeded", "ran", None);
    let daemon = ScriptedDaemon::start(vec![
        addresses(),
        started(PROGRAM),
        Reply::Events(vec![refused.to_string(), "[DONE]".to_owned()]),
    ]);
    let steps = json!([{ "chat": { "model": "small", "messages": [], "stream": true } }]);
    let output = run(daemon.address, &steps);
    assert_eq!(output.status.code(), Some(8), "{}", transcript(&output));
    daemon.close();
}
