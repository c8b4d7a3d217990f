//! Workspaces, as the settings in force declare them.

use clap::ArgMatches;
use ibisdale_settings::{CheckedSettings, SectionKind};
use serde::Serialize;

use crate::commands::{CommandResult, read_in_force, required_arg};
use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::operator::OperatorClient;
use crate::output::{OutputFormat, render_table};

/// A workspace in brief.
#[derive(Serialize)]
struct WorkspaceRow {
    workspace: String,
    rate: String,
    burst: u64,
    programs: Vec<String>,
    keys: Vec<String>,
}

impl WorkspaceRow {
    fn cells(&self) -> Vec<String> {
        vec![
            self.workspace.clone(),
            self.rate.clone(),
            self.burst.to_string(),
            self.programs.join(", "),
            self.keys.join(", "),
        ]
    }
}

const HEAD: [&str; 5] = ["WORKSPACE", "RATE", "BURST", "PROGRAMS", "KEYS"];

pub(crate) fn dispatch(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches, format),
        Some(("show", matches)) => show(matches, format),
        _ => Ok(ExitStatus::Usage),
    }
}

fn list(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let (revision, checked) = read_in_force(&OperatorClient::from_args(matches)?)?;
    let rows = workspace_rows(&checked, revision);
    let cells: Vec<Vec<String>> = rows.iter().map(WorkspaceRow::cells).collect();
    format.write(&rows, render_table(&HEAD, &cells))?;
    Ok(ExitStatus::Success)
}

fn show(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let name = required_arg::<String>(matches, "workspace")?;
    let (revision, checked) = read_in_force(&OperatorClient::from_args(matches)?)?;
    let rows = workspace_rows(&checked, revision);
    let Some(row) = rows.iter().find(|row| row.workspace == *name) else {
        return Err(CommandError::NotFound {
            message: format!("workspace '{name}' does not exist"),
        });
    };
    format.write(row, render_table(&HEAD, &[row.cells()]))?;
    Ok(ExitStatus::Success)
}

fn workspace_rows(checked: &CheckedSettings, revision: u64) -> Vec<WorkspaceRow> {
    let snapshot = checked.snapshot(revision);
    let mut rows: Vec<WorkspaceRow> = snapshot
        .workspaces()
        .map(|workspace| WorkspaceRow {
            workspace: workspace.name.to_string(),
            rate: workspace.rate_limit.rate.to_string(),
            burst: workspace.rate_limit.burst,
            programs: workspace
                .programs()
                .map(|program| program.name.to_string())
                .collect(),
            keys: key_names(checked, workspace.name.as_str()),
        })
        .collect();
    rows.sort_by(|one, other| one.workspace.cmp(&other.workspace));
    rows
}

fn key_names(checked: &CheckedSettings, workspace: &str) -> Vec<String> {
    let prefix = format!("/workspaces/{workspace}/keys/");
    let sections = checked.tree().sections().iter();
    let mut names: Vec<String> = sections
        .filter(|section| section.kind == SectionKind::Key)
        .filter_map(|section| section.path.as_str().strip_prefix(&prefix))
        .map(str::to_owned)
        .collect();
    names.sort();
    names
}
