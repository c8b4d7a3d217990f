//! Tests that joined chunks equal the original text and that other chunks are
//! rejected.

use bytes::Bytes;
use ibisdale_settings::store::{
    CHUNK_MAX_BYTES, ChunkPlan, JoinError, RevisionRecord, WriteNonce, chunk_key, history_key,
    join_chunks,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

const SEED: u64 = 3;

fn plan_of(length: usize) -> (Bytes, ChunkPlan) {
    let text: Bytes = (0..length).map(|index| index.to_le_bytes()[0]).collect();
    let nonce = WriteNonce::generate(&mut Pcg64::seed_from_u64(SEED));
    let plan = ChunkPlan::new(9, text.clone(), "anna", "first", nonce);
    (text, plan)
}

#[rstest]
#[case(0, 0)]
#[case(1, 1)]
#[case(CHUNK_MAX_BYTES, 1)]
#[case(CHUNK_MAX_BYTES + 1, 2)]
#[case(7 * CHUNK_MAX_BYTES, 7)]
fn joined_chunks_equal_the_text(#[case] length: usize, #[case] chunks: usize) {
    let (text, plan) = plan_of(length);
    assert_eq!(plan.chunks().len(), chunks);
    assert!(
        plan.chunks()
            .iter()
            .all(|chunk| chunk.len() <= CHUNK_MAX_BYTES)
    );
    let record = RevisionRecord::decode(&plan.record().encode()).unwrap();
    assert_eq!(join_chunks(&record, plan.chunks()), Ok(text));
}

#[test]
fn join_rejects_missing_and_altered_chunks() {
    let (_, plan) = plan_of(2 * CHUNK_MAX_BYTES);
    let (first, second) = (plan.chunks()[0].clone(), plan.chunks()[1].clone());
    let missing = join_chunks(plan.record(), std::slice::from_ref(&first));
    assert_eq!(
        missing,
        Err(JoinError::ChunkCount {
            expected: 2,
            found: 1
        })
    );
    let truncated = second.slice(..second.len() - 1);
    assert_eq!(
        join_chunks(plan.record(), &[first.clone(), truncated]),
        Err(JoinError::DigestMismatch)
    );
    let different = Bytes::from(vec![0; second.len()]);
    assert_eq!(
        join_chunks(plan.record(), &[first, different]),
        Err(JoinError::DigestMismatch)
    );
}

/// Two writers of one revision must not overwrite each other's chunks, or the
/// winner's head would name the other writer's text. The history is read in the
/// order of its keys, so 10 must sort after 9.
#[test]
fn chunk_keys_contain_the_nonce_and_history_keys_sort_by_revision() {
    let (_, plan) = plan_of(1);
    let key = chunk_key(9, &plan.record().nonce, 0);
    assert!(key.contains(&plan.record().nonce.to_string()));
    assert!(history_key(9) < history_key(10));
    insta::assert_snapshot!(history_key(9), @r##"
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
    let plan = ChunkPlan::with_chunk_size(4_096, 9, text.clone(), "anna", "first", nonce);
    assert_eq!(plan.chunks().len(), 3);
    assert_eq!(join_chunks(plan.record(), plan.chunks()), Ok(text));
}
