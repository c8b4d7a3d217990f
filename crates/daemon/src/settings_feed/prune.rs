//! Removes what is no longer kept.

use ibisdale_platform::{KvError, KvTxn};
use ibisdale_settings::store::{ChunkedRevision, chunk_key, chunk_prefix, revision_record_key};

use super::error::FeedError;
use super::shared::FeedShared;

impl FeedShared {
    /// Removes the chunks of a revision that was not accepted.
    pub(crate) async fn remove_chunks(&self, plan: &ChunkedRevision) {
        let record = plan.record();
        let keys = (0..record.chunks).map(|chunk| chunk_key(record.revision, &record.nonce, chunk));
        if let Err(error) = self.delete_keys(keys.collect()).await {
            log::debug!("chunks of revision {} are left: {error}", record.revision);
        }
    }

    /// Removes revisions beyond the number that is kept, with all that losers
    /// of a race left under them.
    pub(crate) async fn prune(&self) -> Result<(), FeedError> {
        let records = self.store.list_records().await?;
        for record in records.iter().skip(self.options.get_kept_revisions()) {
            let prefix = chunk_prefix(record.revision);
            let chunks = self.store.client.get_prefix(prefix).await;
            let chunks = chunks.map_err(|source| FeedError::Unavailable { source })?;
            let keys = chunks.entries.into_iter().map(|entry| entry.key);
            let mut keys: Vec<_> = keys.collect();
            // The record goes last: what failed is found again next time.
            keys.push(revision_record_key(record.revision).into());
            let deleted = self.delete_keys(keys).await;
            deleted.map_err(|source| FeedError::Unavailable { source })?;
        }
        Ok(())
    }

    async fn delete_keys<K: Into<bytes::Bytes>>(&self, keys: Vec<K>) -> Result<(), KvError> {
        let mut keys = keys.into_iter().peekable();
        while keys.peek().is_some() {
            let batch = keys.by_ref().take(KvTxn::MAX_OPS);
            let txn = batch.fold(KvTxn::new(), KvTxn::delete);
            self.store.client.txn(txn).await?;
        }
        Ok(())
    }
}
