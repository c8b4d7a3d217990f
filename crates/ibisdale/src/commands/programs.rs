//! Programs that a daemon owns.

use clap::ArgMatches;
use ibisdale_core::ProgramId;
use ibisdale_core::admin::ProgramSummary;

use crate::commands::{CommandResult, required_arg};
use crate::exit::ExitStatus;
use crate::operator::OperatorClient;
use crate::output::{OutputFormat, render_table};

const HEAD: [&str; 6] = [
    "PROGRAM",
    "WORKSPACE",
    "NAME",
    "STATE",
    "NEXT STEP",
    "TOKENS",
];

pub(crate) fn dispatch(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches, format),
        Some(("show", matches)) => show(matches, format),
        Some(("cancel", matches)) => cancel(matches, format),
        _ => Ok(ExitStatus::Usage),
    }
}

fn list(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let reply = OperatorClient::from_args(matches)?.list_programs()?;
    let rows: Vec<Vec<String>> = reply.programs.iter().map(program_row).collect();
    format.write(&reply, render_table(&HEAD, &rows))?;
    Ok(ExitStatus::Success)
}

fn show(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let program = *required_arg::<ProgramId>(matches, "program")?;
    let summary = OperatorClient::from_args(matches)?.read_program(program)?;
    format.write(&summary, render_table(&HEAD, &[program_row(&summary)]))?;
    Ok(ExitStatus::Success)
}

fn cancel(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let program = *required_arg::<ProgramId>(matches, "program")?;
    let summary = OperatorClient::from_args(matches)?.cancel_program(program)?;
    format.write(&summary, render_table(&HEAD, &[program_row(&summary)]))?;
    Ok(ExitStatus::Success)
}

fn program_row(summary: &ProgramSummary) -> Vec<String> {
    let tokens = match summary.tokens_limit {
        Some(limit) => format!("{}/{limit}", summary.tokens_used),
        None => summary.tokens_used.to_string(),
    };
    vec![
        summary.id.to_string(),
        summary.workspace.to_string(),
        summary.name.clone(),
        summary.state.clone(),
        summary.next_step.to_string(),
        tokens,
    ]
}
