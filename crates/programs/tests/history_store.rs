//! The holder's store: crashes, epochs, gaps, damage, full disks, compaction.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, OnceLock};

use ibisdale_core::{ProgramId, SlotId};
use ibisdale_programs::{
    AppendStatus, DiskOperation, FindingKind, HistoryStore, StoreDisk, StoreError, StoreFinding,
    StoreOptions, StoredRecord,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use tempfile::TempDir;

use AppendStatus::{DiskError, DiskFull, Gap, StaleEpoch, Stored};

const SEGMENT: &str = "0000000000000000.segment";

fn slot() -> SlotId {
    SlotId::new(5).expect("a slot")
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

fn open(folder: &Path) -> (HistoryStore, Vec<StoreFinding>) {
    let opened = HistoryStore::open(folder, StoreOptions::default(), StoreDisk::default());
    opened.expect("the folder is fine")
}

fn read(store: &HistoryStore, number: u64) -> Vec<StoredRecord> {
    let history = store.read_program(program(number)).expect("readable");
    history.records
}

/// Records of a small log, one batch each.
fn log() -> Vec<StoredRecord> {
    let order = [(1, 0), (2, 0), (1, 1), (1, 2), (2, 1), (1, 3)];
    order
        .map(|(number, sequence)| record(number, 3, sequence))
        .to_vec()
}

/// Writes the small log and returns its bytes and the length after each batch.
fn written() -> &'static (Vec<u8>, Vec<usize>) {
    static LOG: OnceLock<(Vec<u8>, Vec<usize>)> = OnceLock::new();
    LOG.get_or_init(|| {
        let folder = TempDir::new().expect("a folder");
        let (mut store, _) = open(folder.path());
        let path = folder.path().join(SEGMENT);
        let mut ends = vec![0];
        for record in log() {
            assert_eq!(store.append(&[record]), [Stored]);
            let length = fs::metadata(&path).expect("a segment").len();
            ends.push(usize::try_from(length).expect("small"));
        }
        (fs::read(&path).expect("a segment"), ends)
    })
}

fn folder_with(bytes: &[u8]) -> TempDir {
    let folder = TempDir::new().expect("a folder");
    fs::write(folder.path().join(SEGMENT), bytes).expect("writable");
    folder
}

#[test]
fn a_crash_at_any_byte_keeps_every_whole_record_and_takes_the_next() {
    let (bytes, ends) = written();
    for length in 0..=bytes.len() {
        let folder = folder_with(&bytes[..length]);
        let whole = ends.iter().filter(|end| **end <= length).count() - 1;
        let (mut store, findings) = open(folder.path());
        let kinds: Vec<_> = findings.iter().map(|finding| finding.kind).collect();
        let is_cut = !ends.contains(&length);
        assert_eq!(kinds, vec![FindingKind::TruncatedTail; usize::from(is_cut)]);
        for number in [1, 2] {
            let kept = log().into_iter().take(whole);
            let kept: Vec<_> = kept
                .filter(|record| record.program == program(number))
                .collect();
            assert_eq!(read(&store, number), kept, "cut at {length}");
            let next = record(number, 3, kept.len() as u64);
            assert_eq!(store.append(&[next]), [Stored]);
        }
        store.close();
        let (store, findings) = open(folder.path());
        assert_eq!(findings, []);
        assert!(store.read_program(program(1)).expect("readable").is_whole);
    }
}

#[test]
fn a_changed_byte_is_found_and_its_record_refused() {
    let (bytes, _) = written();
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x40;
        let folder = folder_with(&damaged);
        let (store, findings) = open(folder.path());
        assert!(!findings.is_empty(), "byte {at}");
        for number in [1, 2] {
            let history = store.read_program(program(number)).expect("readable");
            assert!(!history.is_whole, "byte {at}");
            for (sequence, found) in history.records.into_iter().enumerate() {
                assert_eq!(found, record(number, 3, sequence as u64), "byte {at}");
            }
        }
    }
}

#[test]
fn damage_in_the_middle_is_told_with_its_place_and_mended_by_appending_again() {
    let (bytes, ends) = written();
    let mut damaged = bytes.clone();
    damaged[ends[3] - 1] ^= 1;
    let folder = folder_with(&damaged);
    let (mut store, findings) = open(folder.path());
    let places: Vec<_> = findings
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
    let again: Vec<_> = (1..4).map(|sequence| record(1, 3, sequence)).collect();
    assert_eq!(store.append(&again), [Stored; 3]);
    assert_eq!(read(&store, 1).len(), 4);
}

#[test]
fn an_older_epoch_is_refused_also_after_a_restart() {
    let folder = TempDir::new().expect("a folder");
    let (mut store, _) = open(folder.path());
    assert_eq!(store.append(&[record(1, 4, 0)]), [Stored]);
    assert!(store.seal(slot(), 6).expect("stored").is_sealed);
    assert_eq!(
        store.append(&[record(1, 4, 1), record(2, 5, 0)]),
        [StaleEpoch; 2]
    );
    store.close();
    let (mut store, _) = open(folder.path());
    assert_eq!(store.append(&[record(1, 5, 1)]), [StaleEpoch]);
    let reply = store.seal(slot(), 5).expect("stored");
    assert_eq!((reply.is_sealed, reply.epoch), (false, 6));
    assert_eq!(store.append(&[record(1, 6, 1)]), [Stored]);
}

