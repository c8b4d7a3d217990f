//! Finds the workspace of a key.

use std::collections::HashMap;

use ibisdale_core::{KeyName, WorkspaceName};

use crate::key_hash::KeyHash;

/// What a presented key is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyMatch {
    /// The key is in force.
    Granted {
        /// The workspace that the key is for.
        workspace: WorkspaceName,
        /// The key's name.
        key: KeyName,
    },
    /// The key was withdrawn.
    Withdrawn,
    /// No workspace has this key.
    Unknown,
}

#[derive(Debug)]
pub(crate) struct KeyRecord {
    pub(crate) hash: KeyHash,
    pub(crate) workspace: WorkspaceName,
    pub(crate) key: KeyName,
    pub(crate) is_withdrawn: bool,
}

/// Keys by a part of their hash.
///
/// The part only narrows the search; whole hashes are compared in constant time.
#[derive(Debug, Default)]
pub(crate) struct KeyIndex {
    records: HashMap<u64, Vec<KeyRecord>>,
}

impl KeyIndex {
    pub(crate) fn insert(&mut self, record: KeyRecord) {
        self.records
            .entry(record.hash.index())
            .or_default()
            .push(record);
    }

    pub(crate) fn find(&self, key: &[u8]) -> KeyMatch {
        let hash = KeyHash::of(key);
        let records = self.records.get(&hash.index());
        let record = records
            .into_iter()
            .flatten()
            .find(|record| record.hash == hash);
        match record {
            None => KeyMatch::Unknown,
            Some(record) if record.is_withdrawn => KeyMatch::Withdrawn,
            Some(record) => KeyMatch::Granted {
                workspace: record.workspace.clone(),
                key: record.key.clone(),
            },
        }
    }
}
