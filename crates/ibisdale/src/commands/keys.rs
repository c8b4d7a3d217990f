//! Keys of workspaces.

use clap::ArgMatches;
use ibisdale_core::{KeyName, NameError, WorkspaceName};
use ibisdale_settings::{CheckedSettings, KeyHash, SecretKey, SectionKind};
use serde::Serialize;

use crate::commands::{CommandResult, read_in_force, required_arg};
use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::operator::OperatorClient;
use crate::output::{OutputFormat, render_table};

pub(crate) fn dispatch(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    match matches.subcommand() {
        Some(("grant", matches)) => grant(matches, format),
        Some(("withdraw", matches)) => withdraw(matches, format),
        Some(("list", matches)) => list(matches, format),
        Some(("new", _)) => create(format),
        _ => Ok(ExitStatus::Usage),
    }
}

fn grant(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let (workspace, key) = read_names(matches)?;
    let reply = OperatorClient::from_args(matches)?.grant_key(&workspace, &key)?;
    // The key alone goes to standard output, so that it can go into a file.
    format.report_progress(format_args!(
        "key '{key}' of workspace '{workspace}' is granted from revision {}; it is not shown again",
        reply.revision,
    ));
    format.write(&reply, &reply.secret)?;
    Ok(ExitStatus::Success)
}

fn withdraw(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let (workspace, key) = read_names(matches)?;
    let reply = OperatorClient::from_args(matches)?.withdraw_key(&workspace, &key)?;
    let text = format!(
        "key '{key}' of workspace '{workspace}' is withdrawn from revision {}",
        reply.revision,
    );
    format.write(&reply, text)?;
    Ok(ExitStatus::Success)
}

/// A key in brief; never the key itself.
#[derive(Serialize)]
struct KeyRow {
    workspace: String,
    key: String,
    withdrawn: bool,
}

impl KeyRow {
    fn cells(&self) -> Vec<String> {
        let state = if self.withdrawn {
            "withdrawn"
        } else {
            "granted"
        };
        vec![self.workspace.clone(), self.key.clone(), state.to_owned()]
    }
}

fn list(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let wanted = matches.get_one::<String>("workspace");
    let (_, checked) = read_in_force(&OperatorClient::from_args(matches)?)?;
    let mut rows = key_rows(&checked);
    rows.retain(|row| wanted.is_none_or(|wanted| row.workspace == *wanted));
    let cells: Vec<Vec<String>> = rows.iter().map(KeyRow::cells).collect();
    format.write(&rows, render_table(&["WORKSPACE", "KEY", "STATE"], &cells))?;
    Ok(ExitStatus::Success)
}

fn key_rows(checked: &CheckedSettings) -> Vec<KeyRow> {
    let source = checked.tree();
    let sections = source.sections().iter();
    let mut rows: Vec<KeyRow> = sections
        .filter(|section| section.kind == SectionKind::Key)
        .map(|section| {
            let path = section.path.as_str();
            let withdrawn = source.find_inherited(path, "withdrawn");
            KeyRow {
                workspace: path.split('/').nth(2).unwrap_or_default().to_owned(),
                key: section.path.last_segment().to_owned(),
                withdrawn: withdrawn.is_some_and(|(_, entry)| entry.value == "yes"),
            }
        })
        .collect();
    rows.sort_by(|one, other| (&one.workspace, &one.key).cmp(&(&other.workspace, &other.key)));
    rows
}

/// A key that no workspace has yet.
#[derive(Serialize)]
struct NewKey {
    secret: String,
    hash: KeyHash,
}

fn create(format: OutputFormat) -> CommandResult {
    let key = SecretKey::generate(&mut rand::rng());
    let report = NewKey {
        secret: key.expose().to_owned(),
        hash: key.hash(),
    };
    format.report_progress(format_args!("hash = {}", report.hash));
    format.write(&report, &report.secret)?;
    Ok(ExitStatus::Success)
}

fn read_names(matches: &ArgMatches) -> Result<(WorkspaceName, KeyName), CommandError> {
    let workspace = required_arg::<String>(matches, "workspace")?;
    let key = required_arg::<String>(matches, "key")?;
    let workspace =
        WorkspaceName::new(workspace.clone()).map_err(|error| bad_name(workspace, &error))?;
    let key = KeyName::new(key.clone()).map_err(|error| bad_name(key, &error))?;
    Ok((workspace, key))
}

fn bad_name(name: &str, error: &NameError) -> CommandError {
    CommandError::Usage {
        message: format!("'{name}': {error}"),
    }
}
