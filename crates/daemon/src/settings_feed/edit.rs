//! Changes to the settings in force that name no revision.

use bytes::Bytes;
use ibisdale_settings::EditError;

use super::error::FeedError;
use super::follow::SettingsFeed;
use super::state::AppliedSettings;

/// Times that a change is made anew after another writer was faster.
const EDIT_ATTEMPTS: u32 = 5;

impl SettingsFeed {
    /// Applies the text of a kept revision as a new revision.
    ///
    /// # Errors
    ///
    /// Fails with [`FeedError::UnknownRevision`] where it is not kept, and as
    /// [`SettingsFeed::apply`] does.
    pub async fn rollback(
        &self,
        revision: u64,
        expected: u64,
        author: &str,
    ) -> Result<AppliedSettings, FeedError> {
        let earlier = self.read_revision(revision).await?;
        let note = format!("rollback to revision {revision}");
        self.apply(earlier.text, expected, author, &note).await
    }

    /// Changes the newest text, and does so anew where another writer was
    /// faster.
    ///
    /// # Errors
    ///
    /// Fails with [`FeedError::Edit`] where the change can't be made, and as
    /// [`SettingsFeed::apply`] does.
    pub async fn edit(
        &self,
        change: impl Fn(&str) -> Result<String, EditError>,
        author: &str,
        note: &str,
    ) -> Result<AppliedSettings, FeedError> {
        let mut attempts = EDIT_ATTEMPTS;
        loop {
            attempts -= 1;
            let (revision, text) = self.read_newest().await?;
            let changed = change(&String::from_utf8_lossy(&text));
            let changed = changed.map_err(|source| FeedError::Edit { source })?;
            let result = self.apply(changed.into(), revision, author, note).await;
            match result {
                Err(FeedError::Conflict { .. }) if attempts > 0 => {}
                result => return result,
            }
        }
    }

    async fn read_newest(&self) -> Result<(u64, Bytes), FeedError> {
        let store = &self.shared.store;
        let Some(head) = store.read_head().await? else {
            return Ok((0, Bytes::new()));
        };
        let text = store.read_text(&head.record).await?;
        Ok((head.record.revision, text))
    }
}
