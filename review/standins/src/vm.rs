//! Daemon processes, started with the commands of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Identifiers of the running processes, for [`watch`].
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Time after which a case is given up.
const CASE_TIME: Duration = Duration::from_secs(116);

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmRole {
    Front,
    Store,
}

/// The daemon process of one VM.
pub struct VmProcess {
    pub name: String,
    pub ip: Ipv4Addr,
    pub role: VmRole,
    zone: String,
    store: String,
    seeds: Vec<Ipv4Addr>,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl VmProcess {
    pub fn new(
        (name, ip, role, zone): (String, Ipv4Addr, VmRole, String),
        store: &str,
        seeds: &[Ipv4Addr],
        folder: &Path,
    ) -> Self {
        Self {
            name,
            ip,
            role,
            zone,
            store: store.to_owned(),
            seeds: seeds.to_vec(),
            folder: folder.to_owned(),
            child: None,
            starts: 0,
        }
    }

    /// Starts the process; `bootstrap` is true at the first start only.
    pub fn start(&mut self) -> io::Result<()> {
        let settings = self.folder.join(format!("{}.toml", self.name));
        fs::write(&settings, self.settings())?;
        let log = self
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        let log = File::create(log)?;
        let arguments: &[&str] = match self.role {
            VmRole::Front => &["--metrics-port", "9464"],
            VmRole::Store => &["--hold", "--metrics-port", "9464"],
        };
        let child = Command::new("target/release/ibisdale-vm")
            .args(arguments)
            .env("IBISDALE_BOOT", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        RUNNING
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(child.id());
        self.child = Some(child);
        self.starts += 1;
        Ok(())
    }

    fn settings(&self) -> String {
        let Self { name, ip, zone, .. } = self;
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|ip| format!("\"{ip}:8367\""))
            .collect();
        let seeds = seeds.join(",");
        let bootstrap = self.starts == 0;
        let (class, serves, counts) = match self.role {
            VmRole::Front => ("front", "\"front\",\"control\",\"directory\"", false),
            VmRole::Store => ("store", "\"store\"", true),
        };
        let data = match self.role {
            VmRole::Front => String::new(),
            VmRole::Store => format!("data_dir = \"{}\"\n", self.data_folder().display()),
        };
        let listen = match self.role {
            VmRole::Front => format!(
                "front = \"{ip}:8368\"\nready = \"{ip}:8369\"\ncontrol = \"{ip}:8367\"\n\
                 directory = \"{ip}:8360\"\n"
            ),
            VmRole::Store => String::new(),
        };
        let disk_mb = if self.role == VmRole::Store { 260 } else { 0 };
        format!(
            "node = \"{name}\"\nrole = \"my-{class}\"\nmachine_class = \"{class}\"\n\
             serves = [{serves}]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"be-central\"\n\
             inner_ports = [7780,7795]\nseeds = [{seeds}]\nbootstrap = {bootstrap}\n\
             counts_loss = {counts}\n{data}discovery = \"platform\"\nentry = \"directory\"\n\
             heartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\
             \"engine\",\"tenants\",\"quota\",\"platform\"]\n\
             [zones]\nbe-central-a = \"be-central\"\nbe-central-b = \"be-central\"\n\
             be-central-c = \"be-central\"\nbe-central-d = \"be-central\"\n\
             [listen]\n{listen}\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 110\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = {disk_mb}\n\
             [tolerate]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\ndowngrade_ms = 250\nskew_max_ms = 5000\n\
             strict_revoke = false\nrevoke_ms = 5000\nquota_window_s = 5\nquota_excess = 0.1\n\
             quota_slack = 20\nrecover_s = 12\npass_ms = 120\nagain_s = 0\nfinish_s = 10\n\
             settle_ms = 1000\nttl_max_s = 5\n\
             [provider]\naddress = \"{}\"\nform = \"kv\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            self.store
        )
    }

    pub fn data_folder(&self) -> PathBuf {
        self.folder.join(format!("{}-data", self.name))
    }

    /// Returns the identifier of the process.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal by name, as `kill -NAME` does.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let command = format!("kill -{name} {}", child.id());
        Command::new("sh").args(["-c", &command]).status()?;
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let id = child.id();
            RUNNING
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .retain(|running| *running != id);
            // Fails if it has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        // A stopped process ends at SIGKILL too.
        self.kill();
    }
}

/// Ends all processes and this one if the case takes too long.
pub fn watch() {
    thread::spawn(|| {
        thread::sleep(CASE_TIME);
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        for id in running.iter() {
            let command = format!("kill -KILL {id}");
            // Nothing else can be done if it fails.
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
        std::process::exit(2);
    });
}
