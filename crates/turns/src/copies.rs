//! Decides on which holders the copies of a turn are made.
//!
//! Answers the load of turns that end: `tolerated + 1` holders are asked at once, and
//! the next in rank for each that fails or is slow.

use crate::holders::HolderKey;

/// Progress of the copies of one turn.
#[derive(Clone, Debug)]
pub struct CopyPlan {
    order: Vec<HolderKey>,
    asked: usize,
    needed: usize,
    stored: usize,
    failed: usize,
}

impl CopyPlan {
    /// Creates a plan over holders in order of rank.
    ///
    /// `tolerated` is the number of holders that may be lost without losing a turn. Where
    /// fewer than `tolerated + 1` holders exist, each gets a copy.
    #[must_use]
    pub fn new(order: Vec<HolderKey>, tolerated: usize) -> Self {
        let needed = (tolerated + 1).min(order.len()).max(1);
        Self {
            order,
            asked: 0,
            needed,
            stored: 0,
            failed: 0,
        }
    }

    /// Returns the holders that get a copy at first.
    pub fn first_holders(&mut self) -> Vec<HolderKey> {
        let end = self.needed.min(self.order.len());
        self.asked = end;
        self.order[..end].to_vec()
    }

    /// Returns the next holder in rank, for one that failed or is slow.
    pub fn next_holder(&mut self) -> Option<HolderKey> {
        let next = self.order.get(self.asked).copied()?;
        self.asked += 1;
        Some(next)
    }

    /// Records that a copy is on disk.
    pub fn record_stored(&mut self) {
        self.stored += 1;
    }

    /// Records that a copy was not made.
    pub fn record_failed(&mut self) {
        self.failed += 1;
    }

    /// Returns whether enough copies are on disk.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.stored >= self.needed
    }

    /// Returns whether enough copies can no longer be made.
    #[must_use]
    pub fn is_failed(&self) -> bool {
        self.order.len() - self.failed < self.needed
    }

    /// Returns the number of copies on disk.
    #[must_use]
    pub fn stored(&self) -> usize {
        self.stored
    }
}
