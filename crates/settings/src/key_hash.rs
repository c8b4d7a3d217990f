//! Secret keys of callers and operators, and their stored hashes.

use std::fmt;
use std::str::FromStr;

use rand::RngCore;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::table::ValueError;

const HASH_BYTES: usize = 32;
const HASH_PREFIX: &str = "blake3:";
const SECRET_BYTES: usize = 32;
const KEY_PREFIX: &str = "ibk-";
const SEARCH_PREFIX_BYTES: usize = 8;

/// The BLAKE3 hash of a key, which is stored instead of the key.
#[derive(Clone, Copy)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }

    /// Returns the leading bytes of the hash, by which key records are sorted
    /// and searched.
    pub(crate) fn search_prefix(&self) -> u64 {
        let mut bytes = [0; SEARCH_PREFIX_BYTES];
        bytes.copy_from_slice(&self.0[..SEARCH_PREFIX_BYTES]);
        u64::from_be_bytes(bytes)
    }
}

impl PartialEq for KeyHash {
    /// Compares in constant time, so that timing reveals nothing about the hash.
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyHash {}

impl FromStr for KeyHash {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let digits = text.strip_prefix(HASH_PREFIX).ok_or(ValueError::KeyHash)?;
        let mut hash = [0; HASH_BYTES];
        hex::decode_to_slice(digits, &mut hash).map_err(|_| ValueError::KeyHash)?;
        Ok(Self(hash))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{HASH_PREFIX}{}", hex::encode(self.0))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyHash({self})")
    }
}

impl TryFrom<String> for KeyHash {
    type Error = ValueError;

    fn try_from(text: String) -> Result<Self, ValueError> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}

/// A newly generated key, which is shown only once, to the operator who grants
/// it.
///
/// `Debug` does not print the key, and the type cannot be serialised.
#[derive(Clone)]
pub struct SecretKey(String);

impl SecretKey {
    /// Creates a random key.
    pub fn generate(random: &mut impl RngCore) -> Self {
        let mut bytes = [0; SECRET_BYTES];
        random.fill_bytes(&mut bytes);
        Self(format!("{KEY_PREFIX}{}", hex::encode(bytes)))
    }

    /// Returns the hash to store instead of the key.
    #[must_use]
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(self.0.as_bytes())
    }

    /// Returns the key in plain text.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretKey(..)")
    }
}
