//! Writes a revision and swaps the head to it.

use std::time::{Duration, Instant};

use ibisdale_platform::{KvCompare, KvError, KvPut, KvRevision, KvTxn, KvTxnOutcome};
use ibisdale_settings::store::{ChunkedRevision, HEAD_KEY, chunk_key, revision_record_key};
use ibisdale_telemetry::record_event;
use smol::Timer;

use super::error::FeedError;
use super::store::{SettingsStore, StoredHead};

/// Pause before a call is made again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Chunks that fit into the transaction that swaps the head.
const CHUNKS_IN_SWAP: usize = 1;

/// What became of a swap; definite either way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SwapOutcome {
    /// The revision is accepted, also where a later one is in force by now.
    Accepted,
    /// Another writer was faster; the revision will never be in force.
    Lost(Box<StoredHead>),
    /// The head is gone; the revision will never be in force.
    HeadGone,
}

/// A swap under way.
struct SwapAttempt<'a> {
    store: &'a SettingsStore,
    plan: &'a ChunkedRevision,
    /// Whether the answer to an earlier try is lost.
    is_answer_lost: bool,
}

impl SettingsStore {
    /// Writes a planned revision, provided that the head is still the one that
    /// was written at `head`; returns once the outcome is definite.
    ///
    /// The transaction is safe to repeat: after it took effect, its condition
    /// no longer holds, and the head or the history bears the plan's nonce.
    pub(crate) async fn swap(
        &self,
        plan: &ChunkedRevision,
        head: KvRevision,
        deadline: Instant,
    ) -> Result<SwapOutcome, FeedError> {
        if plan.chunks().len() > CHUNKS_IN_SWAP {
            self.write_chunks(plan, deadline).await?;
        }
        let mut attempt = SwapAttempt {
            store: self,
            plan,
            is_answer_lost: false,
        };
        let txn = swap_txn(plan, head);
        loop {
            let error = match self.client.txn(txn.clone()).await {
                Ok(outcome) => match attempt.settle(outcome).await {
                    Ok(outcome) => return Ok(outcome),
                    Err(error) => error,
                },
                Err(source) => attempt.note_failure(source),
            };
            if Instant::now() >= deadline || is_final(&error) {
                return Err(error);
            }
            Timer::after(RETRY_DELAY).await;
        }
    }

    /// Writes the chunks; their keys hold the nonce, so that writing them again
    /// is harmless.
    async fn write_chunks(
        &self,
        plan: &ChunkedRevision,
        deadline: Instant,
    ) -> Result<(), FeedError> {
        let record = plan.record();
        for (number, chunk) in (0..).zip(plan.chunks()) {
            let key = chunk_key(record.revision, &record.nonce, number);
            loop {
                let put = KvPut::new(key.clone(), chunk.clone());
                match self.client.put(put).await {
                    Ok(_) => break,
                    Err(source) if is_useless(&source) || Instant::now() >= deadline => {
                        return Err(FeedError::Unavailable { source });
                    }
                    Err(_) => {}
                }
                Timer::after(RETRY_DELAY).await;
            }
        }
        Ok(())
    }
}

fn swap_txn(plan: &ChunkedRevision, head: KvRevision) -> KvTxn {
    let record = plan.record();
    let value = record.encode();
    let mut txn = KvTxn::new()
        .when(KvCompare::mod_revision(HEAD_KEY, head))
        .put(KvPut::new(HEAD_KEY, value.clone()))
        .put(KvPut::new(revision_record_key(record.revision), value))
        .otherwise_get(HEAD_KEY);
    if plan.chunks().len() <= CHUNKS_IN_SWAP {
        for (number, chunk) in (0..).zip(plan.chunks()) {
            let key = chunk_key(record.revision, &record.nonce, number);
            txn = txn.put(KvPut::new(key, chunk.clone()));
        }
    }
    txn
}

/// Tells whether making a call again is of no use.
fn is_useless(error: &KvError) -> bool {
    error.is_refused() && error.is_not_applied()
}

/// Tells whether trying to swap again is of no use.
fn is_final(error: &FeedError) -> bool {
    match error {
        FeedError::Unavailable { source } | FeedError::OutcomeUnknown { source, .. } => {
            is_useless(source)
        }
        _ => true,
    }
}

impl SwapAttempt<'_> {
    fn note_failure(&mut self, source: KvError) -> FeedError {
        self.is_answer_lost |= !source.is_not_applied();
        self.failure(source)
    }

    fn failure(&self, source: KvError) -> FeedError {
        if self.is_answer_lost {
            let revision = self.plan.record().revision;
            return FeedError::OutcomeUnknown { revision, source };
        }
        FeedError::Unavailable { source }
    }

    /// Tells what an answered transaction means.
    async fn settle(&self, outcome: KvTxnOutcome) -> Result<SwapOutcome, FeedError> {
        if outcome.is_applied {
            return Ok(SwapOutcome::Accepted);
        }
        let Some(entry) = outcome.entries.first() else {
            return Ok(SwapOutcome::HeadGone);
        };
        let head = StoredHead::decode(entry)?;
        let is_accepted = head.record.nonce == self.plan.record().nonce
            || (self.is_answer_lost && self.is_in_history().await?);
        if self.is_answer_lost {
            let revision = self.plan.record().revision;
            record_event!(WriteSettled, record = revision, applied = is_accepted);
        }
        if is_accepted {
            return Ok(SwapOutcome::Accepted);
        }
        Ok(SwapOutcome::Lost(Box::new(head)))
    }

    /// Tells whether the plan's revision came into force before a later one.
    async fn is_in_history(&self) -> Result<bool, FeedError> {
        let planned = self.plan.record();
        match self.store.read_record(planned.revision).await {
            Ok(record) => Ok(record.nonce == planned.nonce),
            Err(FeedError::UnknownRevision { .. }) => Ok(false),
            Err(FeedError::Unavailable { source }) => Err(self.failure(source)),
            Err(error) => Err(error),
        }
    }
}
