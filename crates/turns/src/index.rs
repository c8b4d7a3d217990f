//! Index of the turns that a holder has on disk, and which of them are in memory.

use std::collections::{BTreeMap, HashMap};

use ibisdale_segments::FrameLocation;

use crate::cache::TurnCache;
use crate::turn::{KeptTurn, TurnKey};

/// Time beyond its retention for which a turn is kept, in milliseconds; longer than a
/// request that continues it may last.
const RETENTION_MARGIN_MS: u64 = 30_000;

/// Maximum number of turns in one reply.
const CHAIN_PART_MAX: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct TurnEntry {
    previous: Option<TurnKey>,
    placement: u64,
    location: FrameLocation,
    retain_ms: u64,
    expires_ms: u64,
}

/// A turn of a chain, or where it is on disk.
#[derive(Clone, Debug)]
pub enum ChainLink {
    /// The turn is in memory.
    InMemory(KeptTurn),
    /// The turn has to be read.
    OnDisk(FrameLocation),
}

/// Index of the turns of one holder.
///
/// A turn's retention runs from when this process stored or read it, by a steady clock,
/// so no step of the time of day ends it early.
#[derive(Clone, Debug)]
pub struct TurnIndex {
    entries: HashMap<TurnKey, TurnEntry>,
    in_memory: TurnCache,
    /// Number of turns in each segment.
    live: BTreeMap<u64, usize>,
}

impl TurnIndex {
    /// Creates an index that keeps up to `memory_bytes` of turns in memory.
    #[must_use]
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            entries: HashMap::new(),
            in_memory: TurnCache::new(memory_bytes),
            live: BTreeMap::new(),
        }
    }

    /// Adds a turn that is on disk.
    pub fn insert(&mut self, turn: KeptTurn, location: FrameLocation, now_ms: u64) {
        let entry = TurnEntry {
            previous: turn.previous,
            placement: turn.placement,
            location,
            retain_ms: turn.retain_ms,
            expires_ms: now_ms + turn.retain_ms + RETENTION_MARGIN_MS,
        };
        let (key, previous) = (turn.key, turn.previous);
        *self.live.entry(location.segment).or_default() += 1;
        if let Some(old) = self.entries.insert(key, entry) {
            self.release_segment(old.location.segment);
        }
        self.in_memory.insert(turn);
        // A turn is kept together with its chain.
        self.extend(previous, now_ms);
    }

    /// Returns whether a turn is on disk.
    #[must_use]
    pub fn contains(&self, key: TurnKey) -> bool {
        self.entries.contains_key(&key)
    }

    /// Returns a turn and the turns that it continues, newest first, up to the first that
    /// is not here; extends their retention.
    pub fn chain(&mut self, key: TurnKey, now_ms: u64) -> Vec<ChainLink> {
        self.extend(Some(key), now_ms);
        let mut links = Vec::new();
        let mut cursor = Some(key);
        while let Some(key) = cursor
            && let Some(entry) = self.entries.get(&key)
            && links.len() < CHAIN_PART_MAX
        {
            links.push(match self.in_memory.get(key) {
                Some(turn) => ChainLink::InMemory(turn.clone()),
                None => ChainLink::OnDisk(entry.location),
            });
            cursor = entry.previous;
        }
        links
    }

    /// Returns a turn, or where it is on disk.
    #[must_use]
    pub fn get(&self, key: TurnKey) -> Option<ChainLink> {
        let entry = self.entries.get(&key)?;
        Some(match self.in_memory.get(key) {
            Some(turn) => ChainLink::InMemory(turn.clone()),
            None => ChainLink::OnDisk(entry.location),
        })
    }

    fn extend(&mut self, key: Option<TurnKey>, now_ms: u64) {
        let mut cursor = key;
        let mut left = CHAIN_PART_MAX;
        while let Some(key) = cursor
            && let Some(entry) = self.entries.get_mut(&key)
            && left > 0
        {
            left -= 1;
            let expires_ms = now_ms + entry.retain_ms + RETENTION_MARGIN_MS;
            entry.expires_ms = entry.expires_ms.max(expires_ms);
            cursor = entry.previous;
        }
    }

    /// Removes expired turns.
    pub fn expire(&mut self, now_ms: u64) {
        let expired: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.expires_ms <= now_ms)
            .map(|(key, entry)| (*key, entry.location.segment))
            .collect();
        for (key, segment) in expired {
            self.entries.remove(&key);
            self.in_memory.remove(key);
            self.release_segment(segment);
        }
    }

    fn release_segment(&mut self, segment: u64) {
        if let Some(live) = self.live.get_mut(&segment) {
            *live -= 1;
            if *live == 0 {
                self.live.remove(&segment);
            }
        }
    }

    /// Returns whether a segment holds a turn to be kept.
    #[must_use]
    pub fn is_segment_live(&self, segment: u64) -> bool {
        self.live.contains_key(&segment)
    }

    /// Returns the keys and placements of all turns.
    pub fn placements(&self) -> impl Iterator<Item = (TurnKey, u64)> {
        self.entries
            .iter()
            .map(|(key, entry)| (*key, entry.placement))
    }

    /// Returns the number of turns.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no turns.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory that turns take, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.in_memory.bytes()
    }
}
