//! The ibisdale daemon.

mod options;
mod signals;

use std::process::ExitCode;

use ibisdale_daemon::{DaemonOptions, RunningDaemon};
use ibisdale_telemetry::record_event;

use crate::options::{parse_options, start_log};
use crate::signals::drain_on_signal;

/// The daemon's files or its log can't be used.
const EXIT_CONFIG: u8 = 2;
/// The daemon can't be started.
const EXIT_START: u8 = 1;

fn main() -> ExitCode {
    let options = match parse_options() {
        Ok(options) => options,
        Err(error) => {
            eprintln!("ibisdaled: {error}");
            return ExitCode::from(EXIT_CONFIG);
        }
    };
    if let Err(error) = start_log(&options.settings) {
        eprintln!("ibisdaled: {error}");
        return ExitCode::from(EXIT_CONFIG);
    }
    match RunningDaemon::start(DaemonOptions::new(options.settings)) {
        Ok(daemon) => run_until_end(daemon),
        Err(error) => {
            record_event!(StartFailed, error = error);
            eprintln!("ibisdaled: {error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn run_until_end(daemon: RunningDaemon) -> ExitCode {
    record_event!(DaemonStarted, entry = daemon.get_entry_address());
    let handle = daemon.get_drain();
    if let Err(error) = drain_on_signal(move || handle.start()) {
        record_event!(InternalError, error = error);
    }
    daemon.wait_drain();
    record_event!(DaemonDraining);
    daemon.close();
    record_event!(DaemonStopped);
    ExitCode::SUCCESS
}
