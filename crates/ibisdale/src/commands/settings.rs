//! Checking, comparing, applying and showing settings.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use ibisdale_core::admin::{ApplyRequest, SettingsFinding};
use ibisdale_settings::{CheckedSettings, DaemonSettings, EffectiveValue, SettingsDifference};
use serde::Serialize;
use snafu::ResultExt;

use crate::commands::{
    CommandResult, parse_settings, read_in_force, read_settings_file, read_text, required_arg,
    required_path,
};
use crate::error::{CommandError, PathSnafu};
use crate::exit::ExitStatus;
use crate::operator::OperatorClient;
use crate::output::OutputFormat;

#[derive(Serialize)]
struct CheckReport<'a> {
    findings: &'a [SettingsFinding],
}

pub(crate) fn check(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let path = required_path(matches, "file")?;
    let text = read_text(path)?;
    let file = path.display().to_string();
    let result = if matches.get_flag("daemon") {
        DaemonSettings::parse(&file, &text).map(drop)
    } else {
        CheckedSettings::parse(&file, &text).map(drop)
    };
    let Err(findings) = result else {
        format.write(
            &CheckReport { findings: &[] },
            format!("{file}: no findings"),
        )?;
        return Ok(ExitStatus::Success);
    };
    let report = CheckReport {
        findings: findings.as_slice(),
    };
    format.write(&report, &findings)?;
    Ok(ExitStatus::Findings)
}

pub(crate) fn diff(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let after = read_settings_file(required_path(matches, "file")?)?;
    let before = read_other(matches)?;
    let difference = SettingsDifference::between(before.tree(), after.tree());
    if difference.is_empty() {
        format.write(&difference, "no differences")?;
        return Ok(ExitStatus::Success);
    }
    format.write(&difference, &difference)?;
    Ok(ExitStatus::Findings)
}

/// Reads what a file is compared with: a revision, a file or what is in force.
fn read_other(matches: &ArgMatches) -> Result<CheckedSettings, CommandError> {
    let Some(other) = matches.get_one::<String>("against") else {
        let client = OperatorClient::from_args(matches)?;
        return read_in_force(&client).map(|(_, checked)| checked);
    };
    let Ok(revision) = other.parse::<u64>() else {
        return read_settings_file(Path::new(other));
    };
    let client = OperatorClient::from_args(matches)?;
    let earlier = client.read_revision(revision)?;
    parse_settings(&format!("revision {revision}"), &earlier.text)
}

pub(crate) fn apply(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let path = required_path(matches, "file")?;
    let text = read_text(path)?;
    let file = path.display().to_string();
    parse_settings(&file, &text)?;
    let client = OperatorClient::from_args(matches)?;
    let expected = match matches.get_one::<u64>("expect") {
        Some(expected) => *expected,
        None => client.read_settings()?.revision,
    };
    let request = ApplyRequest {
        file,
        text,
        author: required_arg::<String>(matches, "author")?.clone(),
        note: required_arg::<String>(matches, "note")?.clone(),
    };
    let reply = client.apply(expected, &request)?;
    format.write(&reply, format!("revision {} is accepted", reply.revision))?;
    Ok(ExitStatus::Success)
}

pub(crate) fn show(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let path = required_arg::<String>(matches, "path")?;
    let checked = match matches.get_one::<PathBuf>("file") {
        Some(file) => read_settings_file(file)?,
        None => read_in_force(&OperatorClient::from_args(matches)?)?.1,
    };
    let values = checked.effective_values(path).context(PathSnafu)?;
    format.write(&values, render_values(&values))?;
    Ok(ExitStatus::Success)
}

fn render_values(values: &[EffectiveValue]) -> String {
    let mut lines = Vec::new();
    let mut section = None;
    for value in values {
        if section != Some(&value.section) {
            section = Some(&value.section);
            lines.push(format!("[{}]", value.section));
        }
        lines.push(value.to_string());
    }
    lines.join("\n")
}
