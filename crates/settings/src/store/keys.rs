//! Store keys under which the settings are kept.

use crate::store::record::WriteNonce;

/// The key of the head record, a copy of the record of the revision in effect.
pub const HEAD_KEY: &str = "/ibisdale/settings/head";
/// The prefix of the keys of all revision records.
pub const HISTORY_PREFIX: &str = "/ibisdale/settings/history/";

const CHUNKS_PREFIX: &str = "/ibisdale/settings/revisions/";

/// Returns the key of a revision's record.
///
/// The number is padded with zeros, so that keys sort in the order of the
/// revisions.
#[must_use]
pub fn revision_record_key(revision: u64) -> String {
    format!("{HISTORY_PREFIX}{revision:020}")
}

/// Returns the prefix of the keys of a revision's chunks, including those
/// of writers that lost a race for the revision.
#[must_use]
pub fn chunk_prefix(revision: u64) -> String {
    format!("{CHUNKS_PREFIX}{revision:020}/")
}

/// Returns the key of a chunk; chunks are numbered from 0.
#[must_use]
pub fn chunk_key(revision: u64, nonce: &WriteNonce, chunk: u32) -> String {
    format!("{}{nonce}/chunk-{chunk}", chunk_prefix(revision))
}
