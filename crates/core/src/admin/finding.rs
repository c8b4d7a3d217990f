//! Findings: errors in a settings file and their locations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// File and line of an error in the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct SourcePlace {
    /// File name as given by the operator.
    pub file: String,
    /// Line number, starting at 1.
    pub line: u32,
}

impl fmt::Display for SourcePlace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.file, self.line)
    }
}

/// Category of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// The line is neither a section, a `KEY = VALUE` pair nor a comment.
    Syntax,
    /// The section is unknown.
    UnknownSection,
    /// The key is unknown or not allowed in this section.
    UnknownKey,
    /// A name in a section path or a value is not valid.
    BadName,
    /// The value does not have the type that the key requires.
    BadValue,
    /// The value is outside the range of the key or contradicts another value.
    Range,
    /// A section, key or key hash occurs twice.
    Duplicate,
    /// A required section or value is missing.
    Missing,
    /// A name refers to a section that does not exist.
    MissingReference,
}

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct SettingsFinding {
    /// Location of the error.
    pub place: SourcePlace,
    /// Category of the error.
    pub kind: FindingKind,
    /// Human-readable description of the error.
    pub message: String,
}

impl fmt::Display for SettingsFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.message)
    }
}
