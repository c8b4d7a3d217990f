//! Revision records and the identifiers in them.

use std::fmt;
use std::str::FromStr;

use rand::RngCore;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

const NONCE_BYTES: usize = 16;
const DIGEST_BYTES: usize = 32;

/// Errors in decoding a revision record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum RecordError {
    /// The data is not a revision record in JSON.
    #[snafu(display("invalid revision record: {message}"))]
    Malformed {
        /// The message of the JSON parser.
        message: String,
    },
    /// A nonce or digest is not hexadecimal or has the wrong length.
    #[snafu(display("invalid nonce or digest: not hexadecimal or wrong length"))]
    InvalidHex,
}

macro_rules! hex_type {
    ($(#[$doc:meta])* $name:ident, $length:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash)]
        #[derive(Deserialize, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name([u8; $length]);

        impl FromStr for $name {
            type Err = RecordError;

            fn from_str(text: &str) -> Result<Self, RecordError> {
                let mut bytes = [0; $length];
                hex::decode_to_slice(text, &mut bytes).map_err(|_| RecordError::InvalidHex)?;
                Ok(Self(bytes))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&hex::encode(self.0))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}({self})", stringify!($name))
            }
        }

        impl TryFrom<String> for $name {
            type Error = RecordError;

            fn try_from(text: String) -> Result<Self, RecordError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(bytes: $name) -> Self {
                bytes.to_string()
            }
        }
    };
}

hex_type!(
    /// Uniquely identifies a write, so that a writer that received no response can
    /// read the record back and determine whether its own write took effect.
    WriteNonce,
    NONCE_BYTES
);
hex_type!(
    /// The BLAKE3 digest of a revision's text.
    TextDigest,
    DIGEST_BYTES
);

impl WriteNonce {
    /// Creates a random nonce.
    pub fn generate(random: &mut impl RngCore) -> Self {
        let mut bytes = [0; NONCE_BYTES];
        random.fill_bytes(&mut bytes);
        Self(bytes)
    }
}

impl TextDigest {
    /// Computes the digest of a text.
    #[must_use]
    pub fn of(text: &[u8]) -> Self {
        Self(*blake3::hash(text).as_bytes())
    }
}

/// The record of a revision; the head is a copy of the record of the revision
/// in effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RevisionRecord {
    /// The revision number.
    pub revision: u64,
    /// The digest of the whole text.
    pub digest: TextDigest,
    /// The number of chunks that hold the text.
    pub chunks: u32,
    /// The length of the text, in bytes.
    pub bytes: u64,
    /// The author who applied the revision.
    pub author: String,
    /// The author's note on the revision.
    pub note: String,
    /// The nonce of the write, which is part of the chunks' keys.
    pub nonce: WriteNonce,
}

impl RevisionRecord {
    /// Encodes the record as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Serialising numbers and strings cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a record from JSON.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Malformed`] if `data` is not a valid record.
    pub fn decode(data: &[u8]) -> Result<Self, RecordError> {
        serde_json::from_slice(data).map_err(|error| RecordError::Malformed {
            message: error.to_string(),
        })
    }
}
