//! Acquisition, opening and release of slots.

use ibisdale_core::{ProgramId, RequestRefusal, SlotId};

use crate::refusals;
use crate::result::{RemovedPrograms, WokenWaiter};
use crate::table::{ProgramKey, ProgramTable};

/// Whether all histories of a slot could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryCompleteness {
    /// Every history of the slot has been read.
    Whole,
    /// Some histories may be missing: the history of an unknown program may be
    /// lost.
    Incomplete,
}

/// State of an owned slot; `history` is `None` until the slot is opened.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotState {
    epoch: u64,
    history: Option<HistoryCompleteness>,
}

impl SlotState {
    pub(super) const fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn is_incomplete(&self) -> bool {
        self.history == Some(HistoryCompleteness::Incomplete)
    }

    pub(super) const fn is_open(&self) -> bool {
        self.history.is_some()
    }
}

impl ProgramTable {
    /// Takes ownership of a slot under an epoch. Requests are refused until
    /// [`ProgramTable::open_slot`] is called.
    ///
    /// Releases the slot first if it is already owned, and returns its programs,
    /// runs and waiting requests.
    pub fn acquire_slot(&mut self, slot: SlotId, epoch: u64) -> RemovedPrograms {
        let removed = self.release_slot(slot);
        let state = SlotState {
            epoch,
            history: None,
        };
        self.slots.insert(slot, state);
        removed
    }

    /// Opens a slot to requests, once its histories have been imported.
    pub fn open_slot(&mut self, slot: SlotId, history: HistoryCompleteness) {
        if let Some(state) = self.slots.get_mut(&slot) {
            state.history = Some(history);
        }
    }

    /// Returns the epoch under which a slot is owned.
    #[must_use]
    pub fn slot_epoch(&self, slot: SlotId) -> Option<u64> {
        self.epoch(slot)
    }

    /// Marks a program whose history could not be read completely.
    ///
    /// Requests for it are refused as `history_lost` until it is imported.
    pub fn mark_history_lost(&mut self, program: ProgramId) {
        self.lost_histories.insert(program);
    }

    /// Removes a slot that is no longer owned, with all its programs.
    pub fn release_slot(&mut self, slot: SlotId) -> RemovedPrograms {
        let mut removed = RemovedPrograms::default();
        if self.slots.remove(&slot).is_none() {
            return removed;
        }
        self.lost_histories.retain(|program| program.slot() != slot);
        let trees: Vec<_> = self
            .trees
            .iter()
            .filter(|(_, tree)| tree.root.slot() == slot)
            .map(|(key, _)| key)
            .collect();
        for key in trees {
            let Some(tree) = self.trees.remove(key) else {
                continue;
            };
            removed.programs.push(tree.root);
            for member in tree.members {
                self.remove_program(member, &mut removed);
            }
        }
        removed
    }

    /// Removes one program with its run, waiting requests and clean-up requests.
    pub(super) fn remove_program(&mut self, key: ProgramKey, removed: &mut RemovedPrograms) {
        let Some(program) = self.programs.remove(key) else {
            return;
        };
        self.by_id.remove(&program.id);
        self.cleanups
            .retain(|_, request| request.program != program.id);
        for waiter in &program.early_waiters {
            self.waiters.remove(*waiter);
            removed.woken.push(WokenWaiter {
                key: *waiter,
                result: Err(refusals::owner_unavailable()),
            });
        }
        let Some(attempt) = program.running() else {
            return;
        };
        for waiter in &attempt.joined_waiters {
            self.waiters.remove(*waiter);
            removed.woken.push(WokenWaiter {
                key: *waiter,
                result: Err(refusals::outcome_unknown()),
            });
        }
        if let Some(run) = attempt.run {
            self.runs.remove(run);
            removed.running.push(run);
        }
    }

    /// Refuses requests for a slot that is not open here.
    pub(super) fn check_slot(&self, slot: SlotId) -> Result<(), RequestRefusal> {
        if self.slots.get(&slot).is_some_and(SlotState::is_open) {
            return Ok(());
        }
        Err(refusals::owner_unavailable())
    }
}
