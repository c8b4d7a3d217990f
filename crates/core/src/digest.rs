//! Digest of a program's history.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::IdError;

const HASH_BYTES: usize = 32;

/// Length and chained BLAKE3 hash of a program's history.
///
/// The text form is `LENGTH-HASH`: the number of records in decimal, a hyphen
/// and 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct HistoryDigest {
    length: u64,
    hash: [u8; HASH_BYTES],
}

impl HistoryDigest {
    /// The digest of an empty history.
    pub const EMPTY: Self = Self {
        length: 0,
        hash: [0; HASH_BYTES],
    };

    /// Returns the digest of the history with `record` appended.
    #[must_use]
    pub fn append(self, record: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.hash);
        hasher.update(&self.length.to_be_bytes());
        hasher.update(record);
        Self {
            length: self.length + 1,
            hash: *hasher.finalize().as_bytes(),
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub const fn length(self) -> u64 {
        self.length
    }
}

impl FromStr for HistoryDigest {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (length, digits) = text.split_once('-').ok_or(IdError::Malformed)?;
        let length = length.parse().map_err(|_| IdError::Malformed)?;
        let mut hash = [0; HASH_BYTES];
        hex::decode_to_slice(digits, &mut hash).map_err(|_| IdError::Malformed)?;
        Ok(Self { length, hash })
    }
}

impl fmt::Display for HistoryDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.length, hex::encode(self.hash))
    }
}

impl fmt::Debug for HistoryDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "HistoryDigest({self})")
    }
}

impl TryFrom<String> for HistoryDigest {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<HistoryDigest> for String {
    fn from(digest: HistoryDigest) -> Self {
        digest.to_string()
    }
}
