//! Entries and stored value of a journal.

use ibisdale_core::{AttemptKey, ProgramId, SlotId, StepNumber};
use serde::{Deserialize, Serialize};

/// Progress of a recorded action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// The action may have been sent; its outcome is not recorded.
    Intent,
    /// The outcome is stored in the program's history.
    Outcome,
}

/// Action recorded in a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct JournalEntry {
    /// Program that the action belongs to.
    pub program: ProgramId,
    /// Step of the program.
    pub step: StepNumber,
    /// Key of the caller's attempt at the step.
    pub attempt: AttemptKey,
    /// Epoch of the program's slot when the action was recorded.
    pub epoch: u64,
    /// Progress of the action.
    pub state: EntryState,
}

impl JournalEntry {
    /// Returns the slot of the entry's program.
    #[must_use]
    pub fn slot(&self) -> SlotId {
        self.program.slot()
    }
}

/// Value stored under a journal's key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, rename_all = "snake_case")]
pub struct JournalValue {
    /// Whether another daemon has sealed the journal; never reset.
    pub is_sealed: bool,
    /// Identifies the write that produced this value.
    pub nonce: u64,
    /// Recorded actions, oldest first.
    pub entries: Vec<JournalEntry>,
}

impl JournalValue {
    /// Returns the entry of a step of a program.
    #[must_use]
    pub fn find(&self, program: ProgramId, step: StepNumber) -> Option<&JournalEntry> {
        self.entries
            .iter()
            .find(|entry| entry.program == program && entry.step == step)
    }

    /// Returns the entries whose slots are among `slots`.
    #[must_use]
    pub fn entries_of(&self, slots: &[SlotId]) -> Vec<JournalEntry> {
        self.entries
            .iter()
            .filter(|entry| slots.contains(&entry.slot()))
            .cloned()
            .collect()
    }

    /// Returns the value that seals the journal.
    #[must_use]
    pub fn sealed(&self, nonce: u64) -> Self {
        Self {
            is_sealed: true,
            nonce,
            entries: self.entries.clone(),
        }
    }
}
