//! Selection of the holders of a slot's histories.

use std::time::Duration;

use bytes::Bytes;
use ibisdale_core::{DaemonName, RefusalCode, RequestRefusal, SlotId};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use snafu::Snafu;

const SHORTAGE_RETRY_AFTER: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a holder in a [`HolderTable`].
    pub struct HolderKey;
}

/// Name of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct FailureDomain(Bytes);

impl FailureDomain {
    /// Creates a failure domain with the given name.
    pub fn new(name: impl Into<Bytes>) -> Self {
        Self(name.into())
    }
}

/// Replication requirements of a workspace's histories.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ReplicationPolicy {
    /// Number of holders that must store a record before it counts as
    /// replicated.
    pub copies: usize,
    /// Minimum number of failure domains that these holders span.
    pub domains: usize,
}

impl Default for ReplicationPolicy {
    fn default() -> Self {
        Self {
            copies: 2,
            domains: 2,
        }
    }
}

/// Daemon that stores histories, as known to the owner of a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderState {
    /// Name of the daemon.
    pub name: DaemonName,
    /// Failure domain of the daemon.
    pub domain: FailureDomain,
    /// Whether the daemon responds.
    pub is_live: bool,
    /// Whether the daemon is leaving the fleet.
    pub is_leaving: bool,
    /// Whether the daemon's disk is full or failing.
    pub is_disk_unusable: bool,
}

impl HolderState {
    fn is_usable(&self) -> bool {
        self.is_live && !self.is_leaving && !self.is_disk_unusable
    }
}

/// Error returned if the usable holders can't satisfy a [`ReplicationPolicy`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display(
    "{} copies in {} failure domains are wanted, {holders} holders in {domains} are usable",
    wanted.copies,
    wanted.domains
))]
pub struct HolderShortage {
    /// The policy that can't be satisfied.
    pub wanted: ReplicationPolicy,
    /// Number of usable holders.
    pub holders: usize,
    /// Number of failure domains that the usable holders span.
    pub domains: usize,
}

impl HolderShortage {
    /// Returns the refusal for requests whose history can't be replicated. These
    /// requests have not run.
    #[must_use]
    pub fn refusal(&self) -> RequestRefusal {
        RequestRefusal::new(RefusalCode::HistoryUnavailable, self.to_string())
            .retry_after(SHORTAGE_RETRY_AFTER)
    }
}

/// All holders known to a daemon.
#[derive(Debug, Default)]
pub struct HolderTable {
    holders: SlotMap<HolderKey, HolderState>,
}

impl HolderTable {
    /// Adds a holder or updates its state.
    pub fn update(&mut self, state: HolderState) -> HolderKey {
        if let Some(key) = self.find(&state.name) {
            self.holders[key] = state;
            return key;
        }
        self.holders.insert(state)
    }

    /// Returns the key of the holder with the given name.
    #[must_use]
    pub fn find(&self, name: &DaemonName) -> Option<HolderKey> {
        let mut holders = self.holders.iter();
        holders.find_map(|(key, state)| (state.name == *name).then_some(key))
    }

    /// Returns the state of a holder.
    #[must_use]
    pub fn get(&self, key: HolderKey) -> Option<&HolderState> {
        self.holders.get(key)
    }

    /// Chooses the holders of a slot.
    ///
    /// Prefers usable holders in failure domains that are not chosen yet; among
    /// these, holders in `current`. The others are ranked by rendezvous hashing, so
    /// that slots are spread over the holders and few slots move when a holder is
    /// added or removed.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too few usable holders or if they span too
    /// few failure domains.
    pub fn choose(
        &self,
        slot: SlotId,
        policy: ReplicationPolicy,
        current: &[HolderKey],
    ) -> Result<Vec<HolderKey>, HolderShortage> {
        let mut candidates = self.candidates(slot, current);
        let shortage = self.shortage(policy, &candidates);
        if candidates.len() < policy.copies {
            return Err(shortage);
        }
        let mut chosen = Vec::with_capacity(policy.copies);
        while chosen.len() < policy.copies && !candidates.is_empty() {
            let is_in_new_domain = |key: &HolderKey| !self.shares_domain(&chosen, *key);
            let index = candidates.iter().position(is_in_new_domain).unwrap_or(0);
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
        let mut ranked: Vec<_> = usable
            .map(|(key, state)| {
                (
                    !current.contains(&key),
                    rendezvous_hash(slot, &state.name),
                    key,
                )
            })
            .collect();
        ranked.sort_unstable_by_key(|(is_not_current, hash, _)| (*is_not_current, *hash));
        ranked.into_iter().map(|(.., key)| key).collect()
    }

    fn shortage(&self, wanted: ReplicationPolicy, candidates: &[HolderKey]) -> HolderShortage {
        HolderShortage {
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

    fn shares_domain(&self, chosen: &[HolderKey], key: HolderKey) -> bool {
        let domain = &self.holders[key].domain;
        chosen
            .iter()
            .any(|chosen| self.holders[*chosen].domain == *domain)
    }
}

/// Returns the rendezvous hash of a slot and a holder.
fn rendezvous_hash(slot: SlotId, name: &DaemonName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&slot.get().to_be_bytes());
    hasher.update(name.as_bytes());
    *hasher.finalize().as_bytes()
}
