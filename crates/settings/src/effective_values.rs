//! Effective values of sections, with their origins.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::check::LIMIT_KEYS;
use crate::reader::{SectionReader, find_entry};
use crate::snapshot::CheckedSettings;
use crate::table::{KeySpec, key_specs};
use crate::tree::{
    InheritanceChain, PathError, SectionKind, SectionPath, SettingsSchema, SettingsTree, TreeEntry,
    TreeSection,
};

/// The origin of an effective value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "from", rename_all = "snake_case")]
pub enum ValueOrigin {
    /// Set in the section itself or inherited from a section above it.
    Written {
        /// The section that sets the value.
        section: SectionPath,
        /// The line that sets the value, counted from 1.
        line: u32,
    },
    /// Not set; the default applies.
    Default,
}

/// The value that applies at a section, after inheritance and defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct EffectiveValue {
    /// The section that the value applies to.
    pub section: SectionPath,
    /// The key.
    pub key: String,
    /// The value, in the form it has in a settings file.
    pub value: String,
    /// The unit; empty if the value has none.
    pub unit: String,
    /// The origin of the value.
    pub origin: ValueOrigin,
}

impl fmt::Display for EffectiveValue {
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
    /// Returns the effective values of the section at `path` and of the sections
    /// below it, and the values that they set only for their descendants.
    ///
    /// # Errors
    ///
    /// Fails if `path` is not a valid section path.
    pub fn effective_values(&self, path: &str) -> Result<Vec<EffectiveValue>, PathError> {
        let (path, kind) = SectionPath::parse(path, SettingsSchema::Fleet)?;
        let tree = self.tree();
        let mut values = Vec::new();
        if tree.section(path.as_str()).is_none() && kind != SectionKind::Root {
            collect_section_values(tree, &path, kind, &mut values);
        }
        let mut sections: Vec<&TreeSection> = tree
            .sections()
            .iter()
            .filter(|section| is_at_or_below(section.path.as_str(), path.as_str()))
            .collect();
        sections.sort_by(|one, other| one.path.cmp(&other.path));
        for section in sections {
            collect_section_values(tree, &section.path, section.kind, &mut values);
        }
        Ok(values)
    }
}

fn is_at_or_below(path: &str, ancestor: &str) -> bool {
    if ancestor == "/" || path == ancestor {
        return true;
    }
    path.strip_prefix(ancestor)
        .is_some_and(|rest| rest.starts_with('/'))
}

fn collect_section_values(
    tree: &SettingsTree,
    path: &SectionPath,
    kind: SectionKind,
    values: &mut Vec<EffectiveValue>,
) {
    let chain = InheritanceChain::new(tree, path.as_str());
    for spec in key_specs(SettingsSchema::Fleet) {
        let found = if spec.applies_to(kind) {
            find_entry(&chain, spec)
        } else {
            // The key does not apply to this section; it is set for descendants.
            chain.find_own(spec.name)
        };
        let default = spec.default.filter(|_| spec.applies_to(kind));
        if let Some((section, entry)) = found {
            values.push(configured_value(spec, path, section, entry));
        } else if let Some(default) = default {
            let limit = adjusted_default_limit(tree, path, spec.name);
            let value = limit.unwrap_or_else(|| default.to_owned());
            values.push(default_value(spec, path, value));
        }
    }
}

/// Returns the value of a limit that is not set, or `None` if the key is not a limit.
///
/// Defaults are adjusted to a value that is set for the other key of the pair: an
/// unset default is lowered to the maximum, an unset maximum is raised to the default.
fn adjusted_default_limit(tree: &SettingsTree, path: &SectionPath, name: &str) -> Option<String> {
    let reader = SectionReader::new(tree, SettingsSchema::Fleet, path.as_str());
    let (default_key, max_key) = LIMIT_KEYS
        .into_iter()
        .find(|(default_key, max_key)| name == *default_key || name == *max_key)?;
    let limits = reader.program_limit(default_key, max_key);
    let limit = if name == max_key {
        limits.max
    } else {
        limits.default
    };
    Some(limit.to_string())
}

fn configured_value(
    spec: &KeySpec,
    path: &SectionPath,
    section: &TreeSection,
    entry: &TreeEntry,
) -> EffectiveValue {
    EffectiveValue {
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

fn default_value(spec: &KeySpec, path: &SectionPath, value: String) -> EffectiveValue {
    EffectiveValue {
        section: path.clone(),
        key: spec.name.to_owned(),
        value,
        unit: spec.unit.as_str().to_owned(),
        origin: ValueOrigin::Default,
    }
}
