//! Programs whose route is split between two model services.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Vm};
use crate::http::{self, Answer};
use crate::record::{Recorder, Sent};

const KEY: &str = "key-of-congress";
/// Tokens that all turns of a program may generate.
const BUDGET: u64 = 800;
/// Tokens that one turn may generate.
const TURN_MAX: u64 = 80;
/// Tokens of an event of each service, as its `engine` says.
const TOKENS: [(&str, u64); 2] = [("model-a", 1), ("model-b", 4)];
const PROGRAMS: u64 = 6;
const TURNS_MAX: u64 = 60;

pub fn run_split(deployment: &mut Deployment, has_trouble: bool) -> crate::Verdict {
    deployment.add_replica(100, "model-a", 5, 1, TOKENS[0].1)?;
    deployment.add_replica(101, "model-a", 5, 1, TOKENS[0].1)?;
    deployment.add_replica(102, "model-b", 5, 4, TOKENS[1].1)?;
    deployment.add_replica(103, "model-b", 5, 4, TOKENS[1].1)?;
    let whole = "\"service\":\"model-a\"";
    let split = "\"split\":[{\"service\":\"model-a\",\"weight\":50},{\"service\":\"model-b\",\"weight\":50}]";
    deployment
        .store
        .write("op/config", &configuration(1, whole));
    deployment.start_vms(4)?;
    let recorder = deployment.recorder.clone();
    let entries: Vec<SocketAddr> = deployment.vms.iter().map(Vm::entry).collect();
    let mut tokens = vec![0; PROGRAMS as usize];
    for program in 0..PROGRAMS {
        for turn in 0..2 {
            let (_, got) = run_turn(&recorder, &entries, program, turn);
            tokens[program as usize] += got;
        }
    }
    if has_trouble {
        deployment
            .store
            .write("op/config", &configuration(2, split));
        recorder.note(
            "the operator writes version 2, which splits the route between model-a and model-b",
        );
    }
    // Longer than `config_apply_ms`.
    thread::sleep(Duration::from_millis(2_500));
    let programs = (0..PROGRAMS).map(|program| {
        let (recorder, entries) = (recorder.clone(), entries.clone());
        thread::spawn(move || {
            let mut tokens = 0;
            for turn in 2..TURNS_MAX {
                let (status, got) = run_turn(&recorder, &entries, program, turn);
                tokens += got;
                if status == 402 {
                    return (tokens, true);
                }
            }
            (tokens, false)
        })
    });
    let programs: Vec<_> = programs.collect();
    let mut is_broken = false;
    for (program, thread) in programs.into_iter().enumerate() {
        let (more, was_told) = thread.join().unwrap_or((0, false));
        tokens[program] += more;
        let is_over = tokens[program] > BUDGET + TURN_MAX;
        is_broken |= is_over;
        recorder.note(format!(
            "program {program}: {} tokens were handed to its client, its budget is {BUDGET} and one turn has {TURN_MAX} at most{}{}",
            tokens[program],
            if was_told { "; then 402" } else { "; no 402 came" },
            if is_over { ": over its budget" } else { "" },
        ));
    }
    Ok(is_broken)
}

/// A program that was stopped comes back within `retention_s` of its route; in between, a version
/// lacks the route for a moment.
pub fn run_return(deployment: &mut Deployment, has_trouble: bool) -> crate::Verdict {
    deployment.add_replica(100, "model-a", 5, 1, TOKENS[0].1)?;
    deployment.add_replica(101, "model-a", 5, 1, TOKENS[0].1)?;
    let whole = "\"service\":\"model-a\"";
    deployment
        .store
        .write("op/config", &configuration(1, whole));
    deployment.start_vms(4)?;
    let recorder = deployment.recorder.clone();
    let entries: Vec<SocketAddr> = deployment.vms.iter().map(Vm::entry).collect();
    let mut tokens = vec![0; PROGRAMS as usize];
    for program in 0..PROGRAMS {
        tokens[program as usize] = run_until_refused(&recorder, &entries, program, 0);
    }
    recorder.note(format!(
        "the programs have got {tokens:?} tokens and are told that their budget is spent"
    ));
    thread::sleep(Duration::from_millis(38_000));
    if has_trouble {
        let version = configuration(2, whole)
            .replace("/talk/", "/other/")
            .replace("\"retention_s\":60", "\"retention_s\":0");
        deployment.store.write("op/config", &version);
        recorder.note("the operator writes version 2, which removes the programs' route");
    }
    thread::sleep(Duration::from_millis(3_000));
    if has_trouble {
        deployment
            .store
            .write("op/config", &configuration(3, whole));
        recorder.note("the operator writes version 3, which adds the route again");
    }
    thread::sleep(Duration::from_millis(3_000));
    recorder.note("the programs come back");
    let mut is_broken = false;
    for program in 0..PROGRAMS {
        let more = run_until_refused(&recorder, &entries, program, 1_000);
        let all = tokens[program as usize] + more;
        let is_over = all > BUDGET + TURN_MAX;
        is_broken |= is_over;
        recorder.note(format!(
            "program {program}: {more} more tokens, {all} in all; its budget is {BUDGET} and one turn has {TURN_MAX} at most{}",
            if is_over { ": over its budget" } else { "" },
        ));
    }
    Ok(is_broken)
}

