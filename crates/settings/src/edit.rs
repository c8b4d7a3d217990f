//! Edits of the settings text that preserve its comments and order.

use ibisdale_core::{KeyName, WorkspaceName};
use snafu::Snafu;

use crate::finding::SettingsFindings;
use crate::key_hash::KeyHash;
use crate::snapshot::CheckedSettings;

const WITHDRAWN_LINE: &str = "withdrawn = yes\n";

/// Reasons why an edit of the settings is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum EditError {
    /// The workspace does not exist.
    #[snafu(display("workspace '{workspace}' does not exist"))]
    UnknownWorkspace {
        /// The workspace named in the edit.
        workspace: WorkspaceName,
    },
    /// The workspace already has a key of this name, active or withdrawn.
    #[snafu(display("workspace '{workspace}' already has a key '{key}'"))]
    KeyExists {
        /// The workspace named in the edit.
        workspace: WorkspaceName,
        /// The key's name.
        key: KeyName,
    },
    /// The workspace has no key of this name.
    #[snafu(display("workspace '{workspace}' has no key '{key}'"))]
    UnknownKey {
        /// The workspace named in the edit.
        workspace: WorkspaceName,
        /// The key's name.
        key: KeyName,
    },
    /// The settings have findings, before or after the edit.
    #[snafu(display("{findings}"))]
    Findings {
        /// The findings of the check that failed.
        findings: SettingsFindings,
    },
}

/// Returns the text with a key added to a workspace.
///
/// # Errors
///
/// Fails if the workspace does not exist or already has a key of this name, or
/// if the text before or after the edit has findings.
pub fn grant_key(
    text: &str,
    workspace: &WorkspaceName,
    key: &KeyName,
    hash: &KeyHash,
) -> Result<String, EditError> {
    let checked = parse(text)?;
    let section = format!("/workspaces/{workspace}");
    if checked.tree().section(&section).is_none() {
        return Err(EditError::UnknownWorkspace {
            workspace: workspace.clone(),
        });
    }
    let section = key_section(workspace, key);
    if checked.tree().section(&section).is_some() {
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
/// Withdrawing a withdrawn key is not an error. An existing `withdrawn` line of
/// the key is replaced.
///
/// # Errors
///
/// Fails if the workspace has no key of this name, or if the text before or
/// after the edit has findings.
pub fn withdraw_key(
    text: &str,
    workspace: &WorkspaceName,
    key: &KeyName,
) -> Result<String, EditError> {
    let checked = parse(text)?;
    let path = key_section(workspace, key);
    let Some(section) = checked.tree().section(&path) else {
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
        None => insert_withdrawn_line(text, section.line),
    };
    parse(&text)?;
    Ok(text)
}

/// Inserts the line that marks a key as withdrawn after the given line, counted
/// from 1.
fn insert_withdrawn_line(text: &str, line: u32) -> String {
    let (before, after) = text.split_at(line_end(text, line));
    let separator = if before.ends_with(['\n', '\r']) {
        ""
    } else {
        "\n"
    };
    format!("{before}{separator}{WITHDRAWN_LINE}{after}")
}

/// Returns the byte offset after the given line, counted from 1, and its
/// terminator: `\n`, `\r\n` or `\r`.
fn line_end(text: &str, line: u32) -> usize {
    let bytes = text.as_bytes();
    let mut offset = 0;
    for _ in 0..line {
        let rest = &bytes[offset..];
        let Some(end) = rest.iter().position(|byte| b"\r\n".contains(byte)) else {
            return bytes.len();
        };
        let terminator_bytes = if rest[end..].starts_with(b"\r\n") {
            2
        } else {
            1
        };
        offset += end + terminator_bytes;
    }
    offset
}

fn key_section(workspace: &WorkspaceName, key: &KeyName) -> String {
    format!("/workspaces/{workspace}/keys/{key}")
}

fn parse(text: &str) -> Result<CheckedSettings, EditError> {
    CheckedSettings::parse("settings", text).map_err(|findings| EditError::Findings { findings })
}
