//! Finds the workspace of a key.

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

/// A key that was in force and is not any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WithdrawnKey {
    /// The workspace that the key was for.
    pub workspace: WorkspaceName,
    /// The key's name.
    pub key: KeyName,
}

/// Keys ordered by a part of their hash.
///
/// The part only narrows the search; whole hashes are compared in constant time.
#[derive(Debug, Default)]
pub(crate) struct KeyIndex {
    records: Vec<KeyRecord>,
}

impl KeyIndex {
    pub(crate) fn insert(&mut self, record: KeyRecord) {
        self.records.push(record);
    }

    /// Orders the keys after the last insertion.
    pub(crate) fn finish(&mut self) {
        self.records.sort_by_key(|record| record.hash.index());
        self.records.shrink_to_fit();
    }

    /// Iterates over the records with this hash.
    fn with_hash(&self, hash: KeyHash) -> impl Iterator<Item = &KeyRecord> {
        let index = hash.index();
        let start = self
            .records
            .partition_point(|record| record.hash.index() < index);
        self.records[start..]
            .iter()
            .take_while(move |record| record.hash.index() == index)
            .filter(move |record| record.hash == hash)
    }

    pub(crate) fn find(&self, key: &[u8]) -> KeyMatch {
        let record = self.with_hash(KeyHash::of(key)).next();
        match record {
            None => KeyMatch::Unknown,
            Some(record) if record.is_withdrawn => KeyMatch::Withdrawn,
            Some(record) => KeyMatch::Granted {
                workspace: record.workspace.clone(),
                key: record.key.clone(),
            },
        }
    }

    /// Returns the keys in force here that are not in force in `later`.
    pub(crate) fn withdrawn_in(&self, later: &Self) -> Vec<WithdrawnKey> {
        let in_force = self.records.iter().filter(|record| !record.is_withdrawn);
        let ended = in_force.filter(|record| !later.is_in_force(record));
        let name = |record: &KeyRecord| WithdrawnKey {
            workspace: record.workspace.clone(),
            key: record.key.clone(),
        };
        ended.map(name).collect()
    }

    fn is_in_force(&self, key: &KeyRecord) -> bool {
        self.with_hash(key.hash)
            .any(|record| record.workspace == key.workspace && !record.is_withdrawn)
    }
}