#[test]
fn gaps_are_refused_and_repeats_confirmed() {
    let folder = TempDir::new().expect("a folder");
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
    assert_eq!(store.usage(), used, "a repeat is not written again");
    let other = StoredRecord {
        payload: "other".into(),
        ..record(1, 1, 0)
    };
    assert_eq!(
        store.append(&[other]),
        [StaleEpoch],
        "a record is never rewritten"
    );
}

#[test]
fn a_newer_owner_replaces_what_its_predecessor_left_unconfirmed() {
    let folder = TempDir::new().expect("a folder");
    let (mut store, _) = open(folder.path());
    let old: Vec<_> = (0..4).map(|sequence| record(1, 1, sequence)).collect();
    assert_eq!(store.append(&old), [Stored; 4]);
    assert_eq!(store.append(&[record(1, 2, 2)]), [Stored]);
    let expected = [record(1, 1, 0), record(1, 1, 1), record(1, 2, 2)];
    assert_eq!(read(&store, 1), expected);
    assert_eq!(read(&open(folder.path()).0, 1), expected);
}

/// Makes one operation fail while the switch is on.
fn failing(operation: DiskOperation, kind: io::ErrorKind) -> (StoreDisk, Arc<AtomicU8>) {
    let switch = Arc::new(AtomicU8::new(0));
    let seen = Arc::clone(&switch);
    let fault = move |found: DiskOperation, _: &Path| {
        let is_on = seen.load(Ordering::Relaxed) == 1;
        if is_on && found == operation {
            Err(kind.into())
        } else {
            Ok(())
        }
    };
    (StoreDisk::with_fault(Arc::new(fault)), switch)
}

#[rstest]
#[case::full(DiskOperation::Write, io::ErrorKind::StorageFull, DiskFull, Stored)]
#[case::broken(DiskOperation::Write, io::ErrorKind::Other, DiskError, Stored)]
#[case::unsynced(DiskOperation::Sync, io::ErrorKind::Other, DiskError, DiskError)]
fn a_failing_disk_is_said_and_nothing_counts_as_stored(
    #[case] operation: DiskOperation,
    #[case] kind: io::ErrorKind,
    #[case] during: AppendStatus,
    #[case] after: AppendStatus,
) {
    let folder = TempDir::new().expect("a folder");
    let (disk, switch) = failing(operation, kind);
    let opened = HistoryStore::open(folder.path(), StoreOptions::default(), disk);
    let (mut store, _) = opened.expect("the disk works yet");
    assert_eq!(store.append(&[record(1, 1, 0)]), [Stored]);
    switch.store(1, Ordering::Relaxed);
    let batch = [record(1, 1, 1), record(1, 1, 3)];
    assert_eq!(store.append(&batch), [during, Gap]);
    assert!(store.seal(slot(), 9).is_err());
    switch.store(0, Ordering::Relaxed);
    assert_eq!(store.append(&[record(1, 1, 1)]), [after]);
    assert_eq!(read(&store, 1)[0], record(1, 1, 0));
}

#[test]
fn a_folder_that_cant_be_made_is_a_typed_error() {
    let folder = TempDir::new().expect("a folder");
    let file: PathBuf = folder.path().join("file");
    fs::write(&file, "").expect("writable");
    let opened = HistoryStore::open(&file, StoreOptions::default(), StoreDisk::default());
    let error = opened.expect_err("it is a file");
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
#[case::crash_before_removal(1)]
fn compaction_gives_space_back_and_keeps_all_else(#[case] crash: u8) {
    let folder = TempDir::new().expect("a folder");
    let options = StoreOptions::default().segment_bytes(400);
    let (disk, switch) = failing(DiskOperation::Remove, io::ErrorKind::Other);
    let opened = HistoryStore::open(folder.path(), options, disk);
    let (mut store, _) = opened.expect("the disk works yet");
    let early = SlotId::new(6).expect("a slot");
    assert!(store.seal(early, 7).expect("stored").is_sealed);
    for sequence in 0..10 {
        let batch: Vec<_> = (1..6).map(|number| record(number, 2, sequence)).collect();
        assert_eq!(store.append(&batch), [Stored; 5]);
    }
    assert!(store.seal(slot(), 3).expect("stored").is_sealed);
    assert!(!store.compact().expect("works"), "nothing is dead");
    store
        .drop_programs(&[1, 2, 4].map(program))
        .expect("stored");
    let before = store.usage().total_bytes;
    switch.store(crash, Ordering::Relaxed);
    while store.compact().is_ok_and(|is_removed| is_removed) {}
    let usage = store.usage();
    store.close();
    let (store, findings) = open(folder.path());
    assert_eq!(findings, []);
    assert_eq!((store.epoch(slot()), store.epoch(early)), (3, 7));
    for number in [3, 5] {
        let all: Vec<_> = (0..10)
            .map(|sequence| record(number, 2, sequence))
            .collect();
        assert_eq!(read(&store, number), all);
    }
    assert_eq!(store.usage().programs, 2);
    if crash == 0 {
        assert!(usage.total_bytes < before, "{usage:?} of {before}");
        assert!(usage.live_bytes * 2 >= usage.total_bytes);
    }
}
