//! Splits the settings text into chunks that fit into values of the key-value
//! service.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

use crate::store::record::{RevisionRecord, TextDigest, WriteNonce};

/// Maximum chunk size in bytes. The service accepts values of up to one
/// megabyte, and that limit includes the wire encoding.
pub const CHUNK_MAX_BYTES: usize = 512 * 1_024;

/// A revision record and the chunks of its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkedRevision {
    record: RevisionRecord,
    chunks: Vec<Bytes>,
}

impl ChunkedRevision {
    /// Splits a revision's text into chunks of at most [`CHUNK_MAX_BYTES`].
    #[must_use]
    pub fn new(
        revision: u64,
        text: Bytes,
        author: impl Into<String>,
        note: impl Into<String>,
        nonce: WriteNonce,
    ) -> Self {
        Self::with_chunk_size(CHUNK_MAX_BYTES, revision, text, author, note, nonce)
    }

    /// Splits a revision's text into chunks of at most `chunk_bytes`, or of one
    /// byte if `chunk_bytes` is 0.
    #[must_use]
    pub fn with_chunk_size(
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

    /// Returns the record, which must not be written before the chunks.
    #[must_use]
    pub fn record(&self) -> &RevisionRecord {
        &self.record
    }

    /// Returns the chunks in the order of the text.
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

/// Reasons why chunks do not match the record of their revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum JoinError {
    /// The number of chunks differs from the record.
    #[snafu(display("expected {expected} chunks, found {found}"))]
    ChunkCount {
        /// The number of chunks in the record.
        expected: u32,
        /// The number of chunks that were read.
        found: usize,
    },
    /// The length or digest of the joined text differs from the record.
    #[snafu(display("the text does not match the length and digest in its record"))]
    TextMismatch,
}

/// Joins the chunks of a revision and verifies the text against its record.
///
/// # Errors
///
/// Fails if the number of chunks, the length of the text or its digest differs
/// from the record.
pub fn join_chunks(record: &RevisionRecord, chunks: &[Bytes]) -> Result<Bytes, JoinError> {
    if chunks.len() as u64 != u64::from(record.chunks) {
        return Err(JoinError::ChunkCount {
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
        return Err(JoinError::TextMismatch);
    }
    Ok(text)
}
