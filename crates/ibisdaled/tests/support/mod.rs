//! A fleet of daemon processes on stand-ins.

#![allow(dead_code, reason = "no test uses all of it")]

#[path = "../../../daemon/tests/support/bed.rs"]
mod bed;

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU8, Ordering};

#[allow(unused_imports, reason = "no test uses all of it")]
pub(crate) use bed::{Answer, Caller, KERMESSE_KEY, OPERATOR_KEY, TestBed, wait_until};
use bed::{apply_request, settings_text, vm};
use http::{Method, StatusCode};
use ibisdale_settings::KeyHash;
use ibisdale_standins::{DescriptorWatch, ProcessUsage};
use rustix::process::{Pid, Signal, kill_process};

/// A daemon process.
pub(crate) struct DaemonProcess {
    pub(crate) entry: SocketAddr,
    pub(crate) fleet: SocketAddr,
    pub(crate) operator: SocketAddr,
    child: Child,
}

/// Daemon processes with what they run on.
pub(crate) struct TestFleet {
    pub(crate) bed: TestBed,
    pub(crate) daemons: Vec<DaemonProcess>,
}

/// How a daemon of a fleet is set up.
struct DaemonPlan {
    name: &'static str,
    failure_domain: &'static str,
    is_holder: bool,
}

const PLANS: [DaemonPlan; 3] = [
    DaemonPlan {
        name: "a",
        failure_domain: "north",
        is_holder: true,
    },
    DaemonPlan {
        name: "b",
        failure_domain: "south",
        is_holder: true,
    },
    DaemonPlan {
        name: "c",
        failure_domain: "south",
        is_holder: false,
    },
];

/// Returns an IP number of this machine that no other test's daemon has.
fn own_ip() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(
        127,
        1 + high % 126,
        low,
        COUNT.fetch_add(1, Ordering::Relaxed),
    )
}

impl DaemonProcess {
    fn start(bed: &TestBed, plan: &DaemonPlan, limits: &str) -> Self {
        let ip = own_ip();
        let address = |port| SocketAddr::from((ip, port));
        let [entry, fleet, operator] = [address(7_101), address(7_201), address(7_301)];
        let folder = bed.folder().join(plan.name);
        let data = if plan.is_holder {
            format!(
                "data_folder = {}
",
                folder.display()
            )
        } else {
            String::new()
        };
        let text = format!(
            "[/daemon]\nname = {}\nfailure_domain = {}\nregion = west\n\
             entry_address = {entry}\nfleet_address = {fleet}\noperator_address = {operator}\n\
             operator_key_hash = {}\ntraffic_threads = 2\n{limits}{data}\
             [/platform]\nkey_value_endpoints = {}\nvm_list_address = {}\n\
             [/log]\nlog_level = info\nlog_file = {}\n",
            plan.name,
            plan.failure_domain,
            KeyHash::of(OPERATOR_KEY.as_bytes()),
            bed.kv.get_address(),
            bed.vms.get_address(),
            bed.folder().join(format!("{}.log", plan.name)).display(),
        );
        let file = bed.folder().join(format!("{}.ini", plan.name));
        std::fs::write(&file, text).expect("a file");
        bed.vms.add_vm(vm(plan.name, "daemons", fleet));
        let command = Command::new(env!("CARGO_BIN_EXE_ibisdaled"))
            .arg("--settings")
            .arg(&file)
            .spawn();
        Self {
            entry,
            fleet,
            operator,
            child: command.expect("the daemon starts"),
        }
    }

    /// Returns what the process uses.
    pub(crate) fn usage(&self) -> ProcessUsage {
        ProcessUsage::new(self.child.id())
    }

    /// Starts to count the open descriptors of the process.
    pub(crate) fn watch_descriptors(&self) -> DescriptorWatch {
        DescriptorWatch::start(self.usage())
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id())
            .ok()
            .and_then(Pid::from_raw)
            .expect("a pid");
        kill_process(pid, signal).expect("the signal is sent");
    }

    /// Stops the process where it is, until the pause is closed or dropped.
    pub(crate) fn pause(&self) -> PausedProcess<'_> {
        self.signal(Signal::STOP);
        PausedProcess(self)
    }

    /// Starts a graceful shutdown.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the end of the process; tells whether it ended by itself.
    pub(crate) fn wait_end(&mut self) -> bool {
        self.child.wait().expect("a status").success()
    }

    /// Kills the process at once.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        let _ = self.child.wait();
    }
}

/// A process that is stopped where it is.
///
/// It goes on when this is dropped, so that a failing test does not wait for it.
pub(crate) struct PausedProcess<'a>(&'a DaemonProcess);

impl PausedProcess<'_> {
    /// Lets the process go on.
    pub(crate) fn close(self) {
        drop(self);
    }
}

impl Drop for PausedProcess<'_> {
    fn drop(&mut self) {
        self.0.signal(Signal::CONT);
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Ended already where the test ended it.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl TestFleet {
    /// Starts three daemons in two failure domains and applies the test
    /// settings, with two copies of histories.
    pub(crate) fn start() -> Self {
        Self::start_with("")
    }

    /// Starts the daemons with further lines of their section in their files.
    pub(crate) fn start_with(limits: &str) -> Self {
        let bed = TestBed::start();
        let daemons: Vec<_> = PLANS
            .iter()
            .map(|plan| DaemonProcess::start(&bed, plan, limits))
            .collect();
        let fleet = Self { bed, daemons };
        for daemon in &fleet.daemons {
            wait_until("the daemon listens", || {
                std::net::TcpStream::connect(daemon.operator).is_ok()
            });
        }
        let operator = fleet.operator(0);
        let text = settings_text().replace(
            "[/workspaces/kermesse]\n",
            "[/workspaces/kermesse]\nhistory_copies = 2\n",
        );
        let headers = [("if-match", "\"0\"")];
        let body = apply_request(&text);
        let answer = operator.send(Method::PUT, "/admin/v1/settings", &headers, &body);
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        fleet.wait_settled(1);
        fleet
    }

    /// Waits until every running daemon has the revision, knows two others, and
    /// the slots are spread over them.
    fn wait_settled(&self, revision: u64) {
        wait_until("the fleet has settled", || {
            let status = (0..self.daemons.len()).map(|index| self.status(index));
            let slots = status.map(|status| {
                let is_current = status["settings_revision"] == revision;
                let is_known = status["members"].as_array().map(Vec::len) == Some(3);
                if is_current && is_known {
                    status["slots_owned"].as_u64()
                } else {
                    None
                }
            });
            let slots: Option<Vec<u64>> = slots.collect();
            slots.is_some_and(|slots| {
                slots.iter().sum::<u64>() == 1_024 && slots.iter().all(|count| *count > 200)
            })
        });
    }

    /// Returns a daemon's status.
    pub(crate) fn status(&self, index: usize) -> serde_json::Value {
        self.operator(index).get("/admin/v1/status").json()
    }

    /// Returns the operator of a daemon.
    pub(crate) fn operator(&self, index: usize) -> Caller<'_> {
        let address = self.daemons[index].operator;
        Caller {
            bed: &self.bed,
            address,
            key: OPERATOR_KEY,
        }
    }

    /// Returns the caller of a daemon, for workspace `kermesse`.
    pub(crate) fn caller(&self, index: usize) -> Caller<'_> {
        Caller {
            bed: &self.bed,
            address: self.daemons[index].entry,
            key: KERMESSE_KEY,
        }
    }
}
