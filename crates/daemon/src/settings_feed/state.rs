//! What the feed knows.

use std::time::{Duration, Instant};

use bytes::Bytes;
use ibisdale_platform::KvRevision;
use ibisdale_settings::store::{RevisionRecord, TextDigest};
use ibisdale_settings::{CheckedSettings, SettingsSnapshot};

/// A revision that was checked and may come into force.
#[derive(Clone, Debug)]
pub(crate) struct LoadedSettings {
    pub(crate) record: RevisionRecord,
    pub(crate) text: Bytes,
    pub(crate) snapshot: SettingsSnapshot,
}

impl LoadedSettings {
    pub(crate) fn new(record: RevisionRecord, text: Bytes, checked: &CheckedSettings) -> Self {
        let snapshot = checked.snapshot(record.revision);
        Self {
            record,
            text,
            snapshot,
        }
    }
}

/// The text of a revision with its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredText {
    /// The record; `None` where no settings were ever applied, or where the
    /// text came from a peer and its record is not read yet.
    pub record: Option<RevisionRecord>,
    /// The revision; 0 where no settings were ever applied.
    pub revision: u64,
    /// The INI text.
    pub text: Bytes,
}

/// Settings that were accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedSettings {
    /// The new revision.
    pub revision: u64,
    /// The digest of the text.
    pub digest: TextDigest,
}

/// Why a revision does not come into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TakeRefusal {
    /// It is in force already.
    Known,
    /// A higher one is in force, or known to be in force elsewhere.
    Lower,
}

/// What the feed knows; changed under a lock.
#[derive(Debug, Default)]
pub(crate) struct FeedState {
    pub(crate) revision: u64,
    pub(crate) record: Option<RevisionRecord>,
    pub(crate) text: Bytes,
    /// The store's revision of the head that was last seen.
    pub(crate) head_written_at: KvRevision,
    /// Least revision that may come into force.
    pub(crate) floor: u64,
    pub(crate) confirmed: Option<Instant>,
    pub(crate) last_error: Option<String>,
}

impl FeedState {
    /// Tells whether a revision may come into force.
    pub(crate) fn check(&self, record: &RevisionRecord) -> Result<(), TakeRefusal> {
        if record.revision < self.revision.max(self.floor) {
            return Err(TakeRefusal::Lower);
        }
        let is_known = record.revision == self.revision
            && self.record.as_ref().map(|known| known.digest) == Some(record.digest);
        if is_known {
            return Err(TakeRefusal::Known);
        }
        Ok(())
    }

    pub(crate) fn take(&mut self, loaded: &LoadedSettings) {
        self.revision = loaded.record.revision;
        self.record = Some(loaded.record.clone());
        self.text = loaded.text.clone();
        self.last_error = None;
    }

    /// Notes that the revision in force was the newest at `instant`.
    pub(crate) fn confirm(&mut self, instant: Instant) {
        self.confirmed = self.confirmed.max(Some(instant));
    }

    pub(crate) fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed
            .map(|instant| now.saturating_duration_since(instant))
    }
}
