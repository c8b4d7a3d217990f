//! A tenant that presses against its quota.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::http;
use crate::record::{Recorder, Sent};

const TENANT: &str = "congress";
const KEY: &str = "key-of-congress";
const RATE_PER_S: u64 = 40;
const BURST: u64 = 200;
/// `quota_window_s` of the settings.
const WINDOW_MS: u64 = 5_000;
const CLIENTS: u64 = 24;

/// The most requests of a window: (rate x window + burst) x (1 + `quota_excess`) + `quota_slack`.
fn bound() -> u64 {
    (RATE_PER_S * WINDOW_MS / 1_000 + BURST) * 11 / 10 + 20
}

fn configuration(version: u64, has_tenant: bool) -> String {
    let tenant = format!(
        "{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":{RATE_PER_S},\"burst\":{BURST}}},"
    );
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-look\",\"host\":\"app.example\",\"prefix\":\"/look/\",\"kind\":\"idempotent\",\"timeout_ms\":1500,\"slo_ms\":250,\"priority\":2,\"service\":\"app\",\"attempts\":2,\"public\":false,\"sticky\":false}}],\"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":400,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}{{\"name\":\"calm\",\"api_keys\":[\"key-of-calm\"],\"rate_per_s\":40,\"burst\":40}}]}}",
        if has_tenant { tenant.as_str() } else { "" }
    )
}

fn start(deployment: &mut Deployment, vms: u8) -> std::io::Result<()> {
    for last in 100..104 {
        deployment.add_replica(last, "app", 5, 0, 0)?;
    }
    deployment.store.write("op/config", &configuration(1, true));
    deployment.start_vms(vms)
}

/// The operator takes the tenant out of the configuration and puts it back.
pub fn run_readded(deployment: &mut Deployment, has_trouble: bool) -> crate::Verdict {
    start(deployment, 4)?;
    let crowd = Crowd::start(deployment);
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        deployment
            .store
            .write("op/config", &configuration(2, false));
        deployment
            .recorder
            .note("the operator writes version 2, without the tenant");
    }
    thread::sleep(Duration::from_millis(700));
    if has_trouble {
        deployment.store.write("op/config", &configuration(3, true));
        deployment
            .recorder
            .note("the operator writes version 3, with the tenant as it was");
    }
    thread::sleep(Duration::from_millis(4_000));
    crowd.stop();
    Ok(judge(&deployment.recorder))
}

/// All processes are killed at the same moment while the store is down for a few seconds.
pub fn run_restart(deployment: &mut Deployment, has_trouble: bool) -> crate::Verdict {
    const VMS: usize = 7;
    start(deployment, VMS as u8)?;
    let crowd = Crowd::start(deployment);
    thread::sleep(Duration::from_millis(1_000));
    if has_trouble {
        deployment.store.set_down(true);
        deployment
            .recorder
            .note("the store answers every call with 503");
        thread::sleep(Duration::from_millis(100));
        deployment.kill_vms(0..VMS);
        deployment
            .recorder
            .note("the processes of all machines are killed");
        thread::sleep(Duration::from_millis(300));
        for index in 0..VMS {
            deployment.start_vm(index)?;
        }
        deployment
            .recorder
            .note("the processes of all machines are started again");
        thread::sleep(Duration::from_millis(2_200));
        deployment.store.set_down(false);
        deployment.recorder.note("the store serves again");
    } else {
        thread::sleep(Duration::from_millis(2_600));
    }
    thread::sleep(Duration::from_millis(4_000));
    crowd.stop();
    Ok(judge(&deployment.recorder))
}

/// Clients of the tenant that send more than its quota allows.
struct Crowd {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    fn start(deployment: &Deployment) -> Self {
        deployment
            .recorder
            .note("the clients of the tenant begin to press");
        let stop = Arc::new(AtomicBool::new(false));
        let ids = Arc::new(AtomicU64::new(1));
        let clients = (0..CLIENTS).map(|number| {
            let (stop, ids) = (Arc::clone(&stop), Arc::clone(&ids));
            let (recorder, ips) = (deployment.recorder.clone(), deployment.ips());
            thread::spawn(move || press(number, &stop, &ids, &recorder, &ips))
        });
        Self {
            clients: clients.collect(),
            stop,
        }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
    }
}

/// Sends one request after the other, each to an address that the directory gave.
fn press(number: u64, stop: &AtomicBool, ids: &AtomicU64, recorder: &Recorder, ips: &[Ipv4Addr]) {
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut asked = Instant::now();
    let mut directories = ips.to_vec();
    directories.rotate_left(number as usize % ips.len());
    directories.truncate(3);
    let mut turn = number as usize;
    while !stop.load(Ordering::Relaxed) {
        if addresses.is_empty() || asked.elapsed() > Duration::from_secs(1) {
            let found = Deployment::resolve(&directories);
            asked = Instant::now();
            if !found.is_empty() {
                addresses = found;
            } else if addresses.is_empty() {
                thread::sleep(Duration::from_millis(100));
                continue;
            }
        }
        turn += 1;
        let address = addresses[turn % addresses.len()];
        let id = format!("{:08x}", ids.fetch_add(1, Ordering::Relaxed));
        let at = recorder.now();
        let fields = [
            ("Host", "app.example".to_owned()),
            ("Authorization", format!("Bearer {KEY}")),
            ("X-Ibisdale-Attempt-Id", id.clone()),
            ("X-Ibisdale-Deadline-Ms", "1500".to_owned()),
        ];
        let answer = http::call(
            address,
            "GET",
            "/look/a",
            &fields,
            b"",
            Duration::from_millis(1_600),
        );
        recorder.add_sent(Sent {
            at,
            attempt: id,
            part: format!("client {number}"),
            machine: address.to_string(),
            status: answer.status,
            got: answer.body.len() as u64,
            is_whole: answer.is_whole,
            took_ms: answer.took.as_millis() as u64,
        });
        if answer.is_unreached {
            addresses.retain(|known| *known != address);
        }
        if answer.status != 200 {
            // Clients honour `Retry-After` up to a third of the time that they have left.
            let after: f64 = answer.head.get("retry-after").parse().unwrap_or(0.1);
            thread::sleep(Duration::from_secs_f64(after.clamp(0.05, 0.5)));
        }
    }
}

/// Looks for the window with the most requests that were sent and arrived in it.
fn judge(recorder: &Recorder) -> bool {
    let sent = recorder.sent();
    let sent_at: std::collections::HashMap<&str, u64> = sent
        .iter()
        .map(|sent| (sent.attempt.as_str(), sent.at))
        .collect();
    let mut requests: std::collections::HashMap<String, (u64, u64)> = Default::default();
    for run in recorder.runs().iter().filter(|run| run.tenant == TENANT) {
        if let Some(at) = sent_at.get(run.attempt.as_str()) {
            requests.entry(run.attempt.clone()).or_insert((*at, run.at));
        }
    }
    let requests: Vec<(u64, u64)> = requests.into_values().collect();
    let count = |from: u64| {
        let inside = requests.iter();
        let inside = inside.filter(|(sent, run)| *sent >= from && *run < from + WINDOW_MS);
        inside.count() as u64
    };
    let most = requests.iter().map(|(sent, _)| (count(*sent), *sent)).max();
    let (most, from) = most.unwrap_or((0, 0));
    recorder.note(format!(
        "in the {} s from {:.3} s on, {most} requests of the tenant were sent and run; the rule allows {}",
        WINDOW_MS / 1_000,
        from as f64 / 1_000.0,
        bound()
    ));
    most > bound()
}
