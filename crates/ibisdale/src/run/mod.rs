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
use ibisdale_net::TrafficExecutor;
use snafu::ResultExt;

use crate::error::{CommandError, ReadFileSnafu};
use crate::exit::ExitStatus;
use crate::operator::read_key_file;
use crate::output::OutputFormat;
use crate::run::caller::CallerClient;
use crate::run::file::ProgramFile;
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
    let executor = TrafficExecutor::from(Arc::default());
    let client = CallerClient::new(entry, read_key_file(key_file)?, Arc::clone(&executor));
    let runner = ProgramRunner::new(client, format);
    let report = smol::block_on(executor.run(runner.run(&program)))?;
    format.write(&report, &report)?;
    Ok(ExitStatus::Success)
}

fn read_program_file(path: &Path) -> Result<ProgramFile, CommandError> {
    let data = fs::read(path).context(ReadFileSnafu { path })?;
    serde_json::from_slice(&data).map_err(|error| CommandError::BadFile {
        path: path.to_owned(),
        message: error.to_string(),
    })
}
