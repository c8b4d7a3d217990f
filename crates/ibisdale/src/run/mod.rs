//! Runs a program that is described in a file, through the callers' interface.

mod caller;
mod file;
mod report;
mod runner;
mod stream;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use clap::ArgMatches;
use http::HeaderValue;
use ibisdale_net::TrafficExecutor;
use snafu::ResultExt;

use crate::error::{CommandError, ReadFileSnafu};
use crate::exit::ExitStatus;
use crate::operator::read_key_file;
use crate::output::OutputFormat;
use crate::run::caller::CallerClient;
use crate::run::file::ProgramFile;
use crate::run::report::RunReport;
use crate::run::runner::ProgramRunner;

/// Runs the program file of the command line.
pub(crate) fn run_file(
    matches: &ArgMatches,
    format: OutputFormat,
) -> Result<ExitStatus, CommandError> {
    let file = matches.get_one::<PathBuf>("file");
    let key_file = matches.get_one::<PathBuf>("key-file");
    let entry = matches.get_one::<SocketAddr>("entry").copied();
    let (Some(file), Some(key_file), Some(entry)) = (file, key_file, entry) else {
        return Ok(ExitStatus::Usage);
    };
    let program = read_program_file(file)?;
    let report = run_program(entry, read_key_file(key_file)?, &program, format)?;
    format.write(&report, &report)?;
    Ok(ExitStatus::Success)
}

/// Runs a program through the daemon at `entry`.
pub(crate) fn run_program(
    entry: SocketAddr,
    key: HeaderValue,
    program: &ProgramFile,
    format: OutputFormat,
) -> Result<RunReport, CommandError> {
    let executor = TrafficExecutor::from(Arc::default());
    let client = CallerClient::new(entry, key, Arc::clone(&executor));
    let runner = ProgramRunner::new(client, format);
    smol::block_on(executor.run(runner.run(program)))
}

fn read_program_file(path: &Path) -> Result<ProgramFile, CommandError> {
    let data = fs::read(path).context(ReadFileSnafu { path })?;
    parse_program(path, &data)
}

/// Parses a program; `path` names it in errors.
pub(crate) fn parse_program(
    path: impl AsRef<Path>,
    data: &[u8],
) -> Result<ProgramFile, CommandError> {
    serde_json::from_slice(data).map_err(|error| CommandError::BadFile {
        path: path.as_ref().to_owned(),
        message: error.to_string(),
    })
}
