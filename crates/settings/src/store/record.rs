//! The record of a revision.

use std::fmt;
use std::str::FromStr;

use rand::RngCore;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

const NONCE_BYTES: usize = 16;
const DIGEST_BYTES: usize = 32;

/// Tells why a record is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum RecordError {
    /// The record is not the JSON of a record.
    #[snafu(display("not a record of a revision: {message}"))]
    Malformed {
        /// What is wrong.
        message: String,
    },
    /// A nonce or digest has another form.
    #[snafu(display("hexadecimal digits are expected"))]
    Digits,
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
                hex::decode_to_slice(text, &mut bytes).map_err(|_| RecordError::Digits)?;
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
    /// Tells one write from all others, so that a lost answer is resolved by
    /// reading back.
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
    /// Returns the digest of a text.
    #[must_use]
    pub fn of(text: &[u8]) -> Self {
        Self(*blake3::hash(text).as_bytes())
    }
}

/// The record of a revision; the head is the record of the one in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RevisionRecord {
    /// The revision.
    pub revision: u64,
    /// The digest of the text.
    pub digest: TextDigest,
    /// The number of chunks.
    pub chunks: u32,
    /// The length of the text, in bytes.
    pub bytes: u64,
    /// Who applied the revision.
    pub author: String,
    /// What the author says about it.
    pub note: String,
    /// The nonce of the write.
    pub nonce: WriteNonce,
}

impl RevisionRecord {
    /// Returns the record as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Numbers and strings always encode.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a record from JSON.
    ///
    /// # Errors
    ///
    /// Fails with [`RecordError::Malformed`].
    pub fn decode(data: &[u8]) -> Result<Self, RecordError> {
        serde_json::from_slice(data).map_err(|error| RecordError::Malformed {
            message: error.to_string(),
        })
    }
}
