//! Ceilings of programs in the store, which also record the epochs of their homes.

use serde::{Deserialize, Serialize};

use super::share::ProgramKey;

/// Request of a program's home VM to store a ceiling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CeilingClaim {
    /// Hash of the program's identifier.
    pub program: ProgramKey,
    /// Tokens that may be delivered.
    pub ceiling: u64,
    /// Identifier of the home's records in its epoch.
    pub owner: u64,
    /// Identifiers of the records that may be replaced, since the home knows all that was
    /// granted under them; 0 for none.
    pub replaces: [u64; 2],
}

/// A stored ceiling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct StoredCeiling {
    /// Tokens that may be delivered.
    pub ceiling: u64,
    /// Identifier of the record, by the home and the epoch that stored it.
    pub owner: u64,
}

/// State of a claim compared with the stored ceiling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The ceiling or a higher one is stored.
    Stored,
    /// The ceiling is not stored yet.
    Missing,
    /// Another home VM may have granted tokens under the stored ceiling.
    Conflict(StoredCeiling),
}

/// Result of the attempt to store a ceiling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum ClaimOutcome {
    /// The ceiling or a higher one is stored.
    Stored,
    /// The ceiling is not known to be stored.
    Failed,
    /// The record of another home is stored and was not replaced.
    Conflict(StoredCeiling),
}

impl CeilingClaim {
    /// Compares the claim with the stored ceiling.
    #[must_use]
    pub fn compare(&self, stored: Option<StoredCeiling>) -> ClaimStatus {
        let Some(stored) = stored else {
            return ClaimStatus::Missing;
        };
        if stored.owner != self.owner {
            if self.replaces.contains(&stored.owner) {
                ClaimStatus::Missing
            } else {
                ClaimStatus::Conflict(stored)
            }
        } else if stored.ceiling >= self.ceiling {
            ClaimStatus::Stored
        } else {
            ClaimStatus::Missing
        }
    }
}
