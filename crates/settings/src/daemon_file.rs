//! Parses and checks a daemon's own settings file.

use std::net::SocketAddr;
use std::path::PathBuf;

use ibisdale_core::DaemonName;
use ibisdale_core::admin::FindingKind;

use crate::check::check_tree;
use crate::finding::{FindingList, SettingsFindings};
use crate::key_hash::KeyHash;
use crate::reader::SectionReader;
use crate::tree::{SettingsSchema, SettingsTree};

const DAEMON_PATH: &str = "/daemon";
const PLATFORM_PATH: &str = "/platform";
const LOG_PATH: &str = "/log";
const TRACE_PATH: &str = "/trace";

/// Settings that a daemon reads from its own file at start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// The daemon's name, unique in the fleet and stable across restarts.
    pub name: DaemonName,
    /// The failure domain of the daemon's VM.
    pub failure_domain: String,
    /// The region that contains the failure domain.
    pub region: String,
    /// The listening address for callers.
    pub entry_address: SocketAddr,
    /// The listening address for other daemons.
    pub fleet_address: SocketAddr,
    /// The listening address for operators.
    pub operator_address: SocketAddr,
    /// The directory for copies of program histories. Without one, for example if the
    /// VM has no disk for it, the daemon stores none.
    pub data_folder: Option<PathBuf>,
    /// The hash of the key that operators authenticate with.
    pub operator_key_hash: KeyHash,
    /// The number of threads that serve traffic.
    pub traffic_threads: usize,
    /// The memory of the process, in megabytes.
    pub memory_mb: u64,
    /// The number of descriptors that the process may open.
    pub max_descriptors: u64,
    /// The endpoints of the platform's key-value service.
    pub key_value_endpoints: Vec<SocketAddr>,
    /// The address of the platform's VM list service.
    pub vm_list_address: SocketAddr,
    /// The file for log events; standard error if `None`.
    pub log_file: Option<PathBuf>,
    /// The minimum level of logged events: `error`, `warn`, `info`, `debug` or
    /// `trace`.
    pub log_level: String,
    /// The file for trace spans; no spans are written if `None`.
    pub trace_file: Option<PathBuf>,
}

impl DaemonSettings {
    /// Parses and checks a daemon's own file; `file` is its name in findings.
    ///
    /// # Errors
    ///
    /// Returns the findings; addresses are compared only if the file has no other
    /// findings.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsFindings> {
        let tree = check_tree(file, text, SettingsSchema::Daemon)?;
        check_distinct_addresses(&tree)?;
        read_settings(&tree).ok_or_else(|| incomplete_file_findings(&tree))
    }
}

/// Reports each pair of the daemon's listening addresses that are equal.
fn check_distinct_addresses(tree: &SettingsTree) -> Result<(), SettingsFindings> {
    let mut findings = FindingList::new(tree.file().clone());
    let keys = ["entry_address", "fleet_address", "operator_address"];
    for (index, key) in keys.iter().enumerate() {
        for other in &keys[index + 1..] {
            let pair = (
                tree.find_own(DAEMON_PATH, key),
                tree.find_own(DAEMON_PATH, other),
            );
            if let (Some((_, first)), Some((_, second))) = pair
                && first.value == second.value
            {
                let message = format!("'{key}' and '{other}' are the same address");
                let line = first.line.max(second.line);
                findings.add(line, FindingKind::Duplicate, message);
            }
        }
    }
    findings.into_result()
}

fn read_settings(tree: &SettingsTree) -> Option<DaemonSettings> {
    let section = |path| SectionReader::new(tree, SettingsSchema::Daemon, path);
    let daemon = section(DAEMON_PATH);
    let platform = section(PLATFORM_PATH);
    let log = section(LOG_PATH);
    Some(DaemonSettings {
        name: DaemonName::new(daemon.text("name")?).ok()?,
        failure_domain: daemon.text("failure_domain")?,
        region: daemon.text("region")?,
        entry_address: daemon.address("entry_address")?,
        fleet_address: daemon.address("fleet_address")?,
        operator_address: daemon.address("operator_address")?,
        data_folder: daemon.file_path("data_folder"),
        operator_key_hash: daemon.key_hash("operator_key_hash")?,
        traffic_threads: usize::try_from(daemon.integer("traffic_threads")).ok()?,
        memory_mb: daemon.integer("memory_mb"),
        max_descriptors: daemon.integer("max_descriptors"),
        key_value_endpoints: platform.addresses("key_value_endpoints"),
        vm_list_address: platform.address("vm_list_address")?,
        log_file: log.file_path("log_file"),
        log_level: log.text("log_level")?,
        trace_file: section(TRACE_PATH).file_path("trace_file"),
    })
}

fn incomplete_file_findings(tree: &SettingsTree) -> SettingsFindings {
    let mut findings = FindingList::new(tree.file().clone());
    findings.add(
        1,
        FindingKind::Missing,
        "a required value is missing or invalid",
    );
    findings
        .into_result()
        .err()
        .unwrap_or_else(|| SettingsFindings::new(Vec::new()))
}
