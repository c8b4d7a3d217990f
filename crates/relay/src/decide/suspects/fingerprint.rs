//! Identity of a request that is sent again.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Hash of what stays the same when a caller sends a request again: path, caller and body.
///
/// The identifiers of the attempt and of the program are not part of it. The text form is 32
/// hexadecimal digits; nothing of the request can be read from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct RequestFingerprint(u128);

impl RequestFingerprint {
    /// Returns the fingerprint of a request; `target` is its path with the query, `caller` the
    /// name of its workspace, and `body` is as the caller sent it.
    #[must_use]
    pub fn new(target: &[u8], caller: Option<&[u8]>, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        // Lengths keep the parts apart; no workspace has an empty name.
        for part in [target, caller.unwrap_or_default(), body] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u128::from_le_bytes(bytes))
    }

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
