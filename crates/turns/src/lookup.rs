//! Decides which holders are asked for a turn, and whether a turn that none of them has
//! is certain not to exist.
//!
//! Answers the load of continued turns: usually one question to one holder; all holders
//! are asked only when none of those that rank first has the turn.

use std::collections::HashSet;

use crate::holders::HolderKey;

/// Result of asking one holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderAnswer {
    /// The holder has the turn.
    Found,
    /// The holder does not have the turn.
    Absent {
        /// Whether the turn would be there if a copy had been made on this holder: its
        /// disk is whole, and it knows the same holders.
        is_certain: bool,
    },
    /// The holder did not reply.
    Silent,
}

/// Verdict on a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupVerdict {
    /// A holder has the turn.
    Found,
    /// No turn with this key was kept within its retention.
    Missing,
    /// Holders that may have a copy did not reply.
    Unknown,
}

/// Search for one turn among the holders.
#[derive(Clone, Debug)]
pub struct TurnLookup {
    order: Vec<HolderKey>,
    asked: usize,
    /// Number of holders at the front of the order that usually have the turn.
    first_count: usize,
    tolerated: usize,
    waiting: HashSet<HolderKey>,
    certain_absences: usize,
    is_found: bool,
}

impl TurnLookup {
    /// Creates a search over all holders in the given order.
    ///
    /// The first `tolerated + 1` holders of the order are asked one by one, the others
    /// together. `tolerated` is the number of holders that may be lost without losing a
    /// turn.
    #[must_use]
    pub fn new(order: Vec<HolderKey>, tolerated: usize) -> Self {
        Self {
            first_count: (tolerated + 1).min(order.len()),
            order,
            asked: 0,
            tolerated,
            waiting: HashSet::new(),
            certain_absences: 0,
            is_found: false,
        }
    }

    /// Returns the holders to ask next; none if all have been asked.
    ///
    /// Called at the start, after each answer, and when an answer takes long.
    pub fn next_holders(&mut self) -> Vec<HolderKey> {
        let end = if self.asked < self.first_count {
            self.asked + 1
        } else {
            self.order.len()
        };
        let next = self.order[self.asked..end].to_vec();
        self.asked = end;
        self.waiting.extend(&next);
        next
    }

    /// Records an answer, or that a holder did not reply.
    pub fn record_answer(&mut self, holder: HolderKey, answer: HolderAnswer) {
        if !self.waiting.remove(&holder) {
            return;
        }
        match answer {
            HolderAnswer::Found => self.is_found = true,
            HolderAnswer::Absent { is_certain: true } => self.certain_absences += 1,
            HolderAnswer::Absent { is_certain: false } | HolderAnswer::Silent => {}
        }
    }

    /// Returns whether an answer is awaited.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the verdict by the answers so far.
    ///
    /// A kept turn has copies on `tolerated + 1` holders, so it does not exist if at most
    /// `tolerated` holders could still have one.
    #[must_use]
    pub fn get_verdict(&self) -> LookupVerdict {
        if self.is_found {
            return LookupVerdict::Found;
        }
        let possible = self.order.len() - self.certain_absences;
        if !self.order.is_empty() && possible <= self.tolerated {
            LookupVerdict::Missing
        } else {
            LookupVerdict::Unknown
        }
    }
}