/// Runs the turns of a program until it gets 402; returns the tokens handed to its client.
fn run_until_refused(recorder: &Recorder, entries: &[SocketAddr], program: u64, first: u64) -> u64 {
    let mut tokens = 0;
    for turn in first..first + TURNS_MAX {
        let (status, got) = run_turn(recorder, entries, program, turn);
        tokens += got;
        if status == 402 {
            break;
        }
    }
    tokens
}

fn configuration(version: u64, target: &str) -> String {
    let services: Vec<String> = TOKENS
        .iter()
        .map(|(name, tokens)| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":490,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":96,\"kv_capacity\":213596,\"kv_token_bytes\":131072,\"link_mbps\":280000,\"moves\":true,\"backups\":true,\"tokens_per_event\":{tokens},\"most\":12,\"pin_ms\":4000,\"hold_ms\":2000,\"handle_s\":5,\"models\":[{{\"name\":\"m\"}}]}}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-talk\",\"host\":\"app.example\",\"prefix\":\"/talk/\",\"kind\":\"streaming\",\"timeout_ms\":6000,\"slo_ms\":200,\"priority\":0,{target},\"attempts\":1,\"retain\":false,\"retention_s\":60,\"public\":false,\"sticky\":true,\"can_resume\":true,\"gap_aim_ms\":200}}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"congress\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":400,\"burst\":400}}]}}",
        services.join(",")
    )
}

/// Runs one turn, sent once more after a refusal; returns its status and the tokens handed over.
fn run_turn(recorder: &Recorder, entries: &[SocketAddr], program: u64, turn: u64) -> (u16, u64) {
    let mut tokens = 0;
    for attempt in 0..3 {
        let entry = entries[((program + turn + attempt) % entries.len() as u64) as usize];
        let id = format!("{program:04x}{turn:04x}{attempt:04x}");
        let at = recorder.now();
        let fields = [
            ("Host", "app.example".to_owned()),
            ("Authorization", format!("Bearer {KEY}")),
            ("X-Ibisdale-Attempt-Id", id.clone()),
            ("X-Ibisdale-Model", "m".to_owned()),
            ("X-Ibisdale-Program-Id", format!("program-{program}")),
            ("X-Ibisdale-Session-Id", format!("session-{program}")),
            ("X-Ibisdale-Finish-Ms", "30000".to_owned()),
            ("X-Ibisdale-Token-Budget", BUDGET.to_string()),
            ("X-Ibisdale-Token-Usage", format!("100,{TURN_MAX}")),
            (
                "X-Ibisdale-Prompt-Prefix",
                format!("5c1e07a2:80,{program:x}{turn:03x}:20"),
            ),
            ("X-Ibisdale-Deadline-Ms", "6000".to_owned()),
        ];
        let answer = http::call(
            entry,
            "POST",
            "/talk/t",
            &fields,
            b"hello",
            Duration::from_secs(7),
        );
        let (service, got) = count_tokens(&answer);
        tokens += got;
        recorder.add_sent(Sent {
            at,
            attempt: id,
            part: format!("turn {turn} of program-{program}; {got} tokens from {service}"),
            machine: entry.to_string(),
            status: answer.status,
            got: events(&answer),
            is_whole: answer.is_whole,
            took_ms: answer.took.as_millis() as u64,
        });
        if answer.status == 402 || (answer.status == 200 && answer.is_whole) {
            return (answer.status, tokens);
        }
        thread::sleep(Duration::from_millis(200));
    }
    (0, tokens)
}

fn events(answer: &Answer) -> u64 {
    let text = String::from_utf8_lossy(&answer.body);
    text.matches("\n\n").count() as u64
}

/// Returns the service that sent the events, by its signature, and their tokens.
fn count_tokens(answer: &Answer) -> (&'static str, u64) {
    let seal = answer.head.get("x-ibisdale-response-seal");
    let service = match seal.split('.').nth(1) {
        Some("i-100" | "i-101") => TOKENS[0],
        Some("i-102" | "i-103") => TOKENS[1],
        _ => return ("no replica", 0),
    };
    (service.0, events(answer) * service.1)
}
