//! A prefix cache of limited size, in blocks of tokens.

use std::collections::{BTreeMap, HashMap};

use super::answer::{continue_hash, start_hash};

/// Tokens in a block.
pub(crate) const BLOCK_TOKENS: usize = 16;

/// The cache has no room, even without any idle session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CacheFull;

/// A session that was evicted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EvictedSession {
    pub(crate) session: String,
    pub(crate) tokens: u64,
}

#[derive(Debug, Default)]
struct BlockInfo {
    holders: u32,
    is_computed: bool,
}

#[derive(Debug)]
struct HeldSession {
    blocks: Vec<u64>,
    tokens: u64,
    last_use: u64,
}

/// Blocks by the hash of all tokens up to their end.
///
/// Running sequences and idle sessions hold blocks; the idle session used the
/// longest ago is evicted first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    blocks: HashMap<u64, BlockInfo>,
    sessions: BTreeMap<String, HeldSession>,
    uses: u64,
}

/// Returns the blocks of a sequence of tokens; the last may be partial.
pub(crate) fn split_blocks<T: AsRef<str>>(model: &str, tokens: &[T]) -> Vec<u64> {
    let mut hash = start_hash(model);
    let mut blocks = Vec::with_capacity(tokens.len().div_ceil(BLOCK_TOKENS));
    for block in tokens.chunks(BLOCK_TOKENS) {
        for token in block {
            hash = continue_hash(hash, token.as_ref().as_bytes());
            hash = continue_hash(hash, b" ");
        }
        blocks.push(hash);
    }
    blocks
}

impl PrefixCache {
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        let capacity = usize::try_from(capacity_tokens).unwrap_or(usize::MAX);
        Self {
            capacity_blocks: capacity / BLOCK_TOKENS,
            blocks: HashMap::new(),
            sessions: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Tells whether this many blocks fit in the empty cache.
    pub(crate) fn can_ever_hold(&self, blocks: usize) -> bool {
        blocks <= self.capacity_blocks
    }

    /// Returns how many of the leading blocks are computed.
    pub(crate) fn count_computed(&self, blocks: &[u64]) -> usize {
        let is_computed = |block: &&u64| {
            let info = self.blocks.get(*block);
            info.is_some_and(|info| info.is_computed)
        };
        blocks.iter().take_while(is_computed).count()
    }

    /// Holds blocks for a running sequence and evicts idle sessions for them.
    pub(crate) fn hold(&mut self, blocks: &[u64]) -> Result<Vec<EvictedSession>, CacheFull> {
        for block in blocks {
            self.blocks.entry(*block).or_default().holders += 1;
        }
        let mut evicted = Vec::new();
        while self.blocks.len() > self.capacity_blocks {
            let Some(session) = self.evict_oldest() else {
                self.drop_hold(blocks);
                return Err(CacheFull);
            };
            evicted.push(session);
        }
        Ok(evicted)
    }

    /// Marks held blocks as computed.
    pub(crate) fn mark_computed(&mut self, blocks: &[u64]) {
        for block in blocks {
            if let Some(info) = self.blocks.get_mut(block) {
                info.is_computed = true;
            }
        }
    }

    /// Gives up blocks that were held.
    pub(crate) fn drop_hold(&mut self, blocks: &[u64]) {
        for block in blocks {
            let Some(info) = self.blocks.get_mut(block) else {
                continue;
            };
            info.holders -= 1;
            if info.holders == 0 {
                self.blocks.remove(block);
            }
        }
    }

    /// Hands blocks that are held over to an idle session, which replaces what
    /// it held before.
    pub(crate) fn store_session(&mut self, session: &str, blocks: Vec<u64>, tokens: u64) {
        self.uses += 1;
        let held = HeldSession {
            blocks,
            tokens,
            last_use: self.uses,
        };
        if let Some(before) = self.sessions.insert(session.to_owned(), held) {
            self.drop_hold(&before.blocks);
        }
    }

    /// Removes a session; returns the tokens that it held.
    pub(crate) fn remove_session(&mut self, session: &str) -> Option<u64> {
        let held = self.sessions.remove(session)?;
        self.drop_hold(&held.blocks);
        Some(held.tokens)
    }

    /// Returns a session's blocks and tokens.
    pub(crate) fn get_session(&self, session: &str) -> Option<(&[u64], u64)> {
        let held = self.sessions.get(session)?;
        Some((&held.blocks, held.tokens))
    }

    /// Iterates over idle sessions and their tokens.
    pub(crate) fn iter_sessions(&self) -> impl Iterator<Item = (&str, u64)> {
        let sessions = self.sessions.iter();
        sessions.map(|(session, held)| (session.as_str(), held.tokens))
    }

    /// Returns the tokens that fit in the blocks in use.
    pub(crate) fn held_tokens(&self) -> u64 {
        (self.blocks.len() * BLOCK_TOKENS) as u64
    }

    /// Returns the tokens that fit in all blocks.
    pub(crate) fn capacity_tokens(&self) -> u64 {
        (self.capacity_blocks * BLOCK_TOKENS) as u64
    }

    fn evict_oldest(&mut self) -> Option<EvictedSession> {
        let oldest = self.sessions.iter().min_by_key(|(_, held)| held.last_use);
        let session = oldest?.0.clone();
        let tokens = self.remove_session(&session)?;
        Some(EvictedSession { session, tokens })
    }
}
