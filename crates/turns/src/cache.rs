//! Recent turns in bounded memory.

use std::collections::{HashMap, VecDeque};

use crate::turn::{KeptTurn, TurnKey};

/// Memory that a turn takes beside its input and output, in bytes.
const TURN_OVERHEAD_BYTES: usize = 160;
/// Number of keys of removed turns up to which the order is not cleared of them.
const STALE_KEYS_MAX: usize = 1_024;

/// Recent turns; the oldest leave when the memory bound is reached.
#[derive(Clone, Debug)]
pub struct TurnCache {
    turns: HashMap<TurnKey, KeptTurn>,
    order: VecDeque<TurnKey>,
    bytes: usize,
    max_bytes: usize,
}

impl TurnCache {
    /// Creates a cache of at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            turns: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Returns a turn.
    #[must_use]
    pub fn get(&self, key: TurnKey) -> Option<&KeptTurn> {
        self.turns.get(&key)
    }

    /// Adds a turn unless it is there already, and removes the oldest beyond the bound.
    pub fn insert(&mut self, turn: KeptTurn) {
        if self.turns.contains_key(&turn.key) {
            return;
        }
        self.bytes += turn.content_bytes() + TURN_OVERHEAD_BYTES;
        self.order.push_back(turn.key);
        self.turns.insert(turn.key, turn);
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.forget(oldest);
        }
    }

    /// Removes a turn.
    pub fn remove(&mut self, key: TurnKey) {
        self.forget(key);
        if self.order.len() > 2 * self.turns.len() + STALE_KEYS_MAX {
            let turns = &self.turns;
            self.order.retain(|key| turns.contains_key(key));
        }
    }

    fn forget(&mut self, key: TurnKey) {
        if let Some(turn) = self.turns.remove(&key) {
            self.bytes -= turn.content_bytes() + TURN_OVERHEAD_BYTES;
        }
    }

    /// Returns the memory taken, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
