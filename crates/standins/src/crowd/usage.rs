//! What a process uses, as Linux reports it under `/proc`.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu};

/// Interval at which a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which open descriptors are counted while a crowd is connected.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of polls.
const POLLS_MAX: u32 = 100;
/// Processor time in an interval below which a process is idle, in clock ticks.
const IDLE_TICKS: u64 = 3;

/// Error while reading what a process uses.
#[derive(Debug)]
#[derive(Snafu)]
pub enum UsageError {
    /// The process has ended, or the file can't be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file lacks a field.
    #[snafu(display("{} has no field {field}", path.display()))]
    Missing {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
    },
}

/// Memory, descriptors and processor time of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    pid: u32,
}

impl ProcessUsage {
    /// Creates the usage of a process.
    #[must_use]
    pub fn new(pid: u32) -> Self {
        Self { pid }
    }

    /// Returns the largest resident memory so far, in units of 1,024 bytes.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn peak_memory_kb(self) -> Result<u64, UsageError> {
        self.status_number("VmHWM:")
    }

    /// Returns the resident memory, in units of 1,024 bytes.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn resident_memory_kb(self) -> Result<u64, UsageError> {
        self.status_number("VmRSS:")
    }

    /// Returns the number of open descriptors.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn descriptors(self) -> Result<usize, UsageError> {
        let path = self.path("fd");
        let folder = fs::read_dir(&path).context(ReadSnafu { path })?;
        Ok(folder.count())
    }

    /// Waits until the process uses no processor time, that is, has handled what was sent.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn wait_until_idle(self) -> Result<(), UsageError> {
        let mut before = self.processor_ticks()?;
        for _ in 0..POLLS_MAX {
            thread::sleep(POLL_INTERVAL);
            let now = self.processor_ticks()?;
            if now - before < IDLE_TICKS {
                break;
            }
            before = now;
        }
        Ok(())
    }

    fn status_number(self, field: &'static str) -> Result<u64, UsageError> {
        let path = self.path("status");
        let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
        let line = text.lines().find_map(|line| line.strip_prefix(field));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.context(MissingSnafu { path, field })
    }

    fn processor_ticks(self) -> Result<u64, UsageError> {
        let path = self.path("stat");
        let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
        // User and system time, counted from the state, which follows the name.
        let fields = text.rsplit(") ").next().unwrap_or_default().split(' ');
        let times = fields.skip(11).take(2).map(str::parse::<u64>);
        let times: Result<Vec<_>, _> = times.collect();
        let times = times.ok().filter(|times| times.len() == 2);
        let times = times.context(MissingSnafu {
            path,
            field: "utime",
        })?;
        Ok(times.iter().sum())
    }

    fn path(self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{name}", self.pid))
    }
}

/// Largest number of open descriptors of a process, counted by a thread until this is dropped.
#[derive(Debug)]
pub struct DescriptorWatch {
    most: Arc<AtomicUsize>,
    is_stopped: Arc<AtomicBool>,
}

impl DescriptorWatch {
    /// Starts to count the descriptors of a process.
    #[must_use]
    pub fn start(usage: ProcessUsage) -> Self {
        let watch = Self {
            most: Arc::default(),
            is_stopped: Arc::default(),
        };
        let (most, is_stopped) = (Arc::clone(&watch.most), Arc::clone(&watch.is_stopped));
        thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                // Fails once the process has ended.
                let Ok(count) = usage.descriptors() else {
                    return;
                };
                most.fetch_max(count, Ordering::Relaxed);
                thread::sleep(WATCH_INTERVAL);
            }
        });
        watch
    }

    /// Returns the largest number so far.
    #[must_use]
    pub fn most(&self) -> usize {
        self.most.load(Ordering::Relaxed)
    }
}

impl Drop for DescriptorWatch {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}
