//! What callers were told, and what must hold for it.

use std::collections::HashMap;

use ibisdale_turns::{KeptTurn, TurnKey};

/// Result of one play.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PlayOutcome {
    /// Number of turns that were answered whole.
    pub(crate) kept: usize,
    /// Number of lookups of unknown turns that were certain.
    pub(crate) missing: usize,
    /// Broken promises.
    pub(crate) findings: Vec<String>,
}

/// Turns that were answered whole.
#[derive(Debug, Default)]
pub(crate) struct PlayChecker {
    pub(crate) answered: HashMap<TurnKey, KeptTurn>,
    pub(crate) outcome: PlayOutcome,
}

impl PlayChecker {
    pub(crate) fn record_answered(&mut self, turn: KeptTurn) {
        self.outcome.kept += 1;
        self.answered.insert(turn.key, turn);
    }

    pub(crate) fn record_missing(&mut self, key: TurnKey, now_ms: u64) {
        if self.answered.contains_key(&key) {
            let finding = format!("{now_ms} ms: {key} was denied although it is kept");
            self.outcome.findings.push(finding);
        } else {
            self.outcome.missing += 1;
        }
    }

    /// Checks a chain, newest turn first.
    pub(crate) fn record_found(&mut self, chain: &[KeptTurn], now_ms: u64) {
        for turn in chain {
            let expected = self.answered.get(&turn.key);
            if expected.is_some_and(|expected| expected != turn) {
                let finding = format!("{now_ms} ms: {} was altered", turn.key);
                self.outcome.findings.push(finding);
            }
        }
    }

    pub(crate) fn record_uncertain(&mut self, holders: usize) {
        let finding = format!("at the end, {holders} holders do not know that they are whole");
        self.outcome.findings.push(finding);
    }

    pub(crate) fn record_lost(&mut self, key: TurnKey, reason: &str) {
        let finding = format!("at the end, {key} can't be continued: {reason}");
        self.outcome.findings.push(finding);
    }
}
