//! Applies operators' settings.

use std::time::Instant;

use bytes::Bytes;
use ibisdale_settings::CheckedSettings;
use ibisdale_settings::store::{ChunkedRevision, WriteNonce};
use ibisdale_telemetry::record_event;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::error::FeedError;
use super::follow::SettingsFeed;
use super::state::{AppliedSettings, LoadedSettings};
use super::store::StoredHead;
use super::swap::SwapOutcome;

impl SettingsFeed {
    /// Applies settings that were made from the revision `expected`.
    ///
    /// Returns once the settings are accepted, that is when the head was
    /// swapped; they are then in force at this daemon.
    ///
    /// # Errors
    ///
    /// Fails with [`FeedError::Findings`], [`FeedError::Conflict`] and
    /// [`FeedError::Unavailable`] where the settings are not accepted and will
    /// not be, and with [`FeedError::OutcomeUnknown`] where that could not be
    /// settled in time.
    pub async fn apply(
        &self,
        text: Bytes,
        expected: u64,
        author: &str,
        note: &str,
    ) -> Result<AppliedSettings, FeedError> {
        let checked = parse(text.clone()).await?;
        let deadline = Instant::now() + self.shared.options.get_apply_timeout();
        let head = self.shared.store.read_head().await?;
        let current = head.as_ref().map(|head| &head.record);
        if current.map_or(0, |record| record.revision) != expected {
            return Err(self.shared.describe_conflict(expected, current).await);
        }
        let written_at = head.map(|head| head.written_at).unwrap_or_default();
        let nonce = WriteNonce::generate(&mut SmallRng::from_os_rng());
        let chunk_bytes = self.shared.options.get_chunk_bytes();
        let plan = ChunkedRevision::with_chunk_size(
            chunk_bytes,
            expected + 1,
            text.clone(),
            author,
            note,
            nonce,
        );
        match self.shared.store.swap(&plan, written_at, deadline).await {
            Ok(SwapOutcome::Accepted) => {}
            Ok(SwapOutcome::Lost(head)) => return Err(self.lose(&plan, Some(&head)).await),
            Ok(SwapOutcome::HeadGone) => return Err(self.lose(&plan, None).await),
            Err(error) => return Err(error),
        }
        let loaded = LoadedSettings::new(plan.record().clone(), text, &checked);
        Ok(self.accept(&loaded, author).await)
    }

    async fn lose(&self, plan: &ChunkedRevision, winner: Option<&StoredHead>) -> FeedError {
        self.shared.remove_chunks(plan).await;
        let expected = plan.record().revision - 1;
        let winner = winner.map(|head| &head.record);
        self.shared.describe_conflict(expected, winner).await
    }

    async fn accept(&self, loaded: &LoadedSettings, author: &str) -> AppliedSettings {
        let revision = loaded.record.revision;
        record_event!(SettingsApplied, revision = revision, operator = author);
        // Refused only where a later revision is in force already.
        let _ = self.shared.publish(loaded);
        self.shared.nudge();
        if let Err(error) = self.shared.prune().await {
            log::debug!("old revisions are left: {error}");
        }
        AppliedSettings {
            revision,
            digest: loaded.record.digest,
        }
    }
}

async fn parse(text: Bytes) -> Result<CheckedSettings, FeedError> {
    let check = move || CheckedSettings::parse("settings", &String::from_utf8_lossy(&text));
    let checked = smol::unblock(check).await;
    checked.map_err(|findings| FeedError::Findings { findings })
}
