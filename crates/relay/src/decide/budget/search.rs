//! Which VMs are asked in turn to decide on a call of a program.
//!
//! Handles calls that come in while most VMs are gone and not known to be silent yet: one of them
//! is found out by each question, and the search ends only when no VM is left.

use super::share::ProgramKey;
use crate::decide::member_facts::{MemberFacts, VmKey};
use crate::decide::members::MemberTable;

/// Number of VMs that reply that they can't decide after which others are not asked: they lack the
/// store as well, or are just beginning to know the fleet.
const UNDECIDED_MAX: usize = 2;

/// VM that is asked to decide.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SearchTarget {
    /// The VM that searches.
    Own,
    /// Another VM.
    Peer(MemberFacts),
}

/// Search for a VM that decides on one call.
#[derive(Clone, Debug, Default)]
pub struct HomeSearch {
    asked: Vec<VmKey>,
    undecided: usize,
}

impl HomeSearch {
    /// Returns the VM to ask next: the preferred home of those that answer and have not been
    /// asked. `None` if there is none, or if enough have replied that they can't decide.
    pub fn next_target(
        &mut self,
        members: &MemberTable,
        own: VmKey,
        program: ProgramKey,
        now_ms: u64,
    ) -> Option<SearchTarget> {
        if self.undecided >= UNDECIDED_MAX {
            return None;
        }
        let next = members.next_home(own, program, &self.asked, now_ms)?;
        self.asked.push(next.as_ref().map_or(own, MemberFacts::key));
        Some(next.map_or(SearchTarget::Own, SearchTarget::Peer))
    }

    /// Records that the VM that was asked last has replied, and could not decide.
    pub fn record_undecided(&mut self) {
        self.undecided += 1;
    }
}
