//! Daemons as processes, with the platform's stand-ins in this process.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode};
use ibisdale_core::SLOT_COUNT;
use ibisdale_net::{ClientConnection, ConnectOptions, TrafficExecutor, full_body, read_limited};
use ibisdale_platform::wire::{VmEntry, VmState};
use ibisdale_settings::KeyHash;
use ibisdale_standins::{KvServer, VmListServer};
use serde_json::Value;

use super::process::{ProcessUse, read_use};

const OPERATOR_KEY: &str = "operator-key";
const DOMAIN_COUNT: u16 = 4;
const STANDIN_THREADS: usize = 2;
pub(crate) const ENTRY_PORT: u16 = 7_101;
const FLEET_PORT: u16 = 7_201;
const OPERATOR_PORT: u16 = 7_301;
const ANSWER_MAX_BYTES: usize = 4 * 1_024 * 1_024;
/// Time after which a wait is given up.
const GIVE_UP_TIME: Duration = Duration::from_secs(90);
/// Time in which daemons may end of themselves; no daemon is left that could
/// take their slots.
const END_TIME: Duration = Duration::from_secs(8);
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// What all daemons sent to one another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSent {
    pub(crate) messages: f64,
    pub(crate) bytes: f64,
}

/// A running fleet.
pub(crate) struct TestFleet {
    pub(crate) kv: KvServer,
    pub(crate) vms: VmListServer,
    executor: TrafficExecutor,
    daemons: Vec<DaemonProcess>,
    _folder: tempfile::TempDir,
}

struct DaemonProcess {
    child: Child,
    host: Ipv4Addr,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // A process that has ended already needs no more.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl TestFleet {
    /// Starts `size` daemons with neither settings nor upstreams.
    pub(crate) fn start(size: u16) -> Self {
        let executor = start_executor();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let kv = KvServer::start(any, &executor).expect("a free port");
        let vms = VmListServer::start(any, &executor).expect("a free port");
        let folder = tempfile::tempdir().expect("a folder");
        vms.set_vms((0..size).map(vm_entry).collect());
        let start = |number| start_daemon(number, folder.path(), &kv, &vms);
        let daemons = (0..size).map(start).collect();
        Self {
            kv,
            vms,
            executor,
            daemons,
            _folder: folder,
        }
    }

    /// Returns the executor of the stand-ins and of the calls.
    pub(crate) fn get_executor(&self) -> &TrafficExecutor {
        &self.executor
    }

    /// Returns the number of daemons.
    pub(crate) fn size(&self) -> u32 {
        u32::try_from(self.daemons.len()).unwrap_or(u32::MAX)
    }

    /// Waits until every slot has an owner and all daemons know one another.
    pub(crate) fn wait_slots(&self) {
        let size = self.daemons.len();
        self.wait_until("every slot has an owner", || {
            let statuses: Vec<Value> = self.statuses();
            let owned: u64 = statuses
                .iter()
                .filter_map(|status| status["slots_owned"].as_u64())
                .sum();
            let is_known =
                |status: &Value| status["members"].as_array().map_or(0, Vec::len) == size;
            owned == u64::from(SLOT_COUNT) && statuses.iter().all(is_known)
        });
    }

    /// Applies settings at one daemon; returns the time until all have them.
    pub(crate) fn apply_settings(&self, settings: &str) -> Duration {
        let body = serde_json::json!({"file": "settings.ini", "text": settings, "author": "bench"});
        let started = Instant::now();
        let path = "/admin/v1/settings";
        let (status, text) = self
            .send(self.daemons[0].host, Method::PUT, path, &body.to_string())
            .expect("an answer");
        assert_eq!(status, StatusCode::OK, "{text}");
        self.wait_until("all daemons have the settings", || {
            let statuses = self.statuses();
            let mut revisions = statuses
                .iter()
                .map(|status| status["settings_revision"].as_u64());
            statuses.len() == self.daemons.len() && revisions.all(|revision| revision >= Some(1))
        });
        started.elapsed()
    }

    /// Reads what the daemons' processes have used.
    pub(crate) fn read_uses(&self) -> Vec<ProcessUse> {
        let pids = self.daemons.iter().map(|daemon| daemon.child.id());
        pids.map(read_use).collect()
    }

