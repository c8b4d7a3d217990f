//! Differences between two settings revisions.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A section or value that differs between two settings revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct SettingChange {
    /// Path of the section.
    pub section: String,
    /// The key, or `None` if the section itself was added or removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The old value, or `None` if the section or key was added; empty for a removed
    /// section.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// The new value, or `None` if the section or key was removed; empty for an added
    /// section.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

impl fmt::Display for SettingChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let section = &self.section;
        let Some(key) = &self.key else {
            let sign = if self.after.is_some() { '+' } else { '-' };
            return write!(formatter, "{sign} [{section}]");
        };
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => {
                write!(formatter, "~ [{section}] {key} = {before} -> {after}")
            }
            (Some(before), None) => write!(formatter, "- [{section}] {key} = {before}"),
            (None, Some(after)) => write!(formatter, "+ [{section}] {key} = {after}"),
            (None, None) => write!(formatter, "  [{section}] {key}"),
        }
    }
}
