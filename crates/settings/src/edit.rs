//! Changes to the text of the settings that keep its comments and order.

use ibisdale_core::{KeyName, WorkspaceName};
use snafu::Snafu;

use crate::finding::SettingsFindings;
use crate::key_hash::KeyHash;
use crate::snapshot::CheckedSettings;

const WITHDRAWN_LINE: &str = "withdrawn = yes\n";

/// Tells why the settings are not changed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum EditError {
    /// The workspace does not exist.
    #[snafu(display("workspace '{workspace}' does not exist"))]
    UnknownWorkspace {
        /// The workspace.
        workspace: WorkspaceName,
    },
    /// The workspace has a key of this name, in force or withdrawn.
    #[snafu(display("workspace '{workspace}' already has a key '{key}'"))]
    KeyExists {
        /// The workspace.
        workspace: WorkspaceName,
        /// The key's name.
        key: KeyName,
    },
    /// The workspace has no key of this name.
    #[snafu(display("workspace '{workspace}' has no key '{key}'"))]
    UnknownKey {
        /// The workspace.
        workspace: WorkspaceName,
        /// The key's name.
        key: KeyName,
    },
    /// The settings are not sound, before or after the change.
    #[snafu(display("{findings}"))]
    Findings {
        /// What is wrong.
        findings: SettingsFindings,
    },
}

/// Returns the text with a key added to a workspace.
///
/// # Errors
///
/// Fails when the workspace does not exist, has a key of this name, or the
/// settings are not sound.
pub fn grant_key(
    text: &str,
    workspace: &WorkspaceName,
    key: &KeyName,
    hash: &KeyHash,
) -> Result<String, EditError> {
    let checked = parse(text)?;
    let section = format!("/workspaces/{workspace}");
    if checked.source().section(&section).is_none() {
        return Err(EditError::UnknownWorkspace {
            workspace: workspace.clone(),
        });
    }
    let section = key_section(workspace, key);
    if checked.source().section(&section).is_some() {
        return Err(EditError::KeyExists {
            workspace: workspace.clone(),
            key: key.clone(),
        });
    }
    let separator = if text.ends_with('\n') { "" } else { "\n" };
    let text = format!("{text}{separator}\n[{section}]\nhash = {hash}\n");
    parse(&text)?;
    Ok(text)
}

/// Returns the text with a key marked as withdrawn.
///
/// Withdrawing a withdrawn key changes nothing.
///
/// # Errors
///
/// Fails when there is no such key or the settings are not sound.
pub fn withdraw_key(
    text: &str,
    workspace: &WorkspaceName,
    key: &KeyName,
) -> Result<String, EditError> {
    let checked = parse(text)?;
    let path = key_section(workspace, key);
    let Some(section) = checked.source().section(&path) else {
        return Err(EditError::UnknownKey {
            workspace: workspace.clone(),
            key: key.clone(),
        });
    };
    let text = match section.get("withdrawn") {
        Some(entry) => {
            let (before, after) = (line_end(text, entry.line - 1), line_end(text, entry.line));
            format!("{}{WITHDRAWN_LINE}{}", &text[..before], &text[after..])
        }
        None => insert_after(text, section.line),
    };
    parse(&text)?;
    Ok(text)
}

fn insert_after(text: &str, line: u32) -> String {
    let (before, after) = text.split_at(line_end(text, line));
    let separator = if before.ends_with(['\n', '\r']) {
        ""
    } else {
        "\n"
    };
    format!("{before}{separator}{WITHDRAWN_LINE}{after}")
}

/// Returns the offset behind the given line, counted from 1, and its end mark.
fn line_end(text: &str, line: u32) -> usize {
    let bytes = text.as_bytes();
    let mut offset = 0;
    for _ in 0..line {
        let rest = &bytes[offset..];
        let Some(end) = rest.iter().position(|byte| b"\r\n".contains(byte)) else {
            return bytes.len();
        };
        let mark = if rest[end..].starts_with(b"\r\n") {
            2
        } else {
            1
        };
        offset += end + mark;
    }
    offset
}

fn key_section(workspace: &WorkspaceName, key: &KeyName) -> String {
    format!("/workspaces/{workspace}/keys/{key}")
}

fn parse(text: &str) -> Result<CheckedSettings, EditError> {
    CheckedSettings::parse("settings", text).map_err(|findings| EditError::Findings { findings })
}
