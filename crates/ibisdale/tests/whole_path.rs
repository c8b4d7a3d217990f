//! The command against a real daemon with stand-ins around it.

mod support;

use std::fs;
use std::net::SocketAddr;
use std::process::Output;
use std::time::Duration;

use ibisdale_daemon::{DaemonOptions, RunningDaemon};
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::wire::{VmEntry, VmState};
use ibisdale_settings::DaemonSettings;
use ibisdale_standins::{
    EngineOptions, EngineServer, KvServer, ServiceOptions, ServiceServer, VmListServer,
};
use serde_json::Value;
use support::{example, ibisdale, operate, transcript};
use tempfile::TempDir;

const CLAIM_INTERVAL: Duration = Duration::from_millis(2);
const POLL: Duration = Duration::from_millis(5);
const ORDERS_CREDENTIAL: &str = "example-orders-credential";

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A daemon with the example's file on free ports.
struct ExampleFleet {
    daemon: RunningDaemon,
    _kv: KvServer,
    _vms: VmListServer,
    _engine: EngineServer,
    orders: ServiceServer,
    _folder: TempDir,
}

impl ExampleFleet {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let executor = TrafficExecutor::default();
        let driver = TrafficExecutor::clone(&executor);
        std::thread::spawn(move || {
            smol::block_on(driver.run(std::future::pending::<()>()));
        });
        let kv = KvServer::start(any_address(), &executor).unwrap();
        let vms = VmListServer::start(any_address(), &executor).unwrap();
        let options = EngineOptions::new().model("small");
        let engine = EngineServer::start(any_address(), &executor, options).unwrap();
        let options = ServiceOptions::new().credential(ORDERS_CREDENTIAL);
        let orders = ServiceServer::start(any_address(), &executor, options).unwrap();
        vms.add_vm(vm("engine-1", "models/small", engine.get_address()));
        vms.add_vm(vm("orders-1", "services/orders", orders.get_address()));
        let daemon = start_daemon(&folder, &kv, &vms);
        Self {
            daemon,
            _kv: kv,
            _vms: vms,
            _engine: engine,
            orders,
            _folder: folder,
        }
    }

    fn operate(&self, args: &[&str]) -> Output {
        operate(self.daemon.get_operator_address(), args)
    }

    /// Runs an operators' command that must succeed and reads its JSON.
    fn read(&self, args: &[&str]) -> Value {
        let mut args = args.to_vec();
        args.extend(["--format", "json"]);
        let output = self.operate(&args);
        assert!(output.status.success(), "{}", transcript(&output));
        serde_json::from_slice(&output.stdout).unwrap()
    }

    fn run(&self, program: &str, key_file: &str) -> Output {
        let entry = self.daemon.get_entry_address().to_string();
        let args = ["run", program, "--entry", &entry, "--key-file", key_file];
        ibisdale(&[&args[..], &["--format", "json"]].concat())
    }
}

fn vm(name: &str, group: &str, address: SocketAddr) -> VmEntry {
    VmEntry {
        name: name.to_owned(),
        group: group.to_owned(),
        address,
        failure_domain: "north".to_owned(),
        region: "west".to_owned(),
        state: VmState::Live,
    }
}

fn start_daemon(folder: &TempDir, kv: &KvServer, vms: &VmListServer) -> RunningDaemon {
    let text = fs::read_to_string(example("daemon-a.ini")).unwrap();
    let mut settings = DaemonSettings::parse("daemon-a.ini", &text).unwrap();
    settings.entry_address = any_address();
    settings.fleet_address = any_address();
    settings.operator_address = any_address();
    settings.key_value_endpoints = vec![kv.get_address()];
    settings.vm_list_address = vms.get_address();
    settings.trace_file = None;
    settings.data_folder = Some(folder.path().join("a"));
    let options = DaemonOptions::new(settings)
        .address_keep(Duration::ZERO)
        .claim_interval(CLAIM_INTERVAL);
    let daemon = RunningDaemon::start(options).unwrap();
    while !daemon.is_ready() {
        std::thread::sleep(POLL);
    }
    daemon
}

/// The example settings without what stands in files elsewhere.
fn settings_file(folder: &TempDir) -> String {
    let text = fs::read_to_string(example("settings.ini")).unwrap();
    let text = text.replace("examples/keys/orders.key", &example("keys/orders.key"));
    let path = folder.path().join("settings.ini");
    fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test]
fn settings_keys_and_a_program_go_all_the_way() {
    let fleet = ExampleFleet::start();
    let folder = tempfile::tempdir().unwrap();
    let file = settings_file(&folder);
    let program = example("program.json");

    assert_eq!(
        fleet.read(&["apply", &file, "--note", "first"])["revision"],
        1
    );
    let conflict = fleet.operate(&["apply", &file, "--expect", "0"]);
    assert_eq!(conflict.status.code(), Some(4), "{}", transcript(&conflict));
    assert_eq!(fleet.operate(&["diff", &file]).status.code(), Some(0));

    let granted = fleet.read(&["key", "grant", "kermesse", "web"]);
    let key_file = folder.path().join("web.key");
    fs::write(&key_file, granted["secret"].as_str().unwrap()).unwrap();
    let key_file = key_file.display().to_string();
    let output = fleet.run(&program, &key_file);
    assert!(output.status.success(), "{}", transcript(&output));
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let steps = report["steps"].as_array().unwrap();
    let targets: Vec<&str> = steps
        .iter()
        .filter_map(|step| step["target"].as_str())
        .collect();
    insta::assert_snapshot!(targets.join("\n"), @r##"
    chat small
    chat small
    call orders/book
    chat small
    "##);
    let counters = fleet.orders.get_counters();
    assert_eq!((counters.requests, counters.foreign_keys), (1, 0));
    assert_eq!(counters.executions.into_values().collect::<Vec<u64>>(), [1]);

    let withdrawn = fleet.read(&["key", "withdraw", "kermesse", "web"]);
    assert_eq!(withdrawn["revision"], 3);
    let output = fleet.run(&program, &key_file);
    assert_eq!(output.status.code(), Some(3), "{}", transcript(&output));
    assert!(transcript(&output).contains("withdrawn_key"));

    assert_eq!(fleet.read(&["rollback", "1"])["revision"], 4);
    let history = fleet.read(&["history"]);
    let notes: Vec<&str> = history["revisions"]
        .as_array()
        .unwrap()
        .iter()
        .filter_map(|revision| revision["note"].as_str())
        .collect();
    insta::assert_snapshot!(notes.join("\n"), @r##"
    rollback to revision 1
    key web of kermesse withdrawn
    key web of kermesse granted
    first
    "##);
    let status = fleet.read(&["status"]);
    assert_eq!(
        (&status["name"], &status["settings_revision"]),
        (&"a".into(), &4.into())
    );
    fleet.daemon.close();
}
