//! Prompt prefixes that replicas are known to have cached.

use std::collections::HashMap;

use ibisdale_core::{ProgramId, TimeStamp};

use super::replica::ReplicaKey;

/// Maximum number of replicas stored per session; the oldest entry is replaced.
///
/// With 4 entries, the benchmark runs recomputed more prompt tokens.
const PLACEMENTS_MAX: usize = 2;

/// Fraction of the cached tokens still relied on after cache events were missed.
const GAP_CONFIDENCE: f64 = 0.5;

/// Identifies a sequence of tokens that prompts start with, such as the history of
/// a program or a shared system prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(u64);

impl SessionId {
    /// Creates an identifier from a number that is unique in the fleet, such as
    /// a hash of the shared prompt.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the identifier of a program's own history.
    #[must_use]
    pub fn from_program(program: ProgramId) -> Self {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&program.as_bytes()[8..]);
        Self(u64::from_be_bytes(bytes))
    }
}

/// A prefix that a prompt has in common with a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrefix {
    /// The session.
    pub session: SessionId,
    /// Number of leading tokens that the prompt shares with the session.
    pub tokens: u32,
}

/// Number of leading tokens of a session that one replica has cached.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefixPlacement {
    pub(crate) replica: ReplicaKey,
    pub(crate) tokens: u32,
    pub(crate) at: TimeStamp,
}

impl PrefixPlacement {
    /// Returns the number of tokens to rely on, given the time before which cache
    /// events were missed.
    pub(crate) fn expected_tokens(&self, last_gap_at: TimeStamp) -> u32 {
        if self.at >= last_gap_at {
            return self.tokens;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let tokens = (f64::from(self.tokens) * GAP_CONFIDENCE) as u32;
        tokens
    }
}

/// Cached prefixes by session, bounded by dropping the least recently updated half.
///
/// Sessions are kept in two generations. When the recent one is full, it replaces
/// the older one.
#[derive(Clone, Debug)]
pub(crate) struct PrefixTable {
    recent: HashMap<SessionId, Vec<PrefixPlacement>>,
    older: HashMap<SessionId, Vec<PrefixPlacement>>,
    generation_limit: usize,
}

impl PrefixTable {
    /// Creates a table of at most `session_limit` sessions.
    pub(crate) fn new(session_limit: usize) -> Self {
        Self {
            recent: HashMap::new(),
            older: HashMap::new(),
            generation_limit: (session_limit / 2).max(1),
        }
    }

    pub(crate) fn placements(&self, session: SessionId) -> &[PrefixPlacement] {
        self.recent
            .get(&session)
            .or_else(|| self.older.get(&session))
            .map_or(&[], Vec::as_slice)
    }

    pub(crate) fn store(&mut self, session: SessionId, placement: PrefixPlacement) {
        let placements = self.touch(session);
        if let Some(known) = placements
            .iter_mut()
            .find(|known| known.replica == placement.replica)
        {
            if placement.at >= known.at {
                *known = placement;
            }
            return;
        }
        if placements.len() >= PLACEMENTS_MAX {
            remove_oldest(placements);
        }
        placements.push(placement);
    }

    /// Records that a replica has at least the tokens of `placement` cached.
    pub(crate) fn confirm(&mut self, session: SessionId, placement: PrefixPlacement) {
        let known = self
            .placements(session)
            .iter()
            .find(|known| known.replica == placement.replica)
            .map_or(0, |known| known.tokens);
        let tokens = placement.tokens.max(known);
        self.store(
            session,
            PrefixPlacement {
                tokens,
                ..placement
            },
        );
    }

    /// Reduces a placement to the tokens of `eviction`, unless it was confirmed after
    /// the eviction.
    pub(crate) fn evict(&mut self, session: SessionId, eviction: PrefixPlacement) {
        let placements = self.touch(session);
        placements.retain_mut(|known| {
            if known.replica == eviction.replica && known.at <= eviction.at {
                known.tokens = known.tokens.min(eviction.tokens);
            }
            known.tokens > 0
        });
    }

    pub(crate) fn forget(&mut self, session: SessionId) {
        self.recent.remove(&session);
        self.older.remove(&session);
    }

    pub(crate) fn forget_replica(&mut self, replica: ReplicaKey) {
        for placements in self.recent.values_mut().chain(self.older.values_mut()) {
            placements.retain(|known| known.replica != replica);
        }
    }

    /// Moves a session to the recent generation and returns its placements.
    fn touch(&mut self, session: SessionId) -> &mut Vec<PrefixPlacement> {
        let is_new = !self.recent.contains_key(&session);
        if is_new && self.recent.len() >= self.generation_limit {
            self.older = std::mem::take(&mut self.recent);
        }
        let known = if is_new {
            self.older.remove(&session)
        } else {
            None
        };
        self.recent
            .entry(session)
            .or_insert_with(|| known.unwrap_or_default())
    }
}

fn remove_oldest(placements: &mut Vec<PrefixPlacement>) {
    let oldest = placements
        .iter()
        .enumerate()
        .min_by_key(|(_, placement)| placement.at)
        .map(|(index, _)| index);
    if let Some(index) = oldest {
        placements.swap_remove(index);
    }
}
