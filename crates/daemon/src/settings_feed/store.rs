//! Reads the settings' records and texts in the key-value service.

use bytes::Bytes;
use ibisdale_platform::{KvClient, KvCompare, KvEntry, KvRevision, KvTxn};
use ibisdale_settings::store::{
    HEAD_KEY, HISTORY_PREFIX, RevisionRecord, chunk_key, join_chunks, revision_record_key,
};
use snafu::ResultExt;

use super::error::{BadRecordSnafu, BadTextSnafu, FeedError, UnavailableSnafu};

/// The head record with the store's revision of its write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredHead {
    pub(crate) record: RevisionRecord,
    pub(crate) written_at: KvRevision,
}

impl StoredHead {
    pub(crate) fn decode(entry: &KvEntry) -> Result<Self, FeedError> {
        let record = RevisionRecord::decode(&entry.value).context(BadRecordSnafu)?;
        Ok(Self {
            record,
            written_at: entry.mod_revision,
        })
    }
}

/// What a check of the head found.
#[derive(Clone, Debug)]
pub(crate) struct HeadCheck {
    /// The store's revision of the check.
    pub(crate) checked_at: KvRevision,
    pub(crate) state: HeadState,
}

/// The head compared with a known write of it.
#[derive(Clone, Debug)]
pub(crate) enum HeadState {
    /// Unchanged since the known write.
    Same,
    /// Another record.
    Other(StoredHead),
    /// No record, though one was known.
    Gone,
}

/// Reads the settings in the key-value service.
#[derive(Clone, Debug)]
pub(crate) struct SettingsStore {
    pub(crate) client: KvClient,
}

impl SettingsStore {
    /// Compares the head with a known write, in a transaction, which does not
    /// lag.
    pub(crate) async fn check_head(&self, known: KvRevision) -> Result<HeadCheck, FeedError> {
        let txn = KvTxn::new()
            .when(KvCompare::mod_revision(HEAD_KEY, known))
            .otherwise_get(HEAD_KEY);
        let outcome = self.client.txn(txn).await.context(UnavailableSnafu)?;
        let state = match outcome.entries.first() {
            _ if outcome.is_applied => HeadState::Same,
            Some(entry) => HeadState::Other(StoredHead::decode(entry)?),
            None => HeadState::Gone,
        };
        Ok(HeadCheck {
            checked_at: outcome.revision,
            state,
        })
    }

    /// Reads the head.
    pub(crate) async fn read_head(&self) -> Result<Option<StoredHead>, FeedError> {
        let check = self.check_head(KvRevision::NONE).await?;
        Ok(match check.state {
            HeadState::Other(head) => Some(head),
            HeadState::Same | HeadState::Gone => None,
        })
    }

    /// Reads a key; where a plain read does not find it, in a transaction.
    async fn read_key(&self, key: String) -> Result<Option<KvEntry>, FeedError> {
        let snapshot = self.client.get(key.clone()).await;
        let found = snapshot.context(UnavailableSnafu)?.into_entry();
        if found.is_some() {
            return Ok(found);
        }
        let txn = KvTxn::new()
            .when(KvCompare::absent(key.clone()))
            .otherwise_get(key);
        let outcome = self.client.txn(txn).await.context(UnavailableSnafu)?;
        Ok(outcome.entries.into_iter().next())
    }

    /// Reads the record of a revision.
    pub(crate) async fn read_record(&self, revision: u64) -> Result<RevisionRecord, FeedError> {
        let entry = self.read_key(revision_record_key(revision)).await?;
        let entry = entry.ok_or(FeedError::UnknownRevision { revision })?;
        RevisionRecord::decode(&entry.value).context(BadRecordSnafu)
    }

    /// Reads the text of a record.
    pub(crate) async fn read_text(&self, record: &RevisionRecord) -> Result<Bytes, FeedError> {
        let revision = record.revision;
        let mut chunks = Vec::new();
        for chunk in 0..record.chunks {
            let key = chunk_key(revision, &record.nonce, chunk);
            let entry = self.read_key(key).await?;
            chunks.push(entry.ok_or(FeedError::UnknownRevision { revision })?.value);
        }
        join_chunks(record, &chunks).context(BadTextSnafu { revision })
    }

    /// Reads the records of all kept revisions, the newest first.
    pub(crate) async fn list_records(&self) -> Result<Vec<RevisionRecord>, FeedError> {
        let snapshot = self.client.get_prefix(HISTORY_PREFIX).await;
        let entries = snapshot.context(UnavailableSnafu)?.entries;
        let records = entries.iter().rev();
        records
            .map(|entry| RevisionRecord::decode(&entry.value).context(BadRecordSnafu))
            .collect()
    }
}
