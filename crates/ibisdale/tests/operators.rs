//! Operators' commands against a daemon.

mod support;

use std::fs;

use serde_json::{Value, json};
use support::{Reply, ScriptedDaemon, example, ibisdale, operate, refusal, transcript};

const PROGRAM: &str = "00070000000000000000000000000001";

fn settings_text(revision: u64) -> Value {
    let text = fs::read_to_string(example("settings.ini")).unwrap();
    json!({ "revision": revision, "author": "anna", "note": "first", "text": text })
}

fn ok(body: Value) -> Reply {
    Reply::Json(200, None, body)
}

fn program() -> Value {
    json!({
        "id": PROGRAM, "workspace": "kermesse", "name": "planner", "state": "running",
        "next_step": 3, "is_busy": true, "digest": format!("4-{}", "0".repeat(64)),
        "tokens_used": 120, "tokens_limit": 4000,
        "paid_actions_used": 0, "paid_actions_limit": 1,
    })
}

#[test]
fn apply_names_the_revision_it_was_made_from() {
    let daemon = ScriptedDaemon::start(vec![
        ok(settings_text(7)),
        ok(json!({ "revision": 8, "digest": "00" })),
    ]);
    let file = example("settings.ini");
    let output = operate(daemon.address, &["apply", &file, "--note", "why"]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 0
    revision 8 is accepted
    --- errors
    "##);
    let seen = daemon.close();
    assert_eq!(seen[1].line, "PUT /admin/v1/settings");
    assert_eq!(seen[1].expected, "\"7\"");
    assert_eq!(seen[1].key, "Bearer ibk-example-operator");
    assert_eq!(seen[1].body["note"], "why");
}

#[test]
fn apply_sends_nothing_that_has_findings() {
    let daemon = ScriptedDaemon::start(Vec::new());
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("broken.ini");
    fs::write(&path, "[/]\nrate = fast\n").unwrap();
    let path = path.display().to_string();
    let output = operate(daemon.address, &["apply", &path]);
    insta::assert_snapshot!(transcript(&output).replace(&path, "broken.ini"), @r##"
    exit 1
    --- errors
    ibisdale: broken.ini:2: rate = 'fast': expected a number with at most three decimal places
    "##);
    assert!(daemon.close().is_empty());
}

#[test]
fn a_conflict_shows_the_difference() {
    let mut body = refusal("settings_conflict", "not_run", None);
    body["conflict"] = json!({
        "expected": 7, "current": 8, "author": "bert",
        "difference": [{ "section": "/workspaces", "key": "rate", "before": "5", "after": "6" }],
    });
    let daemon = ScriptedDaemon::start(vec![Reply::Json(409, None, body)]);
    let file = example("settings.ini");
    let output = operate(daemon.address, &["apply", &file, "--expect", "7"]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 4
    --- errors
    ibisdale: refused (settings_conflict): for a reason
    revision 8 by bert is in force, the settings were made from revision 7
    ~ [/workspaces] rate = 5 -> 6
    request 000102030405060708090a0b0c0d0e0f
    "##);
    daemon.close();
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let daemon = ScriptedDaemon::start(vec![Reply::Cut, ok(settings_text(8))]);
    let file = example("settings.ini");
    let output = operate(daemon.address, &["apply", &file, "--expect", "7"]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 0
    revision 8 is accepted
    --- errors
    "##);
    daemon.close();
}

#[test]
fn a_lost_answer_that_cannot_be_resolved_is_no_success() {
    let daemon = ScriptedDaemon::start(vec![Reply::Cut, ok(settings_text(7))]);
    let file = example("settings.ini");
    let output = operate(daemon.address, &["apply", &file, "--expect", "7"]);
    assert_eq!(output.status.code(), Some(6), "{}", transcript(&output));
    daemon.close();
}

#[test]
fn rollback_applies_the_earlier_text() {
    let mut earlier = settings_text(3);
    earlier["text"] = "[/]\n".into();
    let daemon = ScriptedDaemon::start(vec![
        ok(settings_text(7)),
        ok(earlier),
        ok(json!({ "revision": 8, "digest": "00" })),
    ]);
    let output = operate(daemon.address, &["rollback", "3"]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 0
    revision 8 is accepted, with the text of revision 3
    --- errors
    "##);
    let seen = daemon.close();
    assert_eq!(seen[1].line, "GET /admin/v1/settings/3");
    assert_eq!(seen[2].expected, "\"7\"");
    assert_eq!(seen[2].body["text"], "[/]\n");
}

#[test]
fn history_lists_revisions() {
    let reply = json!({ "revisions": [
        { "revision": 8, "author": "bert", "note": "faster", "bytes": 1200, "digest": "00" },
        { "revision": 7, "author": "anna", "note": "", "bytes": 90, "digest": "00" },
    ] });
    let daemon = ScriptedDaemon::start(vec![ok(reply)]);
    insta::assert_snapshot!(transcript(&operate(daemon.address, &["history"])), @r##"
    exit 0
    REVISION  AUTHOR  BYTES  NOTE
    8         bert    1200   faster
    7         anna    90
    --- errors
    "##);
    daemon.close();
}

#[test]
fn a_granted_key_alone_goes_to_standard_output() {
    let reply = json!({ "workspace": "kermesse", "key": "web", "secret": "ibk-1", "revision": 9 });
    let daemon = ScriptedDaemon::start(vec![ok(reply)]);
    let output = operate(daemon.address, &["key", "grant", "kermesse", "web"]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 0
    ibk-1
    --- errors
    key 'web' of workspace 'kermesse' is granted from revision 9; it is not shown again
    "##);
    assert_eq!(daemon.close()[0].line, "POST /admin/v1/keys/kermesse/web");
}

#[test]
fn a_key_is_withdrawn() {
    let reply = json!({ "workspace": "kermesse", "key": "web", "revision": 10 });
    let daemon = ScriptedDaemon::start(vec![ok(reply)]);
    let output = operate(daemon.address, &["key", "withdraw", "kermesse", "web"]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 0
    key 'web' of workspace 'kermesse' is withdrawn from revision 10
    --- errors
    "##);
    assert_eq!(daemon.close()[0].line, "DELETE /admin/v1/keys/kermesse/web");
}

#[test]
fn keys_and_workspaces_are_listed_from_the_settings() {
    let replies = (0..4).map(|_| ok(settings_text(7))).collect();
    let daemon = ScriptedDaemon::start(replies);
    let address = daemon.address;
    insta::assert_snapshot!(transcript(&operate(address, &["key", "list"])), @r##"
    exit 0
    WORKSPACE  KEY     STATE
    kermesse   app     granted
    norrfrost  quotes  granted
    --- errors
    "##);
    insta::assert_snapshot!(transcript(&operate(address, &["workspace", "list"])), @r##"
    exit 0
    WORKSPACE  RATE  BURST  PROGRAMS              KEYS
    kermesse   40    80     chat, guide, planner  app
    norrfrost  12.5  25     delivery, quote       quotes
    --- errors
    "##);
    let output = operate(
        address,
        &["workspace", "show", "norrfrost", "--format", "json"],
    );
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 0
    {
      "workspace": "norrfrost",
      "rate": "12.5",
      "burst": 25,
      "programs": [
        "delivery",
        "quote"
      ],
      "keys": [
        "quotes"
      ]
    }
    --- errors
    "##);
    let output = operate(address, &["workspace", "show", "ghost"]);
    assert_eq!(output.status.code(), Some(3));
    daemon.close();
}

#[test]
fn programs_are_listed_and_cancelled() {
    let mut cancelled = program();
    cancelled["state"] = "cancelled".into();
    let daemon = ScriptedDaemon::start(vec![
        ok(json!({ "programs": [program()] })),
        ok(cancelled),
        Reply::Json(404, None, refusal("unknown_program", "not_run", None)),
    ]);
    let address = daemon.address;
    insta::assert_snapshot!(transcript(&operate(address, &["program", "list"])), @r##"
    exit 0
    PROGRAM                           WORKSPACE  NAME     STATE    NEXT STEP  TOKENS
    00070000000000000000000000000001  kermesse   planner  running  3          120/4000
    --- errors
    "##);
    let output = operate(address, &["program", "cancel", PROGRAM]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 0
    PROGRAM                           WORKSPACE  NAME     STATE      NEXT STEP  TOKENS
    00070000000000000000000000000001  kermesse   planner  cancelled  3          120/4000
    --- errors
    "##);
    let output = operate(address, &["program", "show", PROGRAM]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 3
    --- errors
    ibisdale: refused (unknown_program): for a reason
    request 000102030405060708090a0b0c0d0e0f
    "##);
    daemon.close();
}

#[test]
fn status_lists_the_members() {
    let reply = json!({
        "name": "a", "incarnation": 4, "settings_revision": 7, "settings_confirmed_ms": 120,
        "slots_owned": 342, "draining": false,
        "members": [
            { "name": "a", "failure_domain": "north", "entry_address": "127.0.0.1:7101",
              "state": "alive", "settings_revision": 7 },
            { "name": "b", "failure_domain": "south", "entry_address": "127.0.0.1:7102",
              "state": "suspect", "settings_revision": 6 },
        ],
    });
    let daemon = ScriptedDaemon::start(vec![ok(reply), ok(json!({ "name": "a" }))]);
    insta::assert_snapshot!(transcript(&operate(daemon.address, &["status"])), @r##"
    exit 0
    a (incarnation 4): 342 slots, settings revision 7 (confirmed 120 ms ago)

    MEMBER  FAILURE DOMAIN  ADDRESS         STATE    SETTINGS
    a       north           127.0.0.1:7101  alive    7
    b       south           127.0.0.1:7102  suspect  6
    --- errors
    "##);
    insta::assert_snapshot!(transcript(&operate(daemon.address, &["drain"])), @r##"
    exit 0
    a has started its shutdown
    --- errors
    "##);
    assert_eq!(daemon.close()[1].line, "POST /admin/v1/drain");
}

#[test]
fn errors_are_json_where_that_is_asked_for() {
    let body = refusal("unknown_key", "not_run", None);
    let daemon = ScriptedDaemon::start(vec![Reply::Json(401, None, body)]);
    let output = operate(daemon.address, &["status", "--format", "json"]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 3
    --- errors
    {
      "error": {
        "code": "unknown_key",
        "message": "for a reason",
        "request_id": "000102030405060708090a0b0c0d0e0f",
        "run_state": "not_run"
      }
    }
    "##);
    daemon.close();
}

#[test]
fn an_answer_of_something_else_is_not_understood() {
    let daemon = ScriptedDaemon::start(vec![Reply::Json(200, None, json!("hello"))]);
    let output = operate(daemon.address, &["status"]);
    assert_eq!(output.status.code(), Some(6), "{}", transcript(&output));
    daemon.close();
}

#[test]
fn an_unreachable_daemon_exits_with_5() {
    let key = example("keys/operator.key");
    let args = [
        "--operator",
        "127.0.0.1:1",
        "--operator-key-file",
        &key,
        "status",
    ];
    assert_eq!(ibisdale(&args).status.code(), Some(5));
}
