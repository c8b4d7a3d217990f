//! Findings: what is wrong in a settings file, and where.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A line of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct SourcePlace {
    /// The file's name as given by the operator.
    pub file: Arc<str>,
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

/// All findings of one check, in the order of their places.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct SettingsFindings(Vec<SettingsFinding>);

impl SettingsFindings {
    /// Sorts the findings by place; the same finding is reported once.
    #[must_use]
    pub(crate) fn new(mut findings: Vec<SettingsFinding>) -> Self {
        findings.sort();
        findings.dedup();
        Self(findings)
    }

    /// Returns the findings, ordered by place.
    #[must_use]
    pub fn as_slice(&self) -> &[SettingsFinding] {
        &self.0
    }
}

impl fmt::Display for SettingsFindings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            finding.fmt(formatter)?;
        }
        Ok(())
    }
}

impl Error for SettingsFindings {}

/// Collects the findings of one file.
#[derive(Debug)]
pub(crate) struct FindingList {
    file: Arc<str>,
    findings: Vec<SettingsFinding>,
}

impl FindingList {
    pub(crate) fn new(file: Arc<str>) -> Self {
        Self {
            file,
            findings: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, line: u32, kind: FindingKind, message: impl Into<String>) {
        self.findings.push(SettingsFinding {
            place: SourcePlace {
                file: Arc::clone(&self.file),
                line,
            },
            kind,
            message: message.into(),
        });
    }

    pub(crate) fn finish(self) -> Result<(), SettingsFindings> {
        if self.findings.is_empty() {
            return Ok(());
        }
        Err(SettingsFindings::new(self.findings))
    }
}
