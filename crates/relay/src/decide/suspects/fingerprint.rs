//! Identity of a request that comes again.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Lengths of the heads of a body that are hashed apart, longest first, in bytes.
const HEAD_BYTES: [usize; 3] = [4_096, 1_024, 256];

/// Hash of a request's path, caller and body, or of the first bytes of its body.
///
/// The text form is 32 hexadecimal digits; nothing of the request can be read from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct RequestFingerprint(u128);

impl RequestFingerprint {
    /// Reads the text form; `None` if it is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// What stays the same when a caller sends a request again: path, caller and body.
///
/// The identifiers of the attempt and of the program are not part of it. A call whose prompt has
/// grown begins with what it was before, so heads of the body are hashed as well.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    full: RequestFingerprint,
    heads: Vec<RequestFingerprint>,
}

impl RequestIdentity {
    /// Returns the identity of a request; `target` is its path with the query, `caller` the name
    /// of its workspace, and `body` is as the caller sent it.
    #[must_use]
    pub fn new(target: &[u8], caller: Option<&[u8]>, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        // Lengths keep the parts apart; no workspace has an empty name.
        for part in [target, caller.unwrap_or_default()] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        let mut done = 0;
        let mut hash_to = |end: usize, kind: u8| {
            hasher.update(&body[done..end]);
            done = end;
            let mut hasher = hasher.clone();
            hasher.update(&[kind]);
            let mut bytes = [0; 16];
            hasher.finalize_xof().fill(&mut bytes);
            RequestFingerprint(u128::from_le_bytes(bytes))
        };
        let shorter = HEAD_BYTES.into_iter().filter(|size| *size < body.len());
        let mut heads: Vec<_> = shorter.rev().map(|size| hash_to(size, b'h')).collect();
        heads.reverse();
        Self {
            full: hash_to(body.len(), b'f'),
            heads,
        }
    }

    /// Returns the hash with the complete body.
    #[must_use]
    pub fn full(&self) -> RequestFingerprint {
        self.full
    }

    /// Returns the hashes of the heads, the longest first.
    #[must_use]
    pub fn heads(&self) -> &[RequestFingerprint] {
        &self.heads
    }

    /// Returns all hashes: that with the complete body, then those of the heads, longest first.
    #[must_use]
    pub fn all(&self) -> impl DoubleEndedIterator<Item = RequestFingerprint> {
        [self.full].into_iter().chain(self.heads.iter().copied())
    }
}
