//! Splits a text into values that the key-value service accepts.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

use crate::store::record::{RevisionRecord, TextDigest, WriteNonce};

/// Largest chunk, in bytes; the service holds values up to a megabyte, which
/// includes the encoding on the wire.
pub const CHUNK_MAX_BYTES: usize = 512 * 1_024;

/// What is written for one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkPlan {
    record: RevisionRecord,
    chunks: Vec<Bytes>,
}

impl ChunkPlan {
    /// Plans the writes of a revision.
    #[must_use]
    pub fn new(
        revision: u64,
        text: Bytes,
        author: impl Into<String>,
        note: impl Into<String>,
        nonce: WriteNonce,
    ) -> Self {
        Self::with_chunks(CHUNK_MAX_BYTES, revision, text, author, note, nonce)
    }

    /// Plans the writes of a revision in chunks of at most `chunk_bytes`.
    #[must_use]
    pub fn with_chunks(
        chunk_bytes: usize,
        revision: u64,
        text: Bytes,
        author: impl Into<String>,
        note: impl Into<String>,
        nonce: WriteNonce,
    ) -> Self {
        let digest = TextDigest::of(&text);
        let bytes = text.len() as u64;
        let chunks = split(text, chunk_bytes.max(1));
        let record = RevisionRecord {
            revision,
            digest,
            chunks: u32::try_from(chunks.len()).unwrap_or(u32::MAX),
            bytes,
            author: author.into(),
            note: note.into(),
            nonce,
        };
        Self { record, chunks }
    }

    /// Returns the record, which is written last.
    #[must_use]
    pub fn record(&self) -> &RevisionRecord {
        &self.record
    }

    /// Returns the chunks in order.
    #[must_use]
    pub fn chunks(&self) -> &[Bytes] {
        &self.chunks
    }
}

fn split(mut text: Bytes, chunk_bytes: usize) -> Vec<Bytes> {
    let mut chunks = Vec::new();
    while text.len() > chunk_bytes {
        chunks.push(text.split_to(chunk_bytes));
    }
    if !text.is_empty() {
        chunks.push(text);
    }
    chunks
}

/// Tells why chunks do not make the text of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum JoinError {
    /// There are more or fewer chunks than the record says.
    #[snafu(display("{found} chunks were read of {expected}"))]
    Count {
        /// Chunks of the record.
        expected: u32,
        /// Chunks that were read.
        found: usize,
    },
    /// The text has another digest than the record.
    #[snafu(display("the text does not have the digest of its record"))]
    Digest,
}

/// Joins the chunks of a revision and checks them against its record.
///
/// # Errors
///
/// Fails when chunks are missing or the digest differs.
pub fn join_chunks(record: &RevisionRecord, chunks: &[Bytes]) -> Result<Bytes, JoinError> {
    if chunks.len() as u64 != u64::from(record.chunks) {
        return Err(JoinError::Count {
            expected: record.chunks,
            found: chunks.len(),
        });
    }
    let mut text = BytesMut::new();
    for chunk in chunks {
        text.extend_from_slice(chunk);
    }
    let text = text.freeze();
    if text.len() as u64 != record.bytes || TextDigest::of(&text) != record.digest {
        return Err(JoinError::Digest);
    }
    Ok(text)
}
