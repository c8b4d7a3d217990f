//! What a journal holds.

use ibisdale_core::{AttemptKey, ProgramId, SlotId, StepNumber};
use serde::{Deserialize, Serialize};

/// How far a recorded action has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// The action may have been sent; its outcome is not recorded.
    Intent,
    /// The outcome is stored in the program's history.
    Outcome,
}

/// One recorded action.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct JournalEntry {
    /// The program.
    pub program: ProgramId,
    /// The step.
    pub step: StepNumber,
    /// The caller's attempt.
    pub attempt: AttemptKey,
    /// Epoch of the program's slot when the action was recorded.
    pub epoch: u64,
    /// How far the action has come.
    pub state: EntryState,
}

impl JournalEntry {
    /// Returns the slot of the entry's program.
    #[must_use]
    pub fn slot(&self) -> SlotId {
        self.program.slot()
    }
}

/// The value of a journal's key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, rename_all = "snake_case")]
pub struct JournalValue {
    /// Set when another daemon has taken over; never reset.
    pub is_sealed: bool,
    /// Identifies the write that made this value.
    pub nonce: u64,
    /// Recorded actions, oldest first.
    pub entries: Vec<JournalEntry>,
}

impl JournalValue {
    /// Returns the entry of a step.
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

    /// Returns the value that ends the journal.
    #[must_use]
    pub fn sealed(&self, nonce: u64) -> Self {
        Self {
            is_sealed: true,
            nonce,
            entries: self.entries.clone(),
        }
    }
}
