//! A daemon's own file.

use std::net::SocketAddr;
use std::path::PathBuf;

use ibisdale_core::DaemonName;
use ibisdale_core::admin::FindingKind;

use crate::check::check_source;
use crate::finding::{FindingList, SettingsFindings};
use crate::key_hash::KeyHash;
use crate::reader::SectionReader;
use crate::tree::{SettingsSchema, SettingsSource};

const DAEMON_PATH: &str = "/daemon";
const PLATFORM_PATH: &str = "/platform";
const LOG_PATH: &str = "/log";
const TRACE_PATH: &str = "/trace";

/// What a daemon knows about itself at start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// The daemon's name.
    pub name: DaemonName,
    /// The failure domain of the daemon's VM.
    pub failure_domain: String,
    /// The region of the failure domain.
    pub region: String,
    /// The address for callers.
    pub entry_address: SocketAddr,
    /// The address for other daemons.
    pub fleet_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
    /// The folder for bulk data, if the VM has a disk for it.
    pub data_folder: Option<PathBuf>,
    /// The hash of the operators' key.
    pub operator_key_hash: KeyHash,
    /// Threads that carry traffic.
    pub traffic_threads: usize,
    /// The addresses of the platform's key-value service.
    pub key_value_endpoints: Vec<SocketAddr>,
    /// The address of the platform's VM list.
    pub vm_list_address: SocketAddr,
    /// The file for log events; standard error where `None`.
    pub log_file: Option<PathBuf>,
    /// The least level of logged events: `error`, `warn`, `info`, `debug` or
    /// `trace`.
    pub log_level: String,
    /// The file for trace spans; none are written where `None`.
    pub trace_file: Option<PathBuf>,
}

impl DaemonSettings {
    /// Checks a daemon's own file.
    ///
    /// # Errors
    ///
    /// Fails with everything that is wrong in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsFindings> {
        let source = check_source(file, text, SettingsSchema::Daemon)?;
        check_addresses(&source)?;
        read(&source).ok_or_else(|| incomplete(&source))
    }
}

/// Reports addresses of the daemon that are the same.
fn check_addresses(source: &SettingsSource) -> Result<(), SettingsFindings> {
    let mut findings = FindingList::new(source.file().clone());
    let keys = ["entry_address", "fleet_address", "operator_address"];
    for (index, key) in keys.iter().enumerate() {
        for other in &keys[index + 1..] {
            let pair = (
                source.find_own(DAEMON_PATH, key),
                source.find_own(DAEMON_PATH, other),
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

fn read(source: &SettingsSource) -> Option<DaemonSettings> {
    let section = |path| SectionReader::new(source, SettingsSchema::Daemon, path);
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
        traffic_threads: usize::try_from(daemon.count("traffic_threads")).ok()?,
        key_value_endpoints: platform.addresses("key_value_endpoints"),
        vm_list_address: platform.address("vm_list_address")?,
        log_file: log.file_path("log_file"),
        log_level: log.text("log_level")?,
        trace_file: section(TRACE_PATH).file_path("trace_file"),
    })
}

fn incomplete(source: &SettingsSource) -> SettingsFindings {
    let mut findings = FindingList::new(source.file().clone());
    findings.add(1, FindingKind::Missing, "the file is incomplete");
    findings
        .into_result()
        .err()
        .unwrap_or_else(|| SettingsFindings::new(Vec::new()))
}
