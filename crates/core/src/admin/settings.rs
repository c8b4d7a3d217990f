//! Settings and their revisions.

use serde::{Deserialize, Serialize};

/// A settings revision with its text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct SettingsText {
    /// Revision number, or 0 if no settings were applied yet.
    pub revision: u64,
    /// Author of the revision.
    pub author: String,
    /// The author's note on the revision.
    pub note: String,
    /// The settings in INI format.
    pub text: String,
}

/// Request to apply settings. The `If-Match` header names the revision that they
/// are based on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// File name that findings refer to.
    pub file: String,
    /// The settings in INI format.
    pub text: String,
    /// Author of the new revision.
    pub author: String,
    /// The author's note on the revision.
    #[serde(default)]
    pub note: String,
}

/// Response to settings that were accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ApplyReply {
    /// Number of the new revision.
    pub revision: u64,
    /// BLAKE3 hash of the text, in hexadecimal.
    pub digest: String,
}

/// A settings revision without its text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RevisionSummary {
    /// Revision number.
    pub revision: u64,
    /// Author of the revision.
    pub author: String,
    /// The author's note on the revision.
    pub note: String,
    /// Length of the text, in bytes.
    pub bytes: u64,
    /// BLAKE3 hash of the text, in hexadecimal.
    pub digest: String,
}

/// The stored settings revisions, newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RevisionsReply {
    /// Summaries of the revisions.
    pub revisions: Vec<RevisionSummary>,
}
