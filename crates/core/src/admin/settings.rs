//! The settings and their revisions.

use serde::{Deserialize, Serialize};

/// The text of a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct SettingsText {
    /// The revision; 0 where none was applied.
    pub revision: u64,
    /// Who applied it.
    pub author: String,
    /// What the author says about it.
    pub note: String,
    /// The INI text.
    pub text: String,
}

/// Asks to apply settings; `If-Match` names the revision that they were made
/// from.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The file's name, for findings.
    pub file: String,
    /// The INI text.
    pub text: String,
    /// Who applies it.
    pub author: String,
    /// What the author says about it.
    #[serde(default)]
    pub note: String,
}

/// Says that settings are accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ApplyReply {
    /// The new revision.
    pub revision: u64,
    /// The digest of the text, in hexadecimal.
    pub digest: String,
}

/// A revision without its text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RevisionSummary {
    /// The revision.
    pub revision: u64,
    /// Who applied it.
    pub author: String,
    /// What the author says about it.
    pub note: String,
    /// The length of the text, in bytes.
    pub bytes: u64,
    /// The digest of the text, in hexadecimal.
    pub digest: String,
}

/// The revisions that are kept, the newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RevisionsReply {
    /// The revisions.
    pub revisions: Vec<RevisionSummary>,
}
