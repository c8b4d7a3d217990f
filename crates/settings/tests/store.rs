//! Tests that joined chunks equal the original text and that missing or altered
//! chunks are rejected.

use bytes::Bytes;
use ibisdale_settings::store::{
    CHUNK_MAX_BYTES, ChunkedRevision, JoinError, RevisionRecord, WriteNonce, chunk_key,
    join_chunks, revision_record_key,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

const SEED: u64 = 3;

fn chunked_revision(length: usize) -> (Bytes, ChunkedRevision) {
    let text: Bytes = (0..length).map(|index| index.to_le_bytes()[0]).collect();
    let nonce = WriteNonce::generate(&mut Pcg64::seed_from_u64(SEED));
    let revision = ChunkedRevision::new(9, text.clone(), "anna", "first", nonce);
    (text, revision)
}

#[rstest]
#[case(0, 0)]
#[case(1, 1)]
#[case(CHUNK_MAX_BYTES, 1)]
#[case(CHUNK_MAX_BYTES + 1, 2)]
#[case(7 * CHUNK_MAX_BYTES, 7)]
fn joined_chunks_equal_the_text(#[case] length: usize, #[case] chunks: usize) {
    let (text, revision) = chunked_revision(length);
    assert_eq!(revision.chunks().len(), chunks);
    assert!(
        revision
            .chunks()
            .iter()
            .all(|chunk| chunk.len() <= CHUNK_MAX_BYTES)
    );
    let record = RevisionRecord::decode(&revision.record().encode()).unwrap();
    assert_eq!(join_chunks(&record, revision.chunks()), Ok(text));
}

#[test]
fn join_rejects_missing_and_altered_chunks() {
    let (_, revision) = chunked_revision(2 * CHUNK_MAX_BYTES);
    let (first, second) = (revision.chunks()[0].clone(), revision.chunks()[1].clone());
    let missing = join_chunks(revision.record(), std::slice::from_ref(&first));
    assert_eq!(
        missing,
        Err(JoinError::ChunkCount {
            expected: 2,
            found: 1
        })
    );
    let truncated = second.slice(..second.len() - 1);
    assert_eq!(
        join_chunks(revision.record(), &[first.clone(), truncated]),
        Err(JoinError::TextMismatch)
    );
    let different = Bytes::from(vec![0; second.len()]);
    assert_eq!(
        join_chunks(revision.record(), &[first, different]),
        Err(JoinError::TextMismatch)
    );
}

/// Two writers of one revision must not overwrite each other's chunks, or the
/// head would refer to chunks of the other writer. The history is read in the
/// order of its keys, so 10 must sort after 9.
#[test]
fn chunk_keys_contain_the_nonce_and_history_keys_sort_by_revision() {
    let (_, revision) = chunked_revision(1);
    let key = chunk_key(9, &revision.record().nonce, 0);
    assert!(key.contains(&revision.record().nonce.to_string()));
    assert!(revision_record_key(9) < revision_record_key(10));
    insta::assert_snapshot!(revision_record_key(9), @r##"
    /ibisdale/settings/history/00000000000000000009
    "##);
}

#[test]
fn decode_rejects_invalid_records() {
    assert!(RevisionRecord::decode(b"{\"revision\": -1}").is_err());
    assert!(RevisionRecord::decode(b"").is_err());
}

#[test]
fn smaller_chunks_join_to_the_same_text() {
    let text = Bytes::from(vec![b'x'; 10_000]);
    let nonce = WriteNonce::generate(&mut Pcg64::seed_from_u64(SEED));
    let revision = ChunkedRevision::with_chunk_size(4_096, 9, text.clone(), "anna", "first", nonce);
    assert_eq!(revision.chunks().len(), 3);
    assert_eq!(join_chunks(revision.record(), revision.chunks()), Ok(text));
}
