//! Tests of the history store: crashes, epochs, gaps, damage, disk failures and
//! compaction.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, OnceLock};

use ibisdale_core::{ProgramId, SlotId};
use ibisdale_programs::{
    AppendStatus, DamageKind, DiskOperation, HistoryStore, StoreDamage, StoreDisk, StoreError,
    StoreOptions, StoredRecord,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use tempfile::TempDir;

use AppendStatus::{DiskError, DiskFull, Gap, StaleEpoch, Stored};

const SEGMENT: &str = "0000000000000000.segment";

fn slot() -> SlotId {
    SlotId::new(5).expect("valid slot")
}

fn program(number: u64) -> ProgramId {
    ProgramId::generate(slot(), &mut SmallRng::seed_from_u64(number))
}

fn record(number: u64, epoch: u64, sequence: u64) -> StoredRecord {
    StoredRecord {
        program: program(number),
        epoch,
        sequence,
        payload: format!("p{number} e{epoch} s{sequence}").into(),
    }
}

fn open(folder: &Path) -> (HistoryStore, Vec<StoreDamage>) {
    let opened = HistoryStore::open(folder, StoreOptions::default(), StoreDisk::default());
    opened.expect("store opens")
}

fn read(store: &HistoryStore, number: u64) -> Vec<StoredRecord> {
    let history = store
        .read_program(program(number))
        .expect("history is readable");
    history.records
}

/// Returns the records of a small log, each to be appended as its own batch.
fn sample_log() -> Vec<StoredRecord> {
    let order = [(1, 0), (2, 0), (1, 1), (1, 2), (2, 1), (1, 3)];
    order
        .map(|(number, sequence)| record(number, 3, sequence))
        .to_vec()
}

/// Writes the sample log; returns its bytes and its length before the first and
/// after each batch.
fn written_log() -> &'static (Vec<u8>, Vec<usize>) {
    static WRITTEN: OnceLock<(Vec<u8>, Vec<usize>)> = OnceLock::new();
    WRITTEN.get_or_init(|| {
        let folder = TempDir::new().expect("temporary folder");
        let (mut store, _) = open(folder.path());
        let path = folder.path().join(SEGMENT);
        let mut ends = vec![0];
        for record in sample_log() {
            assert_eq!(store.append(&[record]), [Stored]);
            let length = fs::metadata(&path).expect("segment exists").len();
            ends.push(usize::try_from(length).expect("length fits"));
        }
        (fs::read(&path).expect("segment exists"), ends)
    })
}

fn folder_with_segment(bytes: &[u8]) -> TempDir {
    let folder = TempDir::new().expect("temporary folder");
    fs::write(folder.path().join(SEGMENT), bytes).expect("file is writable");
    folder
}

#[test]
fn truncation_at_any_byte_keeps_complete_records_and_accepts_appends() {
    let (bytes, ends) = written_log();
    for length in 0..=bytes.len() {
        let folder = folder_with_segment(&bytes[..length]);
        let complete_batches = ends.iter().filter(|end| **end <= length).count() - 1;
        let (mut store, found_damage) = open(folder.path());
        let kinds: Vec<_> = found_damage.iter().map(|damage| damage.kind).collect();
        let is_incomplete = !ends.contains(&length);
        assert_eq!(
            kinds,
            vec![DamageKind::IncompleteFrame; usize::from(is_incomplete)]
        );
        for number in [1, 2] {
            let kept = sample_log().into_iter().take(complete_batches);
            let kept: Vec<_> = kept
                .filter(|record| record.program == program(number))
                .collect();
            assert_eq!(read(&store, number), kept, "cut at {length}");
            let next = record(number, 3, kept.len() as u64);
            assert_eq!(store.append(&[next]), [Stored]);
        }
        store.close();
        let (store, found_damage) = open(folder.path());
        assert_eq!(found_damage, []);
        assert!(
            store
                .read_program(program(1))
                .expect("history is readable")
                .is_complete
        );
    }
}

