//! Storage layout of the settings in the platform's key-value service.
//!
//! The head is a copy of the record of the revision in effect. The text is split
//! into chunks, whose keys contain the nonce of the write: concurrent writers of
//! the same revision never overwrite each other's chunks, and the head selects the
//! chunks that are valid. The history has one record per revision, which is
//! written in the same transaction as the head.

mod chunks;
mod keys;
mod record;

pub use chunks::{CHUNK_MAX_BYTES, ChunkedRevision, JoinError, join_chunks};
pub use keys::{HEAD_KEY, HISTORY_PREFIX, chunk_key, chunk_prefix, revision_record_key};
pub use record::{RecordError, RevisionRecord, TextDigest, WriteNonce};
