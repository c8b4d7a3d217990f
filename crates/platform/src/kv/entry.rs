//! Keys, values and revisions.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::wire;

/// A revision of the store, or 0 for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct KvRevision(i64);

impl KvRevision {
    /// The revision of a key that does not exist.
    pub const NONE: Self = Self(0);

    /// Creates a revision.
    #[must_use]
    pub const fn new(revision: i64) -> Self {
        Self(revision)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> i64 {
        self.0
    }

    /// Returns the revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Identifies a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct LeaseId(i64);

impl LeaseId {
    /// Creates an identifier; 0 stands for no lease.
    #[must_use]
    pub const fn new(id: i64) -> Self {
        Self(id)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> i64 {
        self.0
    }
}

/// A key that exists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvEntry {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub create_revision: KvRevision,
    /// Revision at which the key was last written.
    pub mod_revision: KvRevision,
    /// Number of writes since the key was created.
    pub version: u64,
    /// The lease that the key ends with.
    pub lease: Option<LeaseId>,
}

impl From<wire::KeyValue> for KvEntry {
    fn from(kv: wire::KeyValue) -> Self {
        Self {
            key: kv.key.0,
            value: kv.value.0,
            create_revision: KvRevision(kv.create_revision.0),
            mod_revision: KvRevision(kv.mod_revision.0),
            version: u64::try_from(kv.version.0).unwrap_or(0),
            lease: (kv.lease.0 != 0).then_some(LeaseId(kv.lease.0)),
        }
    }
}

/// What a read saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KvSnapshot {
    /// Revision that the read was made at.
    pub revision: KvRevision,
    /// Keys in order.
    pub entries: Vec<KvEntry>,
}

impl KvSnapshot {
    /// Returns the only entry of a read of one key.
    #[must_use]
    pub fn into_entry(self) -> Option<KvEntry> {
        self.entries.into_iter().next()
    }
}

/// A write of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvPut {
    key: Bytes,
    value: Bytes,
    lease: Option<LeaseId>,
}

impl KvPut {
    /// Creates a write without lease.
    pub fn new(key: impl Into<Bytes>, value: impl Into<Bytes>) -> Self {
        Self {
            key: key.into(),
            value: value.into(),
            lease: None,
        }
    }

    /// Sets the lease that the key ends with.
    #[must_use]
    pub fn lease(mut self, lease: LeaseId) -> Self {
        self.lease = Some(lease);
        self
    }

    pub(crate) fn into_wire(self) -> wire::PutRequest {
        wire::PutRequest {
            key: self.key.into(),
            value: self.value.into(),
            lease: wire::Int64(self.lease.map_or(0, LeaseId::get)),
        }
    }
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvChange {
    /// The key was written.
    Put(KvEntry),
    /// The key was deleted, or its lease ended.
    Delete {
        /// The key.
        key: Bytes,
        /// Revision of the deletion.
        revision: KvRevision,
    },
}

impl KvChange {
    /// Returns the key.
    #[must_use]
    pub fn get_key(&self) -> &Bytes {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Delete { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    #[must_use]
    pub fn get_revision(&self) -> KvRevision {
        match self {
            Self::Put(entry) => entry.mod_revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

impl From<wire::WatchEvent> for KvChange {
    fn from(event: wire::WatchEvent) -> Self {
        match event.kind {
            wire::EventKind::Put => Self::Put(event.kv.into()),
            wire::EventKind::Delete => Self::Delete {
                key: event.kv.key.0,
                revision: KvRevision(event.kv.mod_revision.0),
            },
        }
    }
}