#[test]
fn a_flipped_bit_is_detected_and_no_damaged_record_is_returned() {
    let (bytes, _) = written_log();
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x40;
        let folder = folder_with_segment(&damaged);
        let (store, found_damage) = open(folder.path());
        assert!(!found_damage.is_empty(), "byte {at}");
        for number in [1, 2] {
            let history = store
                .read_program(program(number))
                .expect("history is readable");
            assert!(!history.is_complete, "byte {at}");
            for (sequence, found) in history.records.into_iter().enumerate() {
                assert_eq!(found, record(number, 3, sequence as u64), "byte {at}");
            }
        }
    }
}

#[test]
fn damage_in_the_middle_is_located_and_repaired_by_appending_again() {
    let (bytes, ends) = written_log();
    let mut damaged = bytes.clone();
    damaged[ends[3] - 1] ^= 1;
    let folder = folder_with_segment(&damaged);
    let (mut store, found_damage) = open(folder.path());
    let places: Vec<_> = found_damage
        .iter()
        .map(|found| (found.kind, found.offset))
        .collect();
    insta::assert_debug_snapshot!(places, @"
    [
        (
            BadChecksum,
            110,
        ),
        (
            MissingRecord,
            165,
        ),
    ]
    ");
    assert_eq!(store.append(&[record(1, 3, 2)]), [Gap]);
    let resent: Vec<_> = (1..4).map(|sequence| record(1, 3, sequence)).collect();
    assert_eq!(store.append(&resent), [Stored; 3]);
    assert_eq!(read(&store, 1).len(), 4);
}

#[test]
fn an_older_epoch_is_rejected_even_after_a_restart() {
    let folder = TempDir::new().expect("temporary folder");
    let (mut store, _) = open(folder.path());
    assert_eq!(store.append(&[record(1, 4, 0)]), [Stored]);
    assert!(store.seal(slot(), 6).expect("disk works").is_sealed);
    assert_eq!(
        store.append(&[record(1, 4, 1), record(2, 5, 0)]),
        [StaleEpoch; 2]
    );
    store.close();
    let (mut store, _) = open(folder.path());
    assert_eq!(store.append(&[record(1, 5, 1)]), [StaleEpoch]);
    let reply = store.seal(slot(), 5).expect("disk works");
    assert_eq!((reply.is_sealed, reply.epoch), (false, 6));
    assert_eq!(store.append(&[record(1, 6, 1)]), [Stored]);
}

#[test]
fn gaps_are_rejected_and_duplicate_appends_succeed() {
    let folder = TempDir::new().expect("temporary folder");
    let (mut store, _) = open(folder.path());
    let batch = [
        record(1, 1, 0),
        record(1, 1, 2),
        record(1, 1, 1),
        record(2, 1, 1),
    ];
    assert_eq!(store.append(&batch), [Stored, Gap, Stored, Gap]);
    let used = store.usage();
    assert_eq!(store.append(&batch[..1]), [Stored]);
    assert_eq!(store.usage(), used, "a duplicate append writes nothing");
    let other = StoredRecord {
        payload: "other".into(),
        ..record(1, 1, 0)
    };
    assert_eq!(
        store.append(&[other]),
        [StaleEpoch],
        "a record is never replaced within its epoch"
    );
}

#[test]
fn a_newer_epoch_replaces_records_of_the_previous_owner() {
    let folder = TempDir::new().expect("temporary folder");
    let (mut store, _) = open(folder.path());
    let old: Vec<_> = (0..4).map(|sequence| record(1, 1, sequence)).collect();
    assert_eq!(store.append(&old), [Stored; 4]);
    assert_eq!(store.append(&[record(1, 2, 2)]), [Stored]);
    let expected = [record(1, 1, 0), record(1, 1, 1), record(1, 2, 2)];
    assert_eq!(read(&store, 1), expected);
    assert_eq!(read(&open(folder.path()).0, 1), expected);
}

/// Returns a disk on which one operation fails while the switch is 1.
fn failing_disk(operation: DiskOperation, kind: io::ErrorKind) -> (StoreDisk, Arc<AtomicU8>) {
    let switch = Arc::new(AtomicU8::new(0));
    let hook_switch = Arc::clone(&switch);
    let fault = move |current: DiskOperation, _: &Path| {
        let is_on = hook_switch.load(Ordering::Relaxed) == 1;
        if is_on && current == operation {
            Err(kind.into())
        } else {
            Ok(())
        }
    };
    (StoreDisk::with_fault_hook(Arc::new(fault)), switch)
}

#[rstest]
#[case::full(DiskOperation::Write, io::ErrorKind::StorageFull, DiskFull, Stored)]
#[case::broken(DiskOperation::Write, io::ErrorKind::Other, DiskError, Stored)]
#[case::unsynced(DiskOperation::Sync, io::ErrorKind::Other, DiskError, DiskError)]
fn records_of_a_failed_append_are_not_reported_as_stored(
    #[case] operation: DiskOperation,
    #[case] kind: io::ErrorKind,
    #[case] status_during_fault: AppendStatus,
    #[case] status_after_fault: AppendStatus,
) {
    let folder = TempDir::new().expect("temporary folder");
    let (disk, switch) = failing_disk(operation, kind);
    let opened = HistoryStore::open(folder.path(), StoreOptions::default(), disk);
    let (mut store, _) = opened.expect("store opens before the fault is enabled");
    assert_eq!(store.append(&[record(1, 1, 0)]), [Stored]);
    switch.store(1, Ordering::Relaxed);
    let batch = [record(1, 1, 1), record(1, 1, 3)];
    assert_eq!(store.append(&batch), [status_during_fault, Gap]);
    assert!(store.seal(slot(), 9).is_err());
    switch.store(0, Ordering::Relaxed);
    assert_eq!(store.append(&[record(1, 1, 1)]), [status_after_fault]);
    assert_eq!(read(&store, 1)[0], record(1, 1, 0));
}

#[test]
fn failure_to_create_the_folder_returns_a_disk_error() {
    let folder = TempDir::new().expect("temporary folder");
    let file: PathBuf = folder.path().join("file");
    fs::write(&file, "").expect("file is writable");
    let opened = HistoryStore::open(&file, StoreOptions::default(), StoreDisk::default());
    let error = opened.expect_err("the path is a file");
    assert!(matches!(
        error,
        StoreError::Disk {
            operation: DiskOperation::CreateFolder,
            ..
        }
    ));
}

#[rstest]
#[case::removed(0)]
#[case::failed_removal(1)]
fn compaction_reclaims_space_and_keeps_live_records(#[case] switch_value: u8) {
    let folder = TempDir::new().expect("temporary folder");
    let options = StoreOptions::default().segment_bytes(400);
    let (disk, switch) = failing_disk(DiskOperation::Remove, io::ErrorKind::Other);
    let opened = HistoryStore::open(folder.path(), options, disk);
    let (mut store, _) = opened.expect("store opens before the fault is enabled");
    let other_slot = SlotId::new(6).expect("valid slot");
    assert!(store.seal(other_slot, 7).expect("disk works").is_sealed);
    for sequence in 0..10 {
        let batch: Vec<_> = (1..6).map(|number| record(number, 2, sequence)).collect();
        assert_eq!(store.append(&batch), [Stored; 5]);
    }
    assert!(store.seal(slot(), 3).expect("disk works").is_sealed);
    assert!(
        !store.compact().expect("compaction succeeds"),
        "no history is dropped yet"
    );
    store
        .drop_programs(&[1, 2, 4].map(program))
        .expect("disk works");
    let before = store.usage().total_bytes;
    switch.store(switch_value, Ordering::Relaxed);
    while store.compact().is_ok_and(|is_removed| is_removed) {}
    let usage = store.usage();
    store.close();
    let (store, found_damage) = open(folder.path());
    assert_eq!(found_damage, []);
    assert_eq!((store.epoch(slot()), store.epoch(other_slot)), (3, 7));
    for number in [3, 5] {
        let all: Vec<_> = (0..10)
            .map(|sequence| record(number, 2, sequence))
            .collect();
        assert_eq!(read(&store, number), all);
    }
    assert_eq!(store.usage().programs, 2);
    if switch_value == 0 {
        assert!(usage.total_bytes < before, "{usage:?} of {before}");
        assert!(usage.live_bytes * 2 >= usage.total_bytes);
    }
}
