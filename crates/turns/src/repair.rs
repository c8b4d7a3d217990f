//! Decides which copies of turns a holder checks and restores on the other holders.
//!
//! Answers the load after losses: a wiped disk, a VM that is removed or emptied, a copy
//! that was made on a holder of lower rank. Each holder compares its own turns with the
//! holders that should have them, a bounded number at a time, and sends what is missing.

use std::collections::{BTreeMap, HashSet, VecDeque};

use crate::holders::{HolderInfo, HolderKey, HolderTable, rank_holders};
use crate::turn::TurnKey;

/// Age from which a turn's copies are checked, in milliseconds; before, the entry VM may
/// still be making them.
const SETTLE_MS: u64 = 1_000;
/// Time without a reply after which a holder's turns are copied to the next in rank, in
/// milliseconds.
const DEAD_AFTER_MS: u64 = 3_000;
/// Maximum number of turns that are compared in one message.
const CHECK_KEYS_MAX: usize = 512;
/// Time after a failed message before the next, in milliseconds.
const RETRY_MS: u64 = 500;

#[derive(Clone, Debug)]
struct PeerProgress {
    info: HolderInfo,
    /// Generation that the peer last reported.
    generation: Option<u64>,
    /// Turns to compare, each with the time from which it is due.
    unchecked: VecDeque<(TurnKey, u64)>,
    /// Generation to which it was reported that all turns have been compared.
    completed_generation: Option<u64>,
    silent_since_ms: Option<u64>,
    is_dead: bool,
    retry_at_ms: u64,
}

impl PeerProgress {
    fn new(info: HolderInfo) -> Self {
        Self {
            info,
            generation: None,
            unchecked: VecDeque::new(),
            completed_generation: None,
            silent_since_ms: None,
            is_dead: false,
            retry_at_ms: 0,
        }
    }

    fn due_count(&self, now_ms: u64) -> usize {
        let due = self.unchecked.iter().take_while(|(_, at)| *at <= now_ms);
        due.count()
    }
}

/// Message that compares turns with one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerCheck {
    /// The peer.
    pub holder: HolderInfo,
    /// Generation that the peer last reported.
    pub peer_generation: Option<u64>,
    /// Turns that the peer should have.
    pub keys: Vec<TurnKey>,
    /// Whether all other turns that the peer should have were compared before.
    pub is_last: bool,
}

/// Outcome of a message that compared turns with a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckOutcome {
    /// The peer had all the turns.
    Equal {
        /// Generation of the peer.
        generation: u64,
    },
    /// The peer lacked turns, which it has stored now.
    Restored {
        /// Generation of the peer.
        generation: u64,
    },
    /// The peer did not reply, or could not take the turns that it lacks.
    Failed,
}

/// Effect of an outcome on the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckEffect {
    /// The peer is as it was.
    Unchanged,
    /// The peer's disk was lost, or it is heard for the first time after being dead, so
    /// [`RepairPlan::rebuild`] must follow.
    NeedsRebuild,
}

/// Copies to check, for one holder.
#[derive(Clone, Debug)]
pub struct RepairPlan {
    own: HolderInfo,
    copies: usize,
    is_retiring: bool,
    peers: BTreeMap<HolderKey, PeerProgress>,
}

impl RepairPlan {
    /// Creates a plan for a holder; each turn should have `copies` copies.
    #[must_use]
    pub fn new(own: HolderInfo, copies: usize) -> Self {
        Self {
            own,
            copies,
            is_retiring: false,
            peers: BTreeMap::new(),
        }
    }

    /// Replaces the set of registered holders; returns whether it changed, so that
    /// [`RepairPlan::rebuild`] must follow.
    pub fn set_holders(&mut self, holders: &HolderTable) -> bool {
        let own = self.own.key();
        let before = self.peers.len();
        self.peers.retain(|key, _| holders.get(*key).is_some());
        let mut is_changed = self.peers.len() != before;
        for info in holders.iter().filter(|info| info.key() != own) {
            if let Some(peer) = self.peers.get_mut(&info.key()) {
                peer.info = info.clone();
            } else {
                is_changed = true;
                let peer = PeerProgress::new(info.clone());
                self.peers.insert(info.key(), peer);
            }
        }
        is_changed
    }

    /// Stops counting this holder's own copies, because its disk is going to be removed.
    pub fn start_retiring(&mut self) {
        self.is_retiring = true;
    }

    /// Returns whether this holder is being emptied.
    #[must_use]
    pub fn is_retiring(&self) -> bool {
        self.is_retiring
    }

    /// Plans to compare all turns again, at once.
    pub fn rebuild(&mut self, turns: impl Iterator<Item = (TurnKey, u64)>, now_ms: u64) {
        for peer in self.peers.values_mut() {
            peer.unchecked.clear();
            peer.completed_generation = None;
        }
        for (key, placement) in turns {
            self.plan_checks(key, placement, now_ms);
        }
    }

    /// Plans to compare a new turn once its copies have been made.
    pub fn add_turn(&mut self, key: TurnKey, placement: u64, now_ms: u64) {
        self.plan_checks(key, placement, now_ms + SETTLE_MS);
    }

