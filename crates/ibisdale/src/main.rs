//! The operators' and callers' command.

mod cli;
mod commands;
mod demo;
mod error;
mod exit;
mod operator;
mod output;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::build_command().get_matches();
    commands::dispatch(&matches).into()
}