    /// Reads what all daemons have sent to one another.
    pub(crate) fn read_sent(&self) -> FleetSent {
        let texts = self.daemons.iter().map(|daemon| {
            let answer = self.send(daemon.host, Method::GET, "/metrics", "");
            answer.expect("metrics").1
        });
        let texts: Vec<String> = texts.collect();
        let sum = |name: &str| texts.iter().map(|text| sum_metric(text, name)).sum();
        FleetSent {
            messages: sum("ibisdale_fleet_messages_total{"),
            bytes: sum("ibisdale_fleet_bytes_total{"),
        }
    }

    /// Asks all daemons to leave, waits a while and ends the processes.
    pub(crate) fn close(mut self) {
        for daemon in &self.daemons {
            // One that does not answer is ended below.
            let _ = self.send(daemon.host, Method::POST, "/admin/v1/drain", "");
        }
        let given_up = Instant::now() + END_TIME;
        for daemon in &mut self.daemons {
            while matches!(daemon.child.try_wait(), Ok(None)) && Instant::now() < given_up {
                std::thread::sleep(LOOK_INTERVAL);
            }
        }
    }

    fn statuses(&self) -> Vec<Value> {
        let answers = self.daemons.iter().filter_map(|daemon| {
            let (_, text) = self.send(daemon.host, Method::GET, "/admin/v1/status", "")?;
            serde_json::from_str(&text).ok()
        });
        answers.collect()
    }

    fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        let given_up = Instant::now() + GIVE_UP_TIME;
        while !condition() {
            assert!(
                Instant::now() < given_up,
                "never happened: {what}, {:?}",
                self.statuses().first()
            );
            std::thread::sleep(LOOK_INTERVAL);
        }
    }

    fn send(
        &self,
        host: Ipv4Addr,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<(StatusCode, String)> {
        let address = SocketAddr::from((host, OPERATOR_PORT));
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("if-match", "\"0\"")
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .body(full_body(body.to_owned()))
            .expect("a request");
        smol::block_on(async {
            let opened = ClientConnection::open(address, &self.executor, ConnectOptions::new());
            let response = opened.await.ok()?.send(request).await.ok()?;
            let status = response.status();
            let text = read_limited(response.into_body(), ANSWER_MAX_BYTES)
                .await
                .ok()?;
            Some((status, String::from_utf8_lossy(&text).into_owned()))
        })
    }
}

fn start_executor() -> TrafficExecutor {
    let executor = TrafficExecutor::default();
    for _ in 0..STANDIN_THREADS {
        let executor = TrafficExecutor::clone(&executor);
        std::thread::spawn(move || {
            smol::block_on(executor.run(std::future::pending::<()>()));
        });
    }
    executor
}

fn sum_metric(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Returns the host of a daemon: each has its own, so that no port is taken.
pub(crate) fn host(number: u16) -> Ipv4Addr {
    let [high, low] = number.to_be_bytes();
    Ipv4Addr::new(127, 77, high, low + 1)
}

fn domain(number: u16) -> String {
    format!("domain-{}", number % DOMAIN_COUNT)
}

fn vm_entry(number: u16) -> VmEntry {
    VmEntry {
        name: format!("daemon-{number}"),
        group: "daemons".to_owned(),
        address: SocketAddr::from((host(number), FLEET_PORT)),
        failure_domain: domain(number),
        region: "r".to_owned(),
        state: VmState::Live,
    }
}

fn start_daemon(number: u16, folder: &Path, kv: &KvServer, vms: &VmListServer) -> DaemonProcess {
    let host = host(number);
    let path = folder.join(format!("daemon-{number}.ini"));
    let text = format!(
        "[/daemon]\nname = daemon-{number}\nfailure_domain = {}\nregion = r\n\
         entry_address = {host}:{ENTRY_PORT}\nfleet_address = {host}:{FLEET_PORT}\n\
         operator_address = {host}:{OPERATOR_PORT}\noperator_key_hash = {}\n\
         data_folder = {}\n\
         [/platform]\nkey_value_endpoints = {}\nvm_list_address = {}\n\
         [/log]\nlog_level = error\n",
        domain(number),
        KeyHash::of(OPERATOR_KEY.as_bytes()),
        folder.join(format!("data-{number}")).display(),
        kv.get_address(),
        vms.get_address(),
    );
    std::fs::write(&path, text).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_ibisdaled"));
    command
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    let child = command.spawn().expect("the daemon starts");
    DaemonProcess { child, host }
}