    fn plan_checks(&mut self, key: TurnKey, placement: u64, due_ms: u64) {
        let own = (!self.is_retiring).then_some(&self.own);
        let peers = self.peers.values().filter(|peer| !peer.is_dead);
        let usable = peers.map(|peer| &peer.info).chain(own);
        let ranked = rank_holders(placement, usable);
        for holder in ranked.into_iter().take(self.copies) {
            if let Some(peer) = self.peers.get_mut(&holder) {
                peer.unchecked.push_back((key, due_ms));
            }
        }
    }

    /// Returns the messages that are due.
    ///
    /// A peer gets one also without turns to compare, to learn its generation and to tell
    /// it that nothing is left to compare.
    pub fn due_checks(&mut self, now_ms: u64) -> Vec<PeerCheck> {
        let peers = self.peers.values_mut();
        peers
            .filter_map(|peer| {
                let due = peer.due_count(now_ms);
                let is_reported =
                    peer.generation.is_some() && peer.completed_generation == peer.generation;
                if now_ms < peer.retry_at_ms || (due == 0 && is_reported) {
                    return None;
                }
                // Set back when the peer replies.
                peer.retry_at_ms = now_ms + RETRY_MS;
                let size = due.min(CHECK_KEYS_MAX);
                let keys = peer.unchecked.iter().take(size).map(|(key, _)| *key);
                Some(PeerCheck {
                    holder: peer.info.clone(),
                    peer_generation: peer.generation,
                    keys: keys.collect(),
                    is_last: due == size,
                })
            })
            .collect()
    }

    /// Records the outcome of a message.
    pub fn record_outcome(
        &mut self,
        check: &PeerCheck,
        outcome: CheckOutcome,
        now_ms: u64,
    ) -> CheckEffect {
        match outcome {
            CheckOutcome::Equal { generation } => self.record_checked(check, generation, true),
            CheckOutcome::Restored { generation } => self.record_checked(check, generation, false),
            CheckOutcome::Failed => self.record_failure(check.holder.key(), now_ms),
        }
    }

    /// Records that a peer has all the turns of a message.
    ///
    /// A peer that lacked some is told that nothing is left only by a further message,
    /// since it could not know whether it would get them.
    fn record_checked(
        &mut self,
        check: &PeerCheck,
        generation: u64,
        was_equal: bool,
    ) -> CheckEffect {
        let Some(peer) = self.peers.get_mut(&check.holder.key()) else {
            return CheckEffect::Unchanged;
        };
        let was_dead = std::mem::take(&mut peer.is_dead);
        let is_wiped = peer.generation.is_some_and(|known| known != generation);
        peer.generation = Some(generation);
        peer.silent_since_ms = None;
        peer.retry_at_ms = 0;
        if was_dead || is_wiped {
            return CheckEffect::NeedsRebuild;
        }
        let checked: HashSet<_> = check.keys.iter().collect();
        peer.unchecked.retain(|(key, _)| !checked.contains(key));
        if was_equal && check.is_last && check.peer_generation == Some(generation) {
            peer.completed_generation = Some(generation);
        }
        CheckEffect::Unchanged
    }

    /// Records that a peer did not reply, or could not take turns that it lacks.
    fn record_failure(&mut self, holder: HolderKey, now_ms: u64) -> CheckEffect {
        let Some(peer) = self.peers.get_mut(&holder) else {
            return CheckEffect::Unchanged;
        };
        peer.retry_at_ms = now_ms + RETRY_MS;
        let since = *peer.silent_since_ms.get_or_insert(now_ms);
        if !peer.is_dead && now_ms >= since + DEAD_AFTER_MS {
            peer.is_dead = true;
            return CheckEffect::NeedsRebuild;
        }
        CheckEffect::Unchanged
    }

    /// Records the generation of a peer that sent a message; its disk was lost if the
    /// generation has changed.
    pub fn record_generation(&mut self, holder: HolderKey, generation: u64) -> CheckEffect {
        let Some(peer) = self.peers.get_mut(&holder) else {
            return CheckEffect::Unchanged;
        };
        let is_wiped = peer.generation.is_some_and(|known| known != generation);
        peer.generation = Some(generation);
        peer.retry_at_ms = 0;
        if is_wiped {
            CheckEffect::NeedsRebuild
        } else {
            CheckEffect::Unchanged
        }
    }

    /// Returns how many copies have yet to be compared.
    #[must_use]
    pub fn unchecked_count(&self) -> usize {
        let peers = self.peers.values().filter(|peer| !peer.is_dead);
        peers.map(|peer| peer.unchecked.len()).sum()
    }

    /// Returns whether as many peers reply as there should be copies, or all if fewer are
    /// registered.
    #[must_use]
    pub fn has_enough_peers(&self) -> bool {
        let peers = self.peers.values();
        let live = peers.filter(|peer| !peer.is_dead && peer.generation.is_some());
        let needed = self.copies.min(self.peers.len()).max(1);
        live.count() >= needed
    }
}
