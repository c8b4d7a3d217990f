//! VMs with a disk, which hold copies of turns, and their ranking for a turn.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::Bytes;
use ibisdale_core::{hash_bytes, rendezvous_weight};
use serde::{Deserialize, Serialize};

/// Hash of a holder's name.
pub type HolderKey = u64;

/// Time after a failed call for which a holder is asked last, in milliseconds.
const SUSPECT_MS: u64 = 1_000;

/// A VM with a disk that holds copies of turns.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct HolderInfo {
    /// Name of the VM.
    pub name: Bytes,
    /// Random number that was drawn when its disk was empty.
    pub generation: u64,
    /// IP address of the VM.
    pub ip: Ipv4Addr,
    /// Port for requests.
    pub port: u16,
    /// Name of the VM's failure domain.
    pub domain: Bytes,
}

impl HolderInfo {
    /// Returns the hash of the holder's name.
    #[must_use]
    pub fn key(&self) -> HolderKey {
        hash_bytes(&self.name)
    }

    /// Returns the address for requests.
    #[must_use]
    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.port)
    }
}

/// The registered holders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HolderTable {
    holders: BTreeMap<HolderKey, HolderInfo>,
}

impl HolderTable {
    /// Creates a table of the given holders.
    #[must_use]
    pub fn new(holders: impl IntoIterator<Item = HolderInfo>) -> Self {
        let holders = holders.into_iter();
        Self {
            holders: holders.map(|holder| (holder.key(), holder)).collect(),
        }
    }

    /// Returns a holder.
    #[must_use]
    pub fn get(&self, key: HolderKey) -> Option<&HolderInfo> {
        self.holders.get(&key)
    }

    /// Returns all holders, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = &HolderInfo> {
        self.holders.values()
    }

    /// Returns the number of holders.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no holder is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Adds or replaces a holder.
    pub fn insert(&mut self, holder: HolderInfo) {
        self.holders.insert(holder.key(), holder);
    }

    /// Returns a number that is equal for tables of the same holders.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let keys = self.holders.keys();
        keys.fold(0, |digest, key| digest ^ rendezvous_weight(*key, 0))
    }
}

/// Ranks holders for a placement, best first.
///
/// Holders are ordered by rendezvous hash, except that a failure domain is not repeated
/// before each has been used: the first holders of the ranking lie in different domains.
pub fn rank_holders<'a>(
    placement: u64,
    holders: impl Iterator<Item = &'a HolderInfo>,
) -> Vec<HolderKey> {
    let mut by_weight: Vec<_> = holders
        .map(|holder| {
            let key = holder.key();
            (rendezvous_weight(placement, key), key, &holder.domain)
        })
        .collect();
    by_weight.sort_unstable_by(|one, other| other.cmp(one));
    let mut uses: HashMap<&Bytes, usize> = HashMap::new();
    let mut ranked: Vec<_> = by_weight
        .into_iter()
        .enumerate()
        .map(|(position, (_, key, domain))| {
            let count = uses.entry(domain).or_default();
            *count += 1;
            (*count, position, key)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, key)| key).collect()
}

/// Holders whose last call failed.
#[derive(Clone, Debug, Default)]
pub struct HolderHealth {
    suspect_until: HashMap<HolderKey, u64>,
}

impl HolderHealth {
    /// Records that a call failed or got no reply in time.
    pub fn record_failure(&mut self, holder: HolderKey, now_ms: u64) {
        self.suspect_until.insert(holder, now_ms + SUSPECT_MS);
    }

    /// Records that a holder replied.
    pub fn record_reply(&mut self, holder: HolderKey) {
        self.suspect_until.remove(&holder);
    }

    /// Moves suspected holders to the end of a ranking; the order is kept otherwise.
    pub fn demote_suspects(&mut self, ranked: &mut [HolderKey], now_ms: u64) {
        self.suspect_until.retain(|_, until| *until > now_ms);
        let suspects: HashSet<_> = self.suspect_until.keys().copied().collect();
        ranked.sort_by_key(|holder| suspects.contains(holder));
    }
}
