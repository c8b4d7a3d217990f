//! How far each holder has a program's history, and what of it is safe.

use crate::replication::holders::HolderKey;
use crate::store::AppendStatus;

/// How far one holder has a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HolderProgress {
    holder: HolderKey,
    stored: u64,
}

/// What an answer of a holder means for the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendEffect {
    /// The holder has the record; records below this sequence are safe.
    Safe(u64),
    /// Another owner has taken over: nothing more may be answered.
    Fenced,
    /// The holder lacks earlier records: the history is sent to it again from
    /// its first record.
    SendAgain,
    /// The holder's disk is full or failing: another one is to take its place.
    Replace,
    /// The holder keeps no copy of this history.
    Ignored,
}

/// How far the holders of a program have its history.
#[derive(Clone, Debug, Default)]
pub struct CopyProgress {
    members: Vec<HolderProgress>,
    joining: Vec<HolderProgress>,
}

impl CopyProgress {
    /// Creates the progress of a history that no holder has yet.
    #[must_use]
    pub fn new(holders: &[HolderKey]) -> Self {
        Self::with_stored(holders, 0)
    }

    /// Creates the progress of a history of which all holders have as many
    /// records.
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

    /// Notes a holder's answer to the append of one record.
    pub fn note(&mut self, holder: HolderKey, sequence: u64, status: AppendStatus) -> AppendEffect {
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
                AppendEffect::Safe(self.safe_length())
            }
            AppendStatus::Gap => {
                progress.stored = 0;
                AppendEffect::SendAgain
            }
            AppendStatus::DiskFull | AppendStatus::DiskError => AppendEffect::Replace,
            AppendStatus::StaleEpoch => AppendEffect::Fenced,
        }
    }

    /// Returns the number of records that every holder has.
    #[must_use]
    pub fn safe_length(&self) -> u64 {
        let stored = self.members.iter().map(|progress| progress.stored);
        stored.min().unwrap_or_default()
    }

    /// Returns the number of records that a holder has.
    #[must_use]
    pub fn stored(&self, holder: HolderKey) -> Option<u64> {
        let mut all = self.members.iter().chain(&self.joining);
        all.find(|progress| progress.holder == holder)
            .map(|progress| progress.stored)
    }

    /// Returns the holders that records are appended at: those that count and
    /// those that are being filled.
    pub fn targets(&self) -> impl Iterator<Item = HolderKey> {
        let all = self.members.iter().chain(&self.joining);
        all.map(|progress| progress.holder)
    }

    /// Adds a holder that is filled before it counts.
    pub fn join(&mut self, holder: HolderKey) {
        if self.stored(holder).is_none() {
            self.joining.push(HolderProgress { holder, stored: 0 });
        }
    }

    /// Tells whether every joining holder has all `length` records, so that the
    /// slot's record may name the new holders.
    #[must_use]
    pub fn is_filled(&self, length: u64) -> bool {
        self.joining
            .iter()
            .all(|progress| progress.stored >= length)
    }

    /// Takes over the holders that the slot's record names now.
    pub fn set_holders(&mut self, holders: &[HolderKey]) {
        let members = holders.iter().map(|holder| HolderProgress {
            holder: *holder,
            stored: self.stored(*holder).unwrap_or_default(),
        });
        self.members = members.collect();
        self.joining.clear();
    }
}
