//! The command line, the daemon's own file and the log.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};
use ibisdale_settings::{DaemonSettings, SettingsFindings};
use ibisdale_telemetry::{LogError, LogOptions, LogOutput};
use snafu::{ResultExt, Snafu};

/// Tells why the daemon's options can't be used.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum OptionsError {
    /// The file can't be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file has findings.
    #[snafu(display("the settings are not accepted:\n{source}"))]
    Check {
        /// All findings.
        source: SettingsFindings,
    },
    /// The log's level is not known.
    #[snafu(display("the log level '{level}' is not known"))]
    Level {
        /// The rejected level.
        level: String,
    },
    /// The log can't be opened.
    #[snafu(display("{source}"))]
    Log {
        /// The cause.
        source: LogError,
    },
}

/// What the command line and the daemon's own file say.
#[derive(Debug)]
pub(crate) struct ProcessOptions {
    pub(crate) settings: DaemonSettings,
}

fn command() -> Command {
    Command::new("ibisdaled")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves agent programs: one daemon of an ibisdale fleet")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The daemon's own file, with its name, addresses and failure domain"),
        )
}

/// Reads the command line and the daemon's own file.
pub(crate) fn parse_options() -> Result<ProcessOptions, OptionsError> {
    let matches = command().get_matches();
    let path = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    let text = std::fs::read_to_string(&path).context(ReadSnafu { path: path.clone() })?;
    let settings = DaemonSettings::parse(&path.display().to_string(), &text).context(CheckSnafu)?;
    Ok(ProcessOptions { settings })
}

/// Starts the log that the settings ask for.
pub(crate) fn start_log(settings: &DaemonSettings) -> Result<(), OptionsError> {
    let level = settings
        .log_level
        .parse()
        .map_err(|_| OptionsError::Level {
            level: settings.log_level.clone(),
        })?;
    let output = match &settings.log_file {
        Some(path) => LogOutput::File(path.clone()),
        None => LogOutput::Stderr,
    };
    LogOptions::new()
        .level(level)
        .output(output)
        .apply()
        .context(LogSnafu)
}
