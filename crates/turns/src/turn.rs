//! Kept turns and their keys.

use std::fmt;

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

/// Hash of a workspace and the identifier of one of its turns.
///
/// A turn of another workspace has another key, so it is never found.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct TurnKey([u8; TurnKey::BYTES]);

impl TurnKey {
    /// Length of a key, in bytes.
    pub const BYTES: usize = 16;

    /// Hashes a workspace and a turn's identifier.
    #[must_use]
    pub fn new(workspace: &[u8], id: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        // The length separates the workspace from the identifier.
        hasher.update(&workspace.len().to_le_bytes());
        hasher.update(workspace);
        hasher.update(id);
        let mut key = [0; Self::BYTES];
        hasher.finalize_xof().fill(&mut key);
        Self(key)
    }

    /// Creates a key from its bytes.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; Self::BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the key.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; Self::BYTES] {
        &self.0
    }
}

impl fmt::Display for TurnKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for TurnKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// A turn whose response is complete; it never changes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct KeptTurn {
    /// Key of the turn.
    pub key: TurnKey,
    /// Key of the turn that it continues, if any.
    pub previous: Option<TurnKey>,
    /// Hash that ranks the holders of the turn; the same for all turns of a chain, so
    /// that one holder has them all.
    pub placement: u64,
    /// Time for which the turn is kept, in milliseconds.
    pub retain_ms: u64,
    /// Body of the caller's request.
    pub input: Bytes,
    /// Data of the response's events, each followed by a line feed.
    pub output: Bytes,
}

impl KeptTurn {
    /// Returns the length of input and output, in bytes.
    #[must_use]
    pub fn content_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// Joins the inputs and outputs of a chain, oldest turn first, and a new input.
#[must_use]
pub fn join_chain(chain: &[KeptTurn], input: &[u8]) -> Bytes {
    let length: usize = chain.iter().map(KeptTurn::content_bytes).sum();
    let mut body = BytesMut::with_capacity(length + input.len());
    for turn in chain {
        body.put_slice(&turn.input);
        body.put_slice(&turn.output);
    }
    body.put_slice(input);
    body.freeze()
}
