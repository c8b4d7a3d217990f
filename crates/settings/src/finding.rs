//! Errors found in a settings file, with their locations.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

use ibisdale_core::admin::{FindingKind, SettingsFinding, SourcePlace};
use serde::{Deserialize, Serialize};

/// All findings of one check, ordered by location.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct SettingsFindings(Vec<SettingsFinding>);

impl SettingsFindings {
    /// Sorts the findings by location and removes duplicates.
    #[must_use]
    pub(crate) fn new(mut findings: Vec<SettingsFinding>) -> Self {
        findings.sort();
        findings.dedup();
        Self(findings)
    }

    /// Converts the findings into a vector, ordered by location.
    #[must_use]
    pub fn into_vec(self) -> Vec<SettingsFinding> {
        self.0
    }

    /// Returns the findings, ordered by location.
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
                file: self.file.to_string(),
                line,
            },
            kind,
            message: message.into(),
        });
    }

    pub(crate) fn into_result(self) -> Result<(), SettingsFindings> {
        if self.findings.is_empty() {
            return Ok(());
        }
        Err(SettingsFindings::new(self.findings))
    }
}
