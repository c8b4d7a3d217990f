//! Decisions of a holder, without I/O: which turns it has, whether its disk is whole, and
//! which copies it restores.
//!
//! Answers the load of one VM with a disk: turns to store, chains to look up, and, after
//! losses, comparisons with all other holders.

use std::collections::HashSet;

use ibisdale_segments::FrameLocation;
use ibisdale_telemetry::record_event;

use crate::holders::{HolderInfo, HolderKey, HolderTable};
use crate::index::{ChainLink, TurnIndex};
use crate::repair::{CheckEffect, CheckOutcome, PeerCheck, RepairPlan};
use crate::turn::{KeptTurn, TurnKey};

/// State of a holder.
#[derive(Clone, Debug)]
pub struct HolderCore {
    info: HolderInfo,
    holders: HolderTable,
    index: TurnIndex,
    repair: RepairPlan,
    is_whole: bool,
    /// Holders that have compared all their turns with this disk.
    completed_peers: HashSet<HolderKey>,
    /// Whether the registered holders were ever set; until then, only those are known that have
    /// sent a message.
    has_registrations: bool,
}

impl HolderCore {
    /// Creates the state of a holder that has no turns yet and knows no other holder.
    ///
    /// `is_whole` tells whether its disk has all turns that were stored on this VM.
    #[must_use]
    pub fn new(info: HolderInfo, copies: usize, memory_bytes: usize, is_whole: bool) -> Self {
        Self {
            holders: HolderTable::new([info.clone()]),
            index: TurnIndex::new(memory_bytes),
            repair: RepairPlan::new(info.clone(), copies),
            is_whole,
            completed_peers: HashSet::new(),
            has_registrations: false,
            info,
        }
    }

    /// Returns the name, address and location of this holder.
    #[must_use]
    pub fn info(&self) -> &HolderInfo {
        &self.info
    }

    /// Returns the known holders, including this one.
    #[must_use]
    pub fn holders(&self) -> &HolderTable {
        &self.holders
    }

    /// Returns the turns on disk.
    #[must_use]
    pub fn index(&self) -> &TurnIndex {
        &self.index
    }

    /// Replaces the registered holders.
    pub fn set_holders(&mut self, holders: HolderTable, now_ms: u64) {
        self.has_registrations = true;
        self.replace_holders(holders, now_ms);
    }

    fn replace_holders(&mut self, mut holders: HolderTable, now_ms: u64) {
        holders.insert(self.info.clone());
        if self.holders == holders {
            return;
        }
        record_event!(
            HoldersChanged,
            holders = holders.len(),
            digest = format!("{:x}", holders.digest())
        );
        let is_changed = self.repair.set_holders(&holders);
        self.holders = holders;
        if is_changed {
            self.compare_all("the registered holders changed", now_ms);
            self.update_whole();
        }
    }

    /// Adds a turn that is on disk.
    pub fn add_turn(&mut self, turn: KeptTurn, location: FrameLocation, now_ms: u64) {
        self.repair.add_turn(turn.key, turn.placement, now_ms);
        self.index.insert(turn, location, now_ms);
    }

    /// Returns a turn and the turns that it continues, newest first, up to the first that
    /// is not here.
    pub fn chain(&mut self, key: TurnKey, now_ms: u64) -> Vec<ChainLink> {
        self.index.chain(key, now_ms)
    }

    /// Removes expired turns.
    pub fn expire(&mut self, now_ms: u64) {
        self.index.expire(now_ms);
    }

    /// Returns whether the disk has all turns that were stored on this VM.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Records whether the disk has all turns that were stored on this VM.
    pub fn set_whole(&mut self, is_whole: bool) {
        self.is_whole = is_whole;
    }

    /// Records another holder's comparison and returns the turns that are not here.
    ///
    /// `receiver_generation` is the generation of this disk that the sender knows, and
    /// `is_last` whether it has compared all its other turns with it.
    pub fn answer_check(
        &mut self,
        sender: &HolderInfo,
        receiver_generation: Option<u64>,
        keys: Vec<TurnKey>,
        is_last: bool,
        now_ms: u64,
    ) -> Vec<TurnKey> {
        if self.holders.get(sender.key()).is_none() {
            // The sender has just started, and the registrations have not been read since.
            let mut holders = self.holders.clone();
            holders.insert(sender.clone());
            self.replace_holders(holders, now_ms);
        }
        let effect = self
            .repair
            .record_generation(sender.key(), sender.generation);
        if effect == CheckEffect::NeedsRebuild {
            self.compare_all("a disk was lost", now_ms);
        }
        let missing = keys.into_iter().filter(|key| !self.index.contains(*key));
        let missing: Vec<_> = missing.collect();
        // What is missing arrives before the sender's next message, which tells so.
        let is_complete = is_last && missing.is_empty();
        if is_complete && receiver_generation == Some(self.info.generation) {
            self.completed_peers.insert(sender.key());
            self.update_whole();
        }
        missing
    }

    /// Declares the disk whole once each registered holder has compared its turns with it.
    fn update_whole(&mut self) {
        if !self.has_registrations {
            // Other holders may have turns that belong here too.
            return;
        }
        let own = self.info.key();
        let mut others = self.holders.iter().map(HolderInfo::key);
        let is_compared = others.all(|key| key == own || self.completed_peers.contains(&key));
        if !self.is_whole && is_compared && !self.completed_peers.is_empty() {
            record_event!(HolderWhole, holders = self.holders.len());
            self.is_whole = true;
        }
    }

    /// Returns the comparisons that are due.
    pub fn due_checks(&mut self, now_ms: u64) -> Vec<PeerCheck> {
        self.repair.due_checks(now_ms)
    }

    /// Records the outcome of a comparison.
    pub fn finish_check(&mut self, check: &PeerCheck, outcome: CheckOutcome, now_ms: u64) {
        let effect = self.repair.record_outcome(check, outcome, now_ms);
        if effect == CheckEffect::NeedsRebuild {
            let cause = if outcome == CheckOutcome::Failed {
                "a holder is silent"
            } else {
                "a holder is back or its disk was lost"
            };
            self.compare_all(cause, now_ms);
        }
    }

    /// Returns whether the holder is being emptied and takes no turns.
    #[must_use]
    pub fn is_retiring(&self) -> bool {
        self.repair.is_retiring()
    }

    /// Starts emptying the holder, if that has not begun, and returns how many copies have
    /// yet to be made or compared on other holders.
    pub fn retire(&mut self, now_ms: u64) -> usize {
        if !self.repair.is_retiring() {
            self.repair.start_retiring();
            self.compare_all("this holder is being emptied", now_ms);
        }
        let turns = self.index.len();
        if turns > 0 && !self.repair.has_enough_peers() {
            turns
        } else {
            self.repair.unchecked_count()
        }
    }

    /// Returns how many copies on other holders have yet to be compared.
    #[must_use]
    pub fn unchecked_count(&self) -> usize {
        self.repair.unchecked_count()
    }

    fn compare_all(&mut self, cause: &'static str, now_ms: u64) {
        record_event!(PeerChanged, cause = cause, turns = self.index.len());
        self.repair.rebuild(self.index.placements(), now_ms);
    }
}
