//! Replication progress of a program's history at each holder.

use crate::replication::holders::HolderKey;
use crate::store::AppendStatus;

/// Number of records of a history that one holder has stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HolderProgress {
    holder: HolderKey,
    stored: u64,
}

/// Effect of a holder's append status on the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendEffect {
    /// The holder stored the record; the value is the number of records that all
    /// holders have stored.
    Stored(u64),
    /// Another owner has taken over the slot: the caller must not answer any more
    /// requests.
    Fenced,
    /// The holder lacks earlier records: the history must be sent to it again
    /// from the first record.
    Resend,
    /// The holder's disk is full or failing: the holder must be replaced.
    Replace,
    /// The holder is not a replication target of this history.
    Ignored,
}

/// Replication progress of one program's history.
#[derive(Clone, Debug, Default)]
pub struct ReplicationProgress {
    members: Vec<HolderProgress>,
    joining: Vec<HolderProgress>,
}

impl ReplicationProgress {
    /// Creates the progress of a history of which no holder has any records.
    #[must_use]
    pub fn new(holders: &[HolderKey]) -> Self {
        Self::with_stored(holders, 0)
    }

    /// Creates the progress of a history of which every holder has the first
    /// `stored` records.
    #[must_use]
    pub fn with_stored(holders: &[HolderKey], stored: u64) -> Self {
        let members = holders.iter().map(|holder| HolderProgress {
            holder: *holder,
            stored,
        });
        Self {
            members: members.collect(),
            joining: Vec::new(),
        }
    }

    /// Records a holder's status for the append of one record.
    pub fn record_append(
        &mut self,
        holder: HolderKey,
        sequence: u64,
        status: AppendStatus,
    ) -> AppendEffect {
        if status == AppendStatus::StaleEpoch {
            return AppendEffect::Fenced;
        }
        let all = self.members.iter_mut().chain(&mut self.joining);
        let Some(progress) = all.into_iter().find(|progress| progress.holder == holder) else {
            return AppendEffect::Ignored;
        };
        match status {
            AppendStatus::Stored => {
                progress.stored = progress.stored.max(sequence.saturating_add(1));
                AppendEffect::Stored(self.replicated_length())
            }
            AppendStatus::Gap => {
                progress.stored = 0;
                AppendEffect::Resend
            }
            AppendStatus::DiskFull | AppendStatus::DiskError => AppendEffect::Replace,
            AppendStatus::StaleEpoch => AppendEffect::Fenced,
        }
    }

    /// Returns the number of records that all holders except the joining ones have
    /// stored.
    #[must_use]
    pub fn replicated_length(&self) -> u64 {
        let stored = self.members.iter().map(|progress| progress.stored);
        stored.min().unwrap_or_default()
    }

    /// Returns the number of records that a holder has stored, or `None` if it is
    /// not a replication target.
    #[must_use]
    pub fn stored(&self, holder: HolderKey) -> Option<u64> {
        let mut all = self.members.iter().chain(&self.joining);
        all.find(|progress| progress.holder == holder)
            .map(|progress| progress.stored)
    }

    /// Returns the holders that new records are sent to, including the joining
    /// ones.
    pub fn targets(&self) -> impl Iterator<Item = HolderKey> {
        let all = self.members.iter().chain(&self.joining);
        all.map(|progress| progress.holder)
    }

    /// Adds a joining holder, which receives the history but does not yet count
    /// towards replication.
    pub fn add_joining(&mut self, holder: HolderKey) {
        if self.stored(holder).is_none() {
            self.joining.push(HolderProgress { holder, stored: 0 });
        }
    }

    /// Returns whether every joining holder has all `length` records, so that they
    /// may be named as holders in the slot's entry.
    #[must_use]
    pub fn is_caught_up(&self, length: u64) -> bool {
        self.joining
            .iter()
            .all(|progress| progress.stored >= length)
    }

    /// Replaces the holders with those of the slot's current entry and clears the
    /// joining ones.
    pub fn set_holders(&mut self, holders: &[HolderKey]) {
        let members = holders.iter().map(|holder| HolderProgress {
            holder: *holder,
            stored: self.stored(*holder).unwrap_or_default(),
        });
        self.members = members.collect();
        self.joining.clear();
    }
}
