//! Counters of calls to the key-value service.

use std::ops::{AddAssign, Sub};

use serde::{Deserialize, Serialize};

/// Kinds of calls to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KvCallKind {
    /// A read.
    Range,
    /// A write of one key.
    Put,
    /// A transaction.
    Txn,
    /// A deletion.
    DeleteRange,
    /// A grant of a lease.
    LeaseGrant,
    /// A renewal of a lease.
    LeaseKeepAlive,
    /// The end of a lease.
    LeaseRevoke,
    /// The opening of a watch.
    Watch,
}

impl KvCallKind {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Range,
        Self::Put,
        Self::Txn,
        Self::DeleteRange,
        Self::LeaseGrant,
        Self::LeaseKeepAlive,
        Self::LeaseRevoke,
        Self::Watch,
    ];

    /// Returns the path of the call.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Range => "/v3/kv/range",
            Self::Put => "/v3/kv/put",
            Self::Txn => "/v3/kv/txn",
            Self::DeleteRange => "/v3/kv/deleterange",
            Self::LeaseGrant => "/v3/lease/grant",
            Self::LeaseKeepAlive => "/v3/lease/keepalive",
            Self::LeaseRevoke => "/v3/lease/revoke",
            Self::Watch => "/v3/watch",
        }
    }

    /// Returns the kind of call that a path names.
    #[must_use]
    pub fn from_path(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.path() == path)
    }
}

/// Numbers of calls by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct KvCallCounts {
    counts: [u64; KvCallKind::ALL.len()],
}

impl KvCallCounts {
    /// Counts one call.
    pub fn add(&mut self, kind: KvCallKind) {
        self.counts[kind as usize] += 1;
    }

    /// Returns the number of calls of a kind.
    #[must_use]
    pub const fn get(&self, kind: KvCallKind) -> u64 {
        self.counts[kind as usize]
    }

    /// Returns the number of calls that may change the store.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.total() - self.reads()
    }

    /// Returns the number of reads and watches.
    #[must_use]
    pub const fn reads(&self) -> u64 {
        self.get(KvCallKind::Range) + self.get(KvCallKind::Watch)
    }

    /// Returns the number of all calls.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }
}

impl AddAssign for KvCallCounts {
    fn add_assign(&mut self, other: Self) {
        for (count, added) in self.counts.iter_mut().zip(other.counts) {
            *count += added;
        }
    }
}

impl Sub for KvCallCounts {
    type Output = Self;

    fn sub(mut self, earlier: Self) -> Self {
        for (count, removed) in self.counts.iter_mut().zip(earlier.counts) {
            *count = count.saturating_sub(removed);
        }
        self
    }
}
