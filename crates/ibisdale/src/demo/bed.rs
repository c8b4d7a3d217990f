//! The stand-ins and the daemon of the demonstration.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use http::HeaderValue;
use ibisdale_daemon::{DaemonOptions, RunningDaemon};
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::wire::{VmEntry, VmState};
use ibisdale_settings::{DaemonSettings, KeyHash};
use ibisdale_standins::{
    EngineOptions, EngineServer, KvServer, ServiceOptions, ServiceServer, VmListServer,
};

use crate::error::CommandError;

/// Key of the demonstration's operator.
const OPERATOR_KEY: &str = "demo-operator";
/// File of the daemon's spans.
const TRACE_FILE: &str = "trace.jsonl";
/// Threads that run the stand-ins.
const STANDIN_THREADS: usize = 2;
/// Engines of the demonstration.
const ENGINES: usize = 2;
/// Longest wait until the daemon can take programs.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks whether it can.
const READY_DELAY: Duration = Duration::from_millis(50);

/// What the demonstration runs on.
#[derive(Debug)]
pub(crate) struct DemoBed {
    daemon: RunningDaemon,
    _kv: KvServer,
    _vms: VmListServer,
    _engines: Vec<EngineServer>,
    orders: ServiceServer,
    trace_file: PathBuf,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn failed(what: &str, error: &dyn fmt::Display) -> CommandError {
    CommandError::ProgramFailed {
        message: format!("{what}: {error}"),
    }
}

/// Returns the header that presents a key.
pub(crate) fn key_value(key: &str) -> HeaderValue {
    let value = HeaderValue::from_str(&format!("Bearer {}", key.trim()));
    let mut value = value.unwrap_or_else(|_| HeaderValue::from_static("Bearer"));
    value.set_sensitive(true);
    value
}

fn start_executor() -> Result<TrafficExecutor, CommandError> {
    let executor = TrafficExecutor::default();
    for index in 0..STANDIN_THREADS {
        let executor = TrafficExecutor::clone(&executor);
        let builder = std::thread::Builder::new().name(format!("standins-{index}"));
        let thread =
            builder.spawn(move || smol::block_on(executor.run(std::future::pending::<()>())));
        thread.map_err(|error| failed("the stand-ins can't be started", &error))?;
    }
    Ok(executor)
}

fn vm_entry(name: String, group: &str, address: SocketAddr) -> VmEntry {
    VmEntry {
        name,
        group: group.to_owned(),
        address,
        failure_domain: "demo".to_owned(),
        region: "demo".to_owned(),
        state: VmState::Live,
    }
}

fn daemon_settings(
    kv: &KvServer,
    vms: &VmListServer,
    folder: &Path,
) -> Result<DaemonSettings, CommandError> {
    // A file names fixed ports; the demonstration takes any free ones.
    let text = format!(
        "[/daemon]\nname = demo\nfailure_domain = demo\nregion = demo\n\
         entry_address = 127.0.0.1:1\nfleet_address = 127.0.0.1:2\n\
         operator_address = 127.0.0.1:3\noperator_key_hash = {}\ntraffic_threads = 2\n\
         data_folder = {}\n\
         [/platform]\nkey_value_endpoints = {}\nvm_list_address = {}\n\
         [/trace]\ntrace_file = {}\n",
        KeyHash::of(OPERATOR_KEY.as_bytes()),
        folder.display(),
        kv.get_address(),
        vms.get_address(),
        folder.join(TRACE_FILE).display(),
    );
    let settings = DaemonSettings::parse("demo.ini", &text);
    let settings = settings.map_err(|findings| CommandError::Findings { findings })?;
    Ok(DaemonSettings {
        entry_address: any_port(),
        fleet_address: any_port(),
        operator_address: any_port(),
        ..settings
    })
}

impl DemoBed {
    /// Starts the stand-ins and the daemon, and waits until it can take
    /// programs.
    pub(crate) fn start() -> Result<Self, CommandError> {
        let executor = start_executor()?;
        let start = |error: &dyn fmt::Display| failed("a stand-in can't be started", error);
        let kv = KvServer::start(any_port(), &executor).map_err(|error| start(&error))?;
        let vms = VmListServer::start(any_port(), &executor).map_err(|error| start(&error))?;
        let mut engines = Vec::new();
        for index in 0..ENGINES {
            let options = EngineOptions::new().model("small");
            let engine = EngineServer::start(any_port(), &executor, options)
                .map_err(|error| start(&error))?;
            vms.add_vm(vm_entry(
                format!("engine-{index}"),
                "models/small",
                engine.get_address(),
            ));
            engines.push(engine);
        }
        let orders = ServiceServer::start(any_port(), &executor, ServiceOptions::new())
            .map_err(|error| start(&error))?;
        vms.add_vm(vm_entry(
            "orders-1".to_owned(),
            "services/orders",
            orders.get_address(),
        ));
        let folder = std::env::temp_dir().join(format!("ibisdale-demo-{}", std::process::id()));
        std::fs::create_dir_all(&folder)
            .map_err(|error| failed("the demonstration's folder can't be made", &error))?;
        let trace_file = folder.join(TRACE_FILE);
        let settings = daemon_settings(&kv, &vms, &folder)?;
        let options = DaemonOptions::new(settings)
            .address_keep(Duration::ZERO)
            .claim_interval(Duration::from_millis(2));
        let daemon = RunningDaemon::start(options)
            .map_err(|error| failed("the daemon can't be started", &error))?;
        let bed = Self {
            daemon,
            _kv: kv,
            _vms: vms,
            _engines: engines,
            orders,
            trace_file,
        };
        bed.wait_ready()?;
        Ok(bed)
    }

    fn wait_ready(&self) -> Result<(), CommandError> {
        let mut waited = Duration::ZERO;
        while !self.daemon.is_ready() {
            if waited >= READY_LIMIT {
                return Err(failed(
                    "the daemon can't take programs",
                    &"it owns no slots",
                ));
            }
            smol::block_on(smol::Timer::after(READY_DELAY));
            waited += READY_DELAY;
        }
        Ok(())
    }

    pub(crate) fn get_entry_address(&self) -> SocketAddr {
        self.daemon.get_entry_address()
    }

    pub(crate) fn get_operator_address(&self) -> SocketAddr {
        self.daemon.get_operator_address()
    }

    /// Returns the header that presents the operator's key.
    pub(crate) fn operator_key() -> HeaderValue {
        key_value(OPERATOR_KEY)
    }

    /// Returns how often the order service ran the request it ran most.
    pub(crate) fn count_paid_executions(&self) -> u64 {
        self.orders.get_counters().get_most_executions()
    }

    /// Stops the daemon; returns the file with its spans.
    pub(crate) fn close(self) -> PathBuf {
        self.daemon.close();
        self.trace_file
    }
}

impl fmt::Display for DemoBed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "one daemon at {}, a key-value service, a VM list, {ENGINES} engines and an order \
             service run within this process",
            self.get_entry_address(),
        )
    }
}
