//! What the system tells of a process.

use std::fs;

/// Ticks of processor time in a second, as Linux reports them.
const TICKS_PER_SECOND: f64 = 100.0;
/// Position of the user time among the fields after the command's name.
const USER_TIME_FIELD: usize = 11;

/// What a process has used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessUse {
    /// Processor time of all threads, in seconds.
    pub(crate) cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub(crate) resident_bytes: f64,
}

/// Reads what a running process has used.
pub(crate) fn read_use(pid: u32) -> ProcessUse {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let (_, fields) = stat.rsplit_once(')').expect("a command's name");
    let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: f64 = times
        .map(|field| field.parse::<f64>().expect("a number"))
        .sum();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|line| line.split_whitespace().next());
    let kilobytes: f64 = kilobytes
        .and_then(|text| text.parse().ok())
        .expect("a size");
    ProcessUse {
        cpu_seconds: ticks / TICKS_PER_SECOND,
        resident_bytes: kilobytes * 1_024.0,
    }
}
