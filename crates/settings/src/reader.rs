//! Reads the typed values in effect at a section.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::key_hash::KeyHash;
use crate::snapshot::ProgramLimit;
use crate::table::{FixedDecimal, KeySpec, SettingValue, find_key_spec};
use crate::tree::{InheritanceChain, SettingsSchema, SettingsTree, TreeEntry, TreeSection};

/// Finds the entry in effect for `spec` at a section, inherited if the key allows it.
pub(crate) fn find_entry<'a>(
    chain: &InheritanceChain<'a>,
    spec: &KeySpec,
) -> Option<(&'a TreeSection, &'a TreeEntry)> {
    if spec.is_inherited {
        chain.find_inherited(spec.name)
    } else {
        chain.find_own(spec.name)
    }
}

/// Reads the values of one section of a validated tree.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SectionReader<'a> {
    schema: SettingsSchema,
    chain: InheritanceChain<'a>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(tree: &'a SettingsTree, schema: SettingsSchema, path: &str) -> Self {
        Self {
            schema,
            chain: InheritanceChain::new(tree, path),
        }
    }

    /// Returns the value set in the file, or `None` if it is not set.
    fn explicit_value(&self, name: &str) -> Option<SettingValue> {
        let spec = find_key_spec(self.schema, name)?;
        let (_, entry) = find_entry(&self.chain, spec)?;
        spec.kind.parse(&entry.value).ok()
    }

    fn value(&self, name: &str) -> Option<SettingValue> {
        let default = || {
            let spec = find_key_spec(self.schema, name)?;
            spec.kind.parse(spec.default?).ok()
        };
        self.explicit_value(name).or_else(default)
    }

    pub(crate) fn integer(&self, name: &str) -> u64 {
        match self.value(name) {
            Some(SettingValue::Integer(number)) => number,
            _ => 0,
        }
    }

    /// Reads the default and maximum of a program limit.
    ///
    /// If the default exceeds the maximum, a maximum set in the file lowers the default;
    /// otherwise the default raises the maximum.
    pub(crate) fn program_limit(&self, default_key: &str, max_key: &str) -> ProgramLimit {
        let default = self.integer(default_key);
        let max = self.integer(max_key);
        if default <= max {
            return ProgramLimit { default, max };
        }
        let limit = if self.explicit_value(max_key).is_some() {
            max
        } else {
            default
        };
        ProgramLimit {
            default: limit,
            max: limit,
        }
    }

    pub(crate) fn millis(&self, name: &str) -> Duration {
        Duration::from_millis(self.integer(name))
    }

    pub(crate) fn decimal(&self, name: &str) -> Option<FixedDecimal> {
        match self.value(name) {
            Some(SettingValue::Decimal(number)) => Some(number),
            _ => None,
        }
    }

    pub(crate) fn flag(&self, name: &str) -> bool {
        matches!(self.value(name), Some(SettingValue::Flag(true)))
    }

    pub(crate) fn text(&self, name: &str) -> Option<String> {
        match self.value(name) {
            Some(SettingValue::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub(crate) fn file_path(&self, name: &str) -> Option<PathBuf> {
        self.text(name).map(PathBuf::from)
    }

    pub(crate) fn names(&self, name: &str) -> Vec<String> {
        match self.value(name) {
            Some(SettingValue::Names(names)) => names,
            _ => Vec::new(),
        }
    }

    pub(crate) fn key_hash(&self, name: &str) -> Option<KeyHash> {
        match self.value(name) {
            Some(SettingValue::KeyHash(hash)) => Some(hash),
            _ => None,
        }
    }

    pub(crate) fn addresses(&self, name: &str) -> Vec<SocketAddr> {
        match self.value(name) {
            Some(SettingValue::Addresses(addresses)) => addresses,
            _ => Vec::new(),
        }
    }

    pub(crate) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses(name).into_iter().next()
    }
}
