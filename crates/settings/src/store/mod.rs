//! How a revision is laid out in the platform's key-value service.
//!
//! A head record names the revision in force. The text stands in chunks under
//! keys that hold the writer's nonce, so that two writers of one revision never
//! touch each other's chunks; the head decides whose chunks count. A record a
//! revision, put together with the head, makes the history.

mod chunks;
mod keys;
mod record;

pub use chunks::{CHUNK_MAX_BYTES, ChunkPlan, JoinError, join_chunks};
pub use keys::{HEAD_KEY, HISTORY_PREFIX, chunk_key, history_key, revision_prefix};
pub use record::{RecordError, RevisionRecord, TextDigest, WriteNonce};
