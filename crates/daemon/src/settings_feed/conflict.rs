//! Tells the loser of a race what the winner changed.

use bytes::Bytes;
use ibisdale_core::admin::{SettingChange, SettingsConflict};
use ibisdale_settings::store::RevisionRecord;
use ibisdale_settings::{CheckedSettings, SettingsDifference};

use super::error::FeedError;
use super::shared::FeedShared;

impl FeedShared {
    /// Describes the conflict with the revision in force.
    pub(crate) async fn describe_conflict(
        &self,
        expected: u64,
        current: Option<&RevisionRecord>,
    ) -> FeedError {
        // The conflict is final also where its difference can't be read.
        let difference = match current {
            Some(current) => self.difference(expected, current).await.unwrap_or_default(),
            None => Vec::new(),
        };
        let conflict = SettingsConflict {
            expected,
            current: current.map_or(0, |record| record.revision),
            author: current.map_or_else(String::new, |record| record.author.clone()),
            difference,
        };
        FeedError::Conflict {
            conflict: Box::new(conflict),
        }
    }

    async fn difference(
        &self,
        expected: u64,
        current: &RevisionRecord,
    ) -> Result<Vec<SettingChange>, FeedError> {
        let before = if expected == 0 {
            Bytes::new()
        } else {
            let record = self.store.read_record(expected).await?;
            self.store.read_text(&record).await?
        };
        let after = self.store.read_text(current).await?;
        let (before, after) = (parse(expected, &before)?, parse(current.revision, &after)?);
        let difference = SettingsDifference::between(before.tree(), after.tree());
        Ok(difference.into_changes())
    }
}

fn parse(revision: u64, text: &Bytes) -> Result<CheckedSettings, FeedError> {
    let name = format!("revision {revision}");
    CheckedSettings::parse(&name, &String::from_utf8_lossy(text))
        .map_err(|findings| FeedError::Findings { findings })
}
