//! Revisions of the settings.

use clap::ArgMatches;
use ibisdale_core::admin::{ApplyRequest, RevisionSummary};

use crate::commands::{CommandResult, required_arg};
use crate::exit::ExitStatus;
use crate::operator::OperatorClient;
use crate::output::{OutputFormat, render_table};

pub(crate) fn history(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let reply = OperatorClient::from_args(matches)?.list_revisions()?;
    let rows: Vec<Vec<String>> = reply.revisions.iter().map(revision_row).collect();
    let table = render_table(&["REVISION", "AUTHOR", "BYTES", "NOTE"], &rows);
    format.write(&reply, table)?;
    Ok(ExitStatus::Success)
}

fn revision_row(summary: &RevisionSummary) -> Vec<String> {
    vec![
        summary.revision.to_string(),
        summary.author.clone(),
        summary.bytes.to_string(),
        summary.note.clone(),
    ]
}

pub(crate) fn rollback(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let revision = *required_arg::<u64>(matches, "revision")?;
    let client = OperatorClient::from_args(matches)?;
    let current = client.read_settings()?;
    let earlier = client.read_revision(revision)?;
    let request = ApplyRequest {
        file: format!("revision {revision}"),
        text: earlier.text,
        author: required_arg::<String>(matches, "author")?.clone(),
        note: format!("rollback to revision {revision}"),
    };
    let reply = client.apply(current.revision, &request)?;
    let text = format!(
        "revision {} is accepted, with the text of revision {revision}",
        reply.revision,
    );
    format.write(&reply, text)?;
    Ok(ExitStatus::Success)
}
