//! Choice of the holders of a slot's histories.

use std::time::Duration;

use bytes::Bytes;
use ibisdale_core::{DaemonName, RefusalCode, RequestRefusal, SlotId};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use snafu::Snafu;

const SHORTAGE_RETRY: Duration = Duration::from_secs(1);

new_key_type! {
    /// Names a holder within one [`HolderTable`].
    pub struct HolderKey;
}

/// Name of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct FailureDomain(Bytes);

impl FailureDomain {
    /// Creates a name.
    pub fn new(name: impl Into<Bytes>) -> Self {
        Self(name.into())
    }
}

/// Copies that a workspace wants of its histories.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CopyPolicy {
    /// Holders that store each record before it counts.
    pub copies: usize,
    /// Failure domains that these holders are in, at least.
    pub domains: usize,
}

impl Default for CopyPolicy {
    fn default() -> Self {
        Self {
            copies: 2,
            domains: 2,
        }
    }
}

/// A daemon with a data folder, as its owner's daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderState {
    /// The daemon.
    pub name: DaemonName,
    /// Where it is.
    pub domain: FailureDomain,
    /// Whether it answers.
    pub is_live: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether its disk is full or failing.
    pub is_disk_failing: bool,
}

impl HolderState {
    fn is_usable(&self) -> bool {
        self.is_live && !self.is_leaving && !self.is_disk_failing
    }
}

/// Tells why the wanted copies can't be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display(
    "{} copies in {} failure domains are wanted, {holders} holders in {domains} are usable",
    wanted.copies,
    wanted.domains
))]
pub struct CopyShortage {
    /// What is wanted.
    pub wanted: CopyPolicy,
    /// Usable holders.
    pub holders: usize,
    /// Failure domains that these are in.
    pub domains: usize,
}

impl CopyShortage {
    /// Returns the refusal of requests whose history can't be kept; they have
    /// not run.
    #[must_use]
    pub fn refusal(&self) -> RequestRefusal {
        RequestRefusal::new(RefusalCode::HistoryUnavailable, self.to_string())
            .retry_after(SHORTAGE_RETRY)
    }
}

/// All holders that a daemon knows.
#[derive(Debug, Default)]
pub struct HolderTable {
    holders: SlotMap<HolderKey, HolderState>,
}

impl HolderTable {
    /// Adds a holder, or brings what is known of it up to date.
    pub fn update(&mut self, state: HolderState) -> HolderKey {
        if let Some(key) = self.find(&state.name) {
            self.holders[key] = state;
            return key;
        }
        self.holders.insert(state)
    }

    /// Finds a holder by its name.
    #[must_use]
    pub fn find(&self, name: &DaemonName) -> Option<HolderKey> {
        let mut holders = self.holders.iter();
        holders.find_map(|(key, state)| (state.name == *name).then_some(key))
    }

    /// Returns what is known of a holder.
    #[must_use]
    pub fn get(&self, key: HolderKey) -> Option<&HolderState> {
        self.holders.get(key)
    }

    /// Chooses the holders of a slot.
    ///
    /// Holders in `current` stay where they are usable and the domains allow
    /// it; the others follow in an order that differs by slot and hardly
    /// changes when a holder comes or goes.
    ///
    /// # Errors
    ///
    /// Fails when the usable holders are too few or in too few domains.
    pub fn choose(
        &self,
        slot: SlotId,
        policy: CopyPolicy,
        current: &[HolderKey],
    ) -> Result<Vec<HolderKey>, CopyShortage> {
        let mut candidates = self.candidates(slot, current);
        let shortage = self.shortage(policy, &candidates);
        if candidates.len() < policy.copies {
            return Err(shortage);
        }
        let mut chosen = Vec::with_capacity(policy.copies);
        while chosen.len() < policy.copies && !candidates.is_empty() {
            let is_new = |key: &HolderKey| !self.has_domain(&chosen, *key);
            let index = candidates.iter().position(is_new).unwrap_or(0);
            chosen.push(candidates.remove(index));
        }
        if self.count_domains(&chosen) < policy.domains {
            return Err(shortage);
        }
        Ok(chosen)
    }

    fn candidates(&self, slot: SlotId, current: &[HolderKey]) -> Vec<HolderKey> {
        let holders = self.holders.iter();
        let usable = holders.filter(|(_, state)| state.is_usable());
        let mut scored: Vec<_> = usable
            .map(|(key, state)| (!current.contains(&key), score(slot, &state.name), key))
            .collect();
        scored.sort_unstable_by_key(|(is_new, score, _)| (*is_new, *score));
        scored.into_iter().map(|(.., key)| key).collect()
    }

    fn shortage(&self, wanted: CopyPolicy, candidates: &[HolderKey]) -> CopyShortage {
        CopyShortage {
            wanted,
            holders: candidates.len(),
            domains: self.count_domains(candidates),
        }
    }

    fn count_domains(&self, keys: &[HolderKey]) -> usize {
        let mut domains: Vec<_> = keys.iter().map(|key| &self.holders[*key].domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len()
    }

    fn has_domain(&self, chosen: &[HolderKey], key: HolderKey) -> bool {
        let domain = &self.holders[key].domain;
        chosen
            .iter()
            .any(|chosen| self.holders[*chosen].domain == *domain)
    }
}

/// Returns the rendezvous hash of a slot and a holder.
fn score(slot: SlotId, name: &DaemonName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&slot.get().to_be_bytes());
    hasher.update(name.as_bytes());
    *hasher.finalize().as_bytes()
}
