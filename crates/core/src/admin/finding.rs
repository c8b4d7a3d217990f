//! Findings: what is wrong in a settings file, and where.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A line of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct SourcePlace {
    /// The file's name as given by the operator.
    pub file: String,
    /// The line, from 1.
    pub line: u32,
}

impl fmt::Display for SourcePlace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.file, self.line)
    }
}

/// Classifies findings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// The line is neither a section, a `KEY = VALUE` pair nor a comment.
    Syntax,
    /// No such section is known.
    UnknownSection,
    /// The key is not known, or not allowed in this section.
    UnknownKey,
    /// A name in the path or a value has a character that is not allowed.
    BadName,
    /// The value does not have the key's kind.
    BadValue,
    /// The value is outside the key's range or contradicts another value.
    Range,
    /// A section, key or key hash stands twice.
    Duplicate,
    /// A required value is missing.
    Missing,
    /// A name refers to a section that does not exist.
    MissingReference,
}

/// One thing that is wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct SettingsFinding {
    /// Where it is.
    pub place: SourcePlace,
    /// What kind of mistake it is.
    pub kind: FindingKind,
    /// Explains the mistake.
    pub message: String,
}

impl fmt::Display for SettingsFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.message)
    }
}
