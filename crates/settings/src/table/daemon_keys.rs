//! Keys of a daemon's settings file.

use crate::table::spec::{KeySpec, ValueKind, ValueUnit, integer, key};
use crate::tree::SectionKind::{Daemon, Log, Platform, Trace};

const MAX_THREADS: u64 = 1_024;
/// Least memory of a daemon, in megabytes, and the most that can be set.
const MEMORY_MB_RANGE: (u64, u64) = (64, 1_048_576);
/// Least number of descriptors of a daemon, and the most that can be set.
const DESCRIPTOR_RANGE: (u64, u64) = (128, 1_048_576);

pub(crate) static DAEMON_KEYS: &[KeySpec] = &[
    key(
        "name",
        &[Daemon],
        ValueKind::Name,
        "Name of the daemon; must be unique in the fleet and stay the same across restarts.",
    )
    .not_inherited()
    .required(),
    key(
        "failure_domain",
        &[Daemon],
        ValueKind::Name,
        "Failure domain of the VM.",
    )
    .not_inherited()
    .required(),
    key(
        "region",
        &[Daemon],
        ValueKind::Name,
        "Region of the failure domain.",
    )
    .not_inherited()
    .default("default"),
    key(
        "entry_address",
        &[Daemon],
        ValueKind::Address,
        "Listening address for callers.",
    )
    .not_inherited()
    .required(),
    key(
        "fleet_address",
        &[Daemon],
        ValueKind::Address,
        "Listening address for the other daemons.",
    )
    .not_inherited()
    .required(),
    key(
        "operator_address",
        &[Daemon],
        ValueKind::Address,
        "Listening address for operators.",
    )
    .not_inherited()
    .required(),
    key(
        "data_folder",
        &[Daemon],
        ValueKind::FilePath,
        "Directory for copies of program histories; if unset, the daemon stores none.",
    )
    .not_inherited(),
    key(
        "operator_key_hash",
        &[Daemon],
        ValueKind::KeyHash,
        "Hash of the operators' key.",
    )
    .not_inherited()
    .required(),
    key(
        "traffic_threads",
        &[Daemon],
        integer(1, MAX_THREADS),
        "Threads that serve traffic, in addition to the control thread.",
    )
    .not_inherited()
    .unit(ValueUnit::Threads)
    .default("2"),
    key(
        "memory_mb",
        &[Daemon],
        integer(MEMORY_MB_RANGE.0, MEMORY_MB_RANGE.1),
        "Memory of the process, by which bodies, responses and connections of clients are limited.",
    )
    .not_inherited()
    .unit(ValueUnit::Megabytes)
    .default("512"),
    key(
        "max_descriptors",
        &[Daemon],
        integer(DESCRIPTOR_RANGE.0, DESCRIPTOR_RANGE.1),
        "File descriptors of the process, by which connections are limited; at most its own limit.",
    )
    .not_inherited()
    .unit(ValueUnit::Descriptors)
    .default("4096"),
    key(
        "key_value_endpoints",
        &[Platform],
        ValueKind::Addresses,
        "Endpoints of the platform's key-value service.",
    )
    .not_inherited()
    .required(),
    key(
        "vm_list_address",
        &[Platform],
        ValueKind::Address,
        "Address of the platform's VM list service.",
    )
    .not_inherited()
    .required(),
    key(
        "log_file",
        &[Log],
        ValueKind::FilePath,
        "File for log events; standard error if unset.",
    )
    .not_inherited(),
    key(
        "log_level",
        &[Log],
        ValueKind::Choice(&["error", "warn", "info", "debug", "trace"]),
        "Minimum severity of logged events.",
    )
    .not_inherited()
    .default("info"),
    key(
        "trace_file",
        &[Trace],
        ValueKind::FilePath,
        "File for trace spans as OTLP JSON lines; if unset, no spans are written.",
    )
    .not_inherited(),
];
