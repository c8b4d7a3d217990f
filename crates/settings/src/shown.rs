//! Each value that holds, and where it comes from.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::check::LIMIT_KEYS;
use crate::reader::{SectionReader, find_entry};
use crate::snapshot::CheckedSettings;
use crate::table::{KeySpec, key_specs};
use crate::tree::{
    InheritanceChain, PathError, SectionKind, SectionPath, SettingsSchema, SettingsSource,
    SourceEntry, SourceSection,
};

/// Where a value comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "from", rename_all = "snake_case")]
pub enum ValueOrigin {
    /// Written in a section.
    Written {
        /// The section that it is written in.
        section: SectionPath,
        /// The line, from 1.
        line: u32,
    },
    /// Written nowhere; the default holds.
    Default,
}

/// A value that holds at a section.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ShownValue {
    /// The section.
    pub section: SectionPath,
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The unit, if the value has one.
    pub unit: String,
    /// Where the value comes from.
    pub origin: ValueOrigin,
}

impl fmt::Display for ShownValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} = {}", self.key, self.value)?;
        if !self.unit.is_empty() {
            write!(formatter, " {}", self.unit)?;
        }
        match &self.origin {
            ValueOrigin::Default => formatter.write_str("  (default)"),
            ValueOrigin::Written { section, line } => {
                write!(formatter, "  (from [{section}], line {line})")
            }
        }
    }
}

impl CheckedSettings {
    /// Returns the values that hold at `path` and at the sections beneath it.
    ///
    /// # Errors
    ///
    /// Fails when there can be no such section.
    pub fn show(&self, path: &str) -> Result<Vec<ShownValue>, PathError> {
        let (path, kind) = SectionPath::parse(path, SettingsSchema::Operators)?;
        let source = self.source();
        let mut values = Vec::new();
        if source.section(path.as_str()).is_none() && kind != SectionKind::Root {
            show_section(source, &path, kind, &mut values);
        }
        let mut sections: Vec<&SourceSection> = source
            .sections()
            .iter()
            .filter(|section| is_beneath(section.path.as_str(), path.as_str()))
            .collect();
        sections.sort_by(|one, other| one.path.cmp(&other.path));
        for section in sections {
            show_section(source, &section.path, section.kind, &mut values);
        }
        Ok(values)
    }
}

fn is_beneath(path: &str, top: &str) -> bool {
    if top == "/" || path == top {
        return true;
    }
    path.strip_prefix(top)
        .is_some_and(|rest| rest.starts_with('/'))
}

fn show_section(
    source: &SettingsSource,
    path: &SectionPath,
    kind: SectionKind,
    values: &mut Vec<ShownValue>,
) {
    let chain = InheritanceChain::new(source, path.as_str());
    for spec in key_specs(SettingsSchema::Operators) {
        let found = if spec.applies_to(kind) {
            find_entry(&chain, spec)
        } else {
            chain.find_own(spec.name)
        };
        let default = spec.default.filter(|_| spec.applies_to(kind));
        if let Some((section, entry)) = found {
            values.push(written_value(spec, path, section, entry));
        } else if let Some(default) = default {
            let limit = unwritten_limit(source, path, spec.name);
            let value = limit.unwrap_or_else(|| default.to_owned());
            values.push(default_value(spec, path, value));
        }
    }
}

/// Returns a limit that is not written; it gives way to a written one that
/// belongs to it.
fn unwritten_limit(source: &SettingsSource, path: &SectionPath, name: &str) -> Option<String> {
    let reader = SectionReader::new(source, SettingsSchema::Operators, path.as_str());
    let (default_key, max_key) = LIMIT_KEYS
        .into_iter()
        .find(|(default_key, max_key)| name == *default_key || name == *max_key)?;
    let range = reader.limit(default_key, max_key);
    let limit = if name == max_key {
        range.max
    } else {
        range.default
    };
    Some(limit.to_string())
}

fn written_value(
    spec: &KeySpec,
    path: &SectionPath,
    section: &SourceSection,
    entry: &SourceEntry,
) -> ShownValue {
    ShownValue {
        section: path.clone(),
        key: spec.name.to_owned(),
        value: entry.value.clone(),
        unit: spec.unit.as_str().to_owned(),
        origin: ValueOrigin::Written {
            section: section.path.clone(),
            line: entry.line,
        },
    }
}

fn default_value(spec: &KeySpec, path: &SectionPath, value: String) -> ShownValue {
    ShownValue {
        section: path.clone(),
        key: spec.name.to_owned(),
        value,
        unit: spec.unit.as_str().to_owned(),
        origin: ValueOrigin::Default,
    }
}
