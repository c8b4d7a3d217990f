//! Looks up the workspace that a key belongs to.

use ibisdale_core::{KeyName, WorkspaceName};

use crate::key_hash::KeyHash;

/// The result of looking up a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyMatch {
    /// The key is active.
    Granted {
        /// The workspace that the key belongs to.
        workspace: WorkspaceName,
        /// The key's name.
        key: KeyName,
    },
    /// The key was withdrawn.
    Withdrawn,
    /// The key belongs to no workspace.
    Unknown,
}

#[derive(Debug)]
pub(crate) struct KeyRecord {
    pub(crate) hash: KeyHash,
    pub(crate) workspace: WorkspaceName,
    pub(crate) key: KeyName,
    pub(crate) is_withdrawn: bool,
}

/// A key that was active in an earlier revision and no longer is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeactivatedKey {
    /// The workspace that the key belonged to.
    pub workspace: WorkspaceName,
    /// The key's name.
    pub key: KeyName,
}

/// Key records sorted by a prefix of their hash, for binary search.
///
/// The prefix only narrows the search; full hashes are compared in constant time.
#[derive(Debug, Default)]
pub(crate) struct KeyIndex {
    records: Vec<KeyRecord>,
}

impl KeyIndex {
    pub(crate) fn insert(&mut self, record: KeyRecord) {
        self.records.push(record);
    }

    /// Sorts the records; required after the last insertion and before lookups.
    pub(crate) fn sort(&mut self) {
        self.records
            .sort_by_key(|record| record.hash.search_prefix());
        self.records.shrink_to_fit();
    }

    /// Iterates over the records with this hash.
    fn records_with_hash(&self, hash: KeyHash) -> impl Iterator<Item = &KeyRecord> {
        let prefix = hash.search_prefix();
        let start = self
            .records
            .partition_point(|record| record.hash.search_prefix() < prefix);
        self.records[start..]
            .iter()
            .take_while(move |record| record.hash.search_prefix() == prefix)
            .filter(move |record| record.hash == hash)
    }

    pub(crate) fn find(&self, key: &[u8]) -> KeyMatch {
        let record = self.records_with_hash(KeyHash::of(key)).next();
        match record {
            None => KeyMatch::Unknown,
            Some(record) if record.is_withdrawn => KeyMatch::Withdrawn,
            Some(record) => KeyMatch::Granted {
                workspace: record.workspace.clone(),
                key: record.key.clone(),
            },
        }
    }

    /// Returns the keys that are active in this index and not in `later`.
    pub(crate) fn deactivated_in(&self, later: &Self) -> Vec<DeactivatedKey> {
        let active = self.records.iter().filter(|record| !record.is_withdrawn);
        let deactivated = active.filter(|record| !later.has_active(record));
        let deactivated_key = |record: &KeyRecord| DeactivatedKey {
            workspace: record.workspace.clone(),
            key: record.key.clone(),
        };
        deactivated.map(deactivated_key).collect()
    }

    /// Returns whether this index has an active key with the hash and workspace
    /// of `key`; its name may differ.
    fn has_active(&self, key: &KeyRecord) -> bool {
        self.records_with_hash(key.hash)
            .any(|record| record.workspace == key.workspace && !record.is_withdrawn)
    }
}
