//! What each subcommand does.

mod daemon;
mod keys;
mod programs;
mod revisions;
mod settings;
mod workspaces;

use std::fs;
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use clap_complete::Shell;
use ibisdale_settings::CheckedSettings;
use snafu::ResultExt;

use crate::cli;
use crate::demo;
use crate::error::{CommandError, ReadFileSnafu};
use crate::exit::ExitStatus;
use crate::operator::OperatorClient;
use crate::output::OutputFormat;
use crate::run;

type CommandResult = Result<ExitStatus, CommandError>;

/// Runs the subcommand that was asked for and reports its error.
pub(crate) fn dispatch(matches: &ArgMatches) -> ExitStatus {
    let format = cli::output_format(matches);
    match dispatch_name(matches, format) {
        Ok(status) => status,
        Err(error) => {
            format.write_error(&error);
            error.status()
        }
    }
}

fn dispatch_name(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(ExitStatus::Usage);
    };
    match name {
        "check" => settings::check(matches, format),
        "diff" => settings::diff(matches, format),
        "apply" => settings::apply(matches, format),
        "show" => settings::show(matches, format),
        "history" => revisions::history(matches, format),
        "rollback" => revisions::rollback(matches, format),
        "workspace" => workspaces::dispatch(matches, format),
        "key" => keys::dispatch(matches, format),
        "program" => programs::dispatch(matches, format),
        "status" => daemon::status(matches, format),
        "drain" => daemon::drain(matches, format),
        "demo" => demo::run(format),
        "run" => run::run_file(matches, format),
        "completions" => write_completions(matches),
        _ => Ok(ExitStatus::Usage),
    }
}

fn write_completions(matches: &ArgMatches) -> CommandResult {
    let Some(shell) = matches.get_one::<Shell>("shell") else {
        return Ok(ExitStatus::Usage);
    };
    let mut script = Vec::new();
    clap_complete::generate(*shell, &mut cli::build_command(), "ibisdale", &mut script);
    let script = String::from_utf8_lossy(&script);
    OutputFormat::Text.write(&script, script.trim_end())?;
    Ok(ExitStatus::Success)
}

/// Returns the path of an argument that the command line requires.
fn required_path<'a>(matches: &'a ArgMatches, id: &str) -> Result<&'a Path, CommandError> {
    let path = matches.get_one::<PathBuf>(id).map(PathBuf::as_path);
    path.ok_or_else(|| missing_argument(id))
}

/// Returns an argument that the command line requires.
fn required_arg<'a, T>(matches: &'a ArgMatches, id: &str) -> Result<&'a T, CommandError>
where
    T: Clone + Send + Sync + 'static,
{
    matches.get_one(id).ok_or_else(|| missing_argument(id))
}

fn missing_argument(id: &str) -> CommandError {
    CommandError::Usage {
        message: format!("'{id}' is missing"),
    }
}

fn read_text(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).context(ReadFileSnafu { path })
}

fn parse_settings(file: &str, text: &str) -> Result<CheckedSettings, CommandError> {
    CheckedSettings::parse(file, text).map_err(|findings| CommandError::Findings { findings })
}

fn read_settings_file(path: &Path) -> Result<CheckedSettings, CommandError> {
    parse_settings(&path.display().to_string(), &read_text(path)?)
}

/// Reads the settings in force, with their revision.
fn read_in_force(client: &OperatorClient) -> Result<(u64, CheckedSettings), CommandError> {
    let current = client.read_settings()?;
    let name = format!("revision {}", current.revision);
    let checked = parse_settings(&name, &current.text)?;
    Ok((current.revision, checked))
}
