//! One difference between two revisions of the settings.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One section or value that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct SettingChange {
    /// The section.
    pub section: String,
    /// The key; `None` where the section itself came or went.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// What stood before; `None` where nothing did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// What stands now; `None` where nothing does.
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
