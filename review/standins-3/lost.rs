//! Clients that take up their streams at a machine that goes on when most others are killed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Vm};
use crate::http::{self, Answer};
use crate::record::{Recorder, Sent};

const KEY: &str = "key-of-congress";
const VMS: usize = 7;
/// The machine that goes on.
const SURVIVOR: usize = 6;
const CLIENTS: u64 = 160;
/// Tokens that all turns of a program may generate.
const BUDGET: u64 = 2_000;
/// Tokens that one turn generates, two an event.
const TURN_MAX: u64 = 100;
const TURNS_OF_PROGRAM: u64 = 4;
/// Fewest streams that are taken up for which the rule holds.
const TAKEN_UP_MIN: usize = 12;

pub fn run_take_up(deployment: &mut Deployment, has_trouble: bool) -> crate::Verdict {
    for last in 100..106 {
        deployment.add_replica(last, "model", 60, 30, 2)?;
    }
    deployment.store.write("op/config", CONFIGURATION);
    deployment.start_vms(VMS as u8)?;
    let recorder = deployment.recorder.clone();
    let entries: Vec<SocketAddr> = deployment.vms.iter().map(Vm::entry).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let ids = Arc::new(AtomicU64::new(1));
    let clients = (0..CLIENTS).map(|number| {
        let (recorder, entries) = (recorder.clone(), entries.clone());
        let (stop, ids) = (Arc::clone(&stop), Arc::clone(&ids));
        thread::spawn(move || run_client(number, &stop, &ids, &recorder, &entries))
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(Duration::from_secs(10));
    let killed_at = recorder.now();
    if has_trouble {
        deployment.kill_vms((0..VMS).filter(|index| *index != SURVIVOR));
        recorder.note("the processes of six of the seven machines are killed");
        thread::sleep(Duration::from_millis(1_000));
        for index in (0..VMS).filter(|index| *index != SURVIVOR) {
            deployment.start_vm(index)?;
        }
        recorder.note("they are started again");
    } else {
        thread::sleep(Duration::from_millis(1_000));
    }
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Ok(judge(&recorder, &entries[SURVIVOR].to_string(), killed_at))
}

const CONFIGURATION: &str = "{\"version\":1,\"routes\":[{\"name\":\"r-talk\",\"host\":\"app.example\",\"prefix\":\"/talk/\",\"kind\":\"streaming\",\"timeout_ms\":6000,\"slo_ms\":200,\"priority\":0,\"service\":\"model\",\"attempts\":1,\"retain\":false,\"retention_s\":60,\"public\":false,\"sticky\":true,\"can_resume\":true,\"gap_aim_ms\":200}],\"services\":[{\"name\":\"model\",\"health_path\":\"/health\",\"max_conns\":490,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":96,\"kv_capacity\":213596,\"kv_token_bytes\":131072,\"link_mbps\":280000,\"moves\":true,\"backups\":true,\"tokens_per_event\":2,\"most\":12,\"pin_ms\":4000,\"hold_ms\":2000,\"handle_s\":5,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"congress\",\"api_keys\":[\"key-of-congress\"],\"rate_per_s\":600,\"burst\":600}]}";

/// Runs programs of a few turns each, one after the other.
fn run_client(
    number: u64,
    stop: &AtomicBool,
    ids: &AtomicU64,
    recorder: &Recorder,
    entries: &[SocketAddr],
) {
    // The clients don't begin together.
    thread::sleep(Duration::from_millis(number * 12));
    let mut programs = 0;
    while !stop.load(Ordering::Relaxed) {
        programs += 1;
        let program = format!("p-{number}-{programs}");
        for turn in 0..TURNS_OF_PROGRAM {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            run_turn(&program, (number + turn) as usize, ids, recorder, entries);
            thread::sleep(Duration::from_millis(60));
        }
    }
}

/// Runs one turn: a client attempt and one retry, which takes the stream up if it had begun.
fn run_turn(
    program: &str,
    first: usize,
    ids: &AtomicU64,
    recorder: &Recorder,
    entries: &[SocketAddr],
) {
    let mut choices: Vec<SocketAddr> = entries.to_vec();
    choices.rotate_left(first % entries.len());
    let mut began: Option<(String, u64)> = None;
    let mut tries = 0;
    while tries < 2 && !choices.is_empty() {
        // Addresses that have failed are not asked again.
        let entry = choices.remove(0);
        let id = format!("{:08x}", ids.fetch_add(1, Ordering::Relaxed));
        let at = recorder.now();
        let mut fields = vec![
            ("Host", "app.example".to_owned()),
            ("Authorization", format!("Bearer {KEY}")),
            ("X-Ibisdale-Attempt-Id", id.clone()),
            ("X-Ibisdale-Model", "m".to_owned()),
            ("X-Ibisdale-Program-Id", program.to_owned()),
            ("X-Ibisdale-Session-Id", format!("s-{program}")),
            ("X-Ibisdale-Finish-Ms", "20000".to_owned()),
            ("X-Ibisdale-Token-Budget", BUDGET.to_string()),
            ("X-Ibisdale-Token-Usage", format!("100,{TURN_MAX}")),
            ("X-Ibisdale-Prompt-Prefix", "5c1e07a2:80,9a3b:20".to_owned()),
            ("X-Ibisdale-Deadline-Ms", "6000".to_owned()),
        ];
        if let Some((attempt, last)) = &began {
            fields.push(("Resumes", attempt.clone()));
            fields.push(("Last-Event-Id", last.to_string()));
        }
        let body = format!("turn of {program}");
        let answer = http::call(
            entry,
            "POST",
            "/talk/t",
            &fields,
            body.as_bytes(),
            Duration::from_secs(7),
        );
        if answer.is_unreached {
            // Nothing was sent; the client connects elsewhere.
            continue;
        }
        tries += 1;
        let got = events(&answer);
        let part = if began.is_some() { "taken up" } else { "new" };
        recorder.add_sent(Sent {
            at,
            attempt: id.clone(),
            part: part.to_owned(),
            machine: entry.to_string(),
            status: answer.status,
            got,
            is_whole: answer.is_whole,
            took_ms: answer.took.as_millis() as u64,
        });
        if answer.status == 200 && answer.is_whole {
            return;
        }
        if got > 0 {
            let last = began.as_ref().map_or(0, |(_, last)| *last) + got;
            let attempt = began.take().map_or(id, |(attempt, _)| attempt);
            began = Some((attempt, last));
        }
        if answer.status == 0 || !answer.is_whole {
            // The client notices that its connection has ended and opens another one.
            thread::sleep(Duration::from_millis(20));
        }
        if answer.status == 503 {
            let after: f64 = answer.head.get("retry-after").parse().unwrap_or(0.1);
            thread::sleep(Duration::from_secs_f64(after.clamp(0.05, 1.0)));
        }
    }
}

fn events(answer: &Answer) -> u64 {
    let text = String::from_utf8_lossy(&answer.body);
    text.matches("\n\n").count() as u64
}

/// Compares the streams that were taken up at the machine that went on with the new ones.
fn judge(recorder: &Recorder, survivor: &str, killed_at: u64) -> bool {
    let sent = recorder.sent();
    let taken_up = sent
        .iter()
        .filter(|sent| sent.part == "taken up" && sent.machine == survivor && sent.at >= killed_at);
    let taken_up: Vec<_> = taken_up.collect();
    let went_on = taken_up.iter().filter(|sent| sent.got > 0).count();
    let new: Vec<_> = sent.iter().filter(|sent| sent.part == "new").collect();
    let begun = new.iter().filter(|sent| sent.got > 0).count();
    recorder.note(format!(
        "of {} streams that clients took up at the machine that went on, {went_on} went on; of {} new ones, {begun} began",
        taken_up.len(),
        new.len()
    ));
    let refused = taken_up.iter().filter(|sent| sent.status == 503).count();
    recorder.note(format!("{refused} of those taken up were answered 503"));
    let share = went_on as f64 / taken_up.len().max(1) as f64;
    let new_share = begun as f64 / new.len().max(1) as f64;
    taken_up.len() >= TAKEN_UP_MIN && share < new_share / 2.0
}
