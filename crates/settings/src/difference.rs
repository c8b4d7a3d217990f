//! Differences between two revisions of the settings.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use ibisdale_core::admin::SettingChange;
use serde::{Deserialize, Serialize};

use crate::tree::{SectionPath, SettingsTree, TreeSection};

/// The changes between two revisions, ordered by section and key.
///
/// Sections and values are compared as written, without inheritance and
/// defaults. Comments and the order of sections and keys are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct SettingsDifference(Vec<SettingChange>);

impl SettingsDifference {
    /// Returns the changes that turn `before` into `after`.
    #[must_use]
    pub fn between(before: &SettingsTree, after: &SettingsTree) -> Self {
        let before = sections_by_path(before);
        let after = sections_by_path(after);
        let paths: BTreeSet<&SectionPath> = before.keys().chain(after.keys()).copied().collect();
        let mut changes = Vec::new();
        for path in paths {
            let pair = (before.get(path).copied(), after.get(path).copied());
            compare_sections(path, pair.0, pair.1, &mut changes);
        }
        Self(changes)
    }

    /// Returns the changes.
    #[must_use]
    pub fn changes(&self) -> &[SettingChange] {
        &self.0
    }

    /// Converts the difference into its changes.
    #[must_use]
    pub fn into_changes(self) -> Vec<SettingChange> {
        self.0
    }

    /// Returns whether there are no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for SettingsDifference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, change) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            change.fmt(formatter)?;
        }
        Ok(())
    }
}

fn sections_by_path(tree: &SettingsTree) -> BTreeMap<&SectionPath, &TreeSection> {
    let sections = tree.sections().iter();
    sections.map(|section| (&section.path, section)).collect()
}

fn compare_sections(
    path: &SectionPath,
    before: Option<&TreeSection>,
    after: Option<&TreeSection>,
    changes: &mut Vec<SettingChange>,
) {
    if before.is_some() != after.is_some() {
        // An added or removed section has no key; its value is empty where the
        // section exists.
        let section_marker = |section: Option<&TreeSection>| section.map(|_| String::new());
        changes.push(SettingChange {
            section: path.to_string(),
            key: None,
            before: section_marker(before),
            after: section_marker(after),
        });
    }
    let before = entries_by_key(before);
    let after = entries_by_key(after);
    let keys: BTreeSet<&str> = before.keys().chain(after.keys()).copied().collect();
    for key in keys {
        let (before, after) = (before.get(key), after.get(key));
        if before == after {
            continue;
        }
        changes.push(SettingChange {
            section: path.to_string(),
            key: Some(key.to_owned()),
            before: before.map(|value| (*value).to_owned()),
            after: after.map(|value| (*value).to_owned()),
        });
    }
}

fn entries_by_key(section: Option<&TreeSection>) -> BTreeMap<&str, &str> {
    let entries = section.map_or(&[][..], |section| &section.entries);
    entries
        .iter()
        .map(|entry| (entry.key.as_str(), entry.value.as_str()))
        .collect()
}
