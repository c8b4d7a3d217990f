//! Prompt prefixes that replicas are known to have cached.

use std::collections::HashMap;

use ibisdale_core::{ProgramId, TimeStamp};

use super::replica::ReplicaKey;

/// Maximum number of replicas stored per session; the oldest entry is replaced.
///
/// With 4 entries, eight of nine runs of the `decisions` benchmark recomputed more
/// prompt tokens.
const REPLICAS_PER_SESSION_MAX: usize = 2;

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
pub(crate) struct CachedPrefix {
    pub(crate) replica: ReplicaKey,
    pub(crate) tokens: u32,
    pub(crate) observed_at: TimeStamp,
}

impl CachedPrefix {
    /// Returns the number of tokens to rely on, given the time of the latest gap in
    /// the cache events.
    pub(crate) fn expected_tokens(&self, last_gap_at: TimeStamp) -> u32 {
        if self.observed_at >= last_gap_at {
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
    recent: HashMap<SessionId, Vec<CachedPrefix>>,
    older: HashMap<SessionId, Vec<CachedPrefix>>,
    sessions_per_generation: usize,
}

impl PrefixTable {
    /// Creates a table of at most `session_limit` sessions.
    pub(crate) fn new(session_limit: usize) -> Self {
        Self {
            recent: HashMap::new(),
            older: HashMap::new(),
            sessions_per_generation: (session_limit / 2).max(1),
        }
    }

    pub(crate) fn cached_prefixes(&self, session: SessionId) -> &[CachedPrefix] {
        self.recent
            .get(&session)
            .or_else(|| self.older.get(&session))
            .map_or(&[], Vec::as_slice)
    }

    pub(crate) fn store(&mut self, session: SessionId, cached: CachedPrefix) {
        let prefixes = self.touch(session);
        if let Some(known) = prefixes
            .iter_mut()
            .find(|known| known.replica == cached.replica)
        {
            if cached.observed_at >= known.observed_at {
                *known = cached;
            }
            return;
        }
        if prefixes.len() >= REPLICAS_PER_SESSION_MAX {
            remove_oldest(prefixes);
        }
        prefixes.push(cached);
    }

    /// Records that a replica has at least the tokens of `cached`.
    pub(crate) fn confirm(&mut self, session: SessionId, cached: CachedPrefix) {
        let known = self
            .cached_prefixes(session)
            .iter()
            .find(|known| known.replica == cached.replica)
            .map_or(0, |known| known.tokens);
        let tokens = cached.tokens.max(known);
        self.store(session, CachedPrefix { tokens, ..cached });
    }

    /// Reduces a cached prefix to the tokens of `eviction`, unless it was confirmed after
    /// the eviction.
    pub(crate) fn evict(&mut self, session: SessionId, eviction: CachedPrefix) {
        let prefixes = self.touch(session);
        prefixes.retain_mut(|known| {
            if known.replica == eviction.replica && known.observed_at <= eviction.observed_at {
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
        for prefixes in self.recent.values_mut().chain(self.older.values_mut()) {
            prefixes.retain(|known| known.replica != replica);
        }
    }

    /// Moves a session to the recent generation and returns its cached prefixes.
    fn touch(&mut self, session: SessionId) -> &mut Vec<CachedPrefix> {
        let is_new = !self.recent.contains_key(&session);
        if is_new && self.recent.len() >= self.sessions_per_generation {
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

fn remove_oldest(prefixes: &mut Vec<CachedPrefix>) {
    let oldest = prefixes
        .iter()
        .enumerate()
        .min_by_key(|(_, cached)| cached.observed_at)
        .map(|(index, _)| index);
    if let Some(index) = oldest {
        prefixes.swap_remove(index);
    }
}
