//! Streams that clients take up while replicas of a new software version replace the old ones.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Vm};
use crate::http::{self, Answer};
use crate::record::{Recorder, Sent};

const KEY: &str = "key-of-congress";
const STREAMS: usize = 16;
/// Most streams with events of two software versions that the rule allows.
const MIXED_MAX: usize = 2;
/// Time between events; a stream has 55 of them.
const PAUSE_MS: u64 = 100;
const TOKENS_MAX: u64 = 110;

pub fn run_timeout(deployment: &mut Deployment, has_trouble: bool) -> crate::Verdict {
    let times = (50, PAUSE_MS);
    let old = [
        deployment.add_replica_of("v1", 100, "model", times, 2, 0)?,
        deployment.add_replica_of("v1", 101, "model", times, 2, 0)?,
    ];
    deployment
        .store
        .write("op/config", &configuration(1, 6_000));
    deployment.start_vms(4)?;
    let recorder = deployment.recorder.clone();
    let entries: Vec<SocketAddr> = deployment.vms.iter().map(Vm::entry).collect();
    let clients = (0..STREAMS).map(|number| {
        let (recorder, entries) = (recorder.clone(), entries.clone());
        thread::spawn(move || run_stream(number, &recorder, &entries))
    });
    let clients: Vec<_> = clients.collect();
    recorder.note(format!(
        "{STREAMS} clients begin a stream each, at replicas of v1"
    ));
    thread::sleep(Duration::from_millis(400));
    deployment.add_replica_of("v2", 102, "model", times, 2, 0)?;
    deployment.add_replica_of("v2", 103, "model", times, 2, 0)?;
    recorder.note("two replicas of v2 register");
    thread::sleep(Duration::from_millis(400));
    deployment.store.remove("servers/i-100");
    deployment.store.remove("servers/i-101");
    recorder.note("the entries of the replicas of v1 are removed; they go on serving");
    thread::sleep(Duration::from_millis(200));
    if has_trouble {
        deployment
            .store
            .write("op/config", &configuration(2, 1_000));
        recorder.note(
            "the operator writes version 2, which changes the route's time-out from 6 s to 1 s",
        );
    }
    thread::sleep(Duration::from_millis(3_500));
    old.iter().for_each(crate::replica::ReplicaExit::exit);
    recorder.note("the replicas of v1 exit");
    let mut mixed = 0;
    let mut taken_up = 0;
    for client in clients {
        let versions = client.join().unwrap_or_default();
        taken_up += usize::from(versions.len() > 1);
        mixed +=
            usize::from(versions.contains(&"v1".to_owned()) && versions.contains(&"v2".to_owned()));
    }
    recorder.note(format!(
        "{mixed} streams hold events of v1 and of v2; the rule allows {MIXED_MAX}; {taken_up} streams went on after they had broken off"
    ));
    Ok(mixed > MIXED_MAX)
}

fn configuration(version: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-talk\",\"host\":\"app.example\",\"prefix\":\"/talk/\",\"kind\":\"streaming\",\"timeout_ms\":{timeout_ms},\"slo_ms\":200,\"priority\":0,\"service\":\"model\",\"attempts\":1,\"retain\":false,\"retention_s\":60,\"public\":false,\"sticky\":true,\"can_resume\":true,\"gap_aim_ms\":200}}],\"services\":[{{\"name\":\"model\",\"health_path\":\"/health\",\"max_conns\":490,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":96,\"kv_capacity\":213596,\"kv_token_bytes\":131072,\"link_mbps\":280000,\"moves\":true,\"backups\":true,\"tokens_per_event\":2,\"most\":12,\"pin_ms\":4000,\"hold_ms\":2000,\"handle_s\":5,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"congress\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":400,\"burst\":400}}]}}"
    )
}

/// Runs a stream and takes it up once if it breaks off; returns the version of each part.
fn run_stream(number: usize, recorder: &Recorder, entries: &[SocketAddr]) -> Vec<String> {
    let mut versions = Vec::new();
    let mut first = String::new();
    let mut last = 0;
    for attempt in 0..2 {
        let entry = entries[(number + attempt) % entries.len()];
        let id = format!("{number:04x}{attempt:04x}");
        let at = recorder.now();
        let mut fields = vec![
            ("Host", "app.example".to_owned()),
            ("Authorization", format!("Bearer {KEY}")),
            ("X-Ibisdale-Attempt-Id", id.clone()),
            ("X-Ibisdale-Model", "m".to_owned()),
            ("X-Ibisdale-Token-Usage", format!("100,{TOKENS_MAX}")),
            ("X-Ibisdale-Prompt-Prefix", "5c1e07a2:80,9a3b:20".to_owned()),
            (
                "X-Ibisdale-Deadline-Ms",
                if attempt == 0 { "6000" } else { "1400" }.to_owned(),
            ),
        ];
        if last > 0 {
            fields.push(("Resumes", first.clone()));
            fields.push(("Last-Event-Id", last.to_string()));
        } else {
            first.clone_from(&id);
        }
        let answer = http::call(
            entry,
            "POST",
            "/talk/t",
            &fields,
            b"hello",
            Duration::from_secs(7),
        );
        let (got, version) = read_events(&answer);
        recorder.add_sent(Sent {
            at,
            attempt: id,
            part: format!(
                "stream {number}, part {attempt}, {got} events of '{version}' after event {last}"
            ),
            machine: entry.to_string(),
            status: answer.status,
            got,
            is_whole: answer.is_whole,
            took_ms: answer.took.as_millis() as u64,
        });
        if got > 0 {
            versions.push(version);
            last += got;
        }
        if answer.status == 200 && answer.is_whole {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    versions
}

/// Returns how many events came whole, and the software version that wrote them.
fn read_events(answer: &Answer) -> (u64, String) {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let version = text.split(" of ").nth(1).unwrap_or("");
    let version = version.split_whitespace().next().unwrap_or("").to_owned();
    (text.matches("\n\n").count() as u64, version)
}
