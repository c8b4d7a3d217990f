//! Names of keys in the key-value service.

use crate::store::record::WriteNonce;

/// The key of the head record.
pub const HEAD_KEY: &str = "/ibisdale/settings/head";
/// The prefix of the records of all revisions.
pub const HISTORY_PREFIX: &str = "/ibisdale/settings/history/";

const REVISIONS_PREFIX: &str = "/ibisdale/settings/revisions/";

/// Returns the key of a revision's record; keys order as revisions do.
#[must_use]
pub fn history_key(revision: u64) -> String {
    format!("{HISTORY_PREFIX}{revision:020}")
}

/// Returns the prefix of everything that was written for a revision.
#[must_use]
pub fn revision_prefix(revision: u64) -> String {
    format!("{REVISIONS_PREFIX}{revision:020}/")
}

/// Returns the key of a chunk, which counts from 0.
#[must_use]
pub fn chunk_key(revision: u64, nonce: &WriteNonce, chunk: u32) -> String {
    format!("{}{nonce}/chunk-{chunk}", revision_prefix(revision))
}
