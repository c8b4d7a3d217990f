//! Files of turns: restarts, power failures, damage and failures of the disk.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use ibisdale_segments::{DiskOperation, StoreDisk};
use ibisdale_turns::index::{ChainLink, TurnIndex};
use ibisdale_turns::turn_log::{LogRecovery, TurnLog};
use ibisdale_turns::{KeptTurn, TurnKey};
use proptest::prelude::*;
use tempfile::TempDir;

const SEGMENT_BYTES: u64 = 1_000;

fn key(number: usize) -> TurnKey {
    TurnKey::new(b"workspace", number.to_string().as_bytes())
}

/// Returns the turn with a number, which continues the one before.
fn turn(number: usize) -> KeptTurn {
    KeptTurn {
        key: key(number),
        previous: number.checked_sub(1).map(key),
        placement: 7,
        retain_ms: 1_000,
        input: Bytes::from(format!("input {number}")),
        output: Bytes::from(format!("output {number}\n")),
    }
}

fn open(folder: &Path) -> (TurnLog, Vec<KeptTurn>, LogRecovery) {
    open_with(folder, StoreDisk::default())
}

fn open_with(folder: &Path, disk: StoreDisk) -> (TurnLog, Vec<KeptTurn>, LogRecovery) {
    let mut turns = Vec::new();
    let opened = TurnLog::open(folder, SEGMENT_BYTES, disk, |turn, _| turns.push(turn));
    let (log, recovery) = opened.unwrap();
    (log, turns, recovery)
}

/// Writes a log of one segment and returns its path and the length after each turn.
fn write_segment(folder: &Path, count: usize) -> (std::path::PathBuf, Vec<u64>) {
    let (mut log, _, _) = open(folder);
    let lengths = (0..count).map(|number| {
        log.append(&[turn(number)]).unwrap();
        log.total_bytes()
    });
    let lengths = lengths.collect();
    log.close();
    let entry = fs::read_dir(folder).unwrap().next().unwrap();
    (entry.unwrap().path(), lengths)
}

#[test]
fn turns_are_there_after_restarts() {
    let folder = TempDir::new().unwrap();
    for round in 0..5 {
        let (mut log, turns, recovery) = open(folder.path());
        assert_eq!(turns.len(), round * 20);
        assert!(recovery.found_damage.is_empty());
        let numbers = round * 20..round * 20 + 20;
        let batch: Vec<_> = numbers.map(turn).collect();
        for pair in batch.chunks(2) {
            let locations = log.append(pair).unwrap();
            assert_eq!(log.read(locations[1]).unwrap(), pair[1]);
        }
        log.close();
    }
    let (_, turns, _) = open(folder.path());
    assert_eq!(turns, (0..100).map(turn).collect::<Vec<_>>());
}

#[test]
fn log_cut_at_any_byte_keeps_the_turns_before_and_takes_new_ones() {
    let folder = TempDir::new().unwrap();
    let (path, lengths) = write_segment(folder.path(), 4);
    let bytes = fs::read(&path).unwrap();
    for length in 0..bytes.len() {
        fs::write(&path, &bytes[..length]).unwrap();
        let whole = lengths.iter().filter(|end| **end <= length as u64).count();
        let (mut log, turns, recovery) = open(folder.path());
        assert_eq!(turns, (0..whole).map(turn).collect::<Vec<_>>());
        assert!(
            !recovery.is_incomplete,
            "a torn tail was never acknowledged"
        );
        log.append(&[turn(50)]).unwrap();
        log.close();
        let (log, turns, recovery) = open(folder.path());
        assert_eq!(turns.last(), Some(&turn(50)), "cut at {length}");
        assert!(recovery.found_damage.is_empty());
        let numbers: Vec<u64> = log.closed_segments().collect();
        drop(log);
        for entry in fs::read_dir(folder.path()).unwrap() {
            fs::remove_file(entry.unwrap().path()).unwrap();
        }
        assert!(!numbers.is_empty());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    /// No flipped byte yields a turn that was not written, or loses one before it.
    #[test]
    fn flipped_bytes_never_alter_a_turn(position in 0_usize..480, flip in 1_u8..=255) {
        let folder = TempDir::new().unwrap();
        let (path, lengths) = write_segment(folder.path(), 4);
        let mut bytes = fs::read(&path).unwrap();
        let position = position % bytes.len();
        bytes[position] ^= flip;
        fs::write(&path, &bytes).unwrap();
        let (_, turns, recovery) = open(folder.path());
        prop_assert!(!recovery.found_damage.is_empty());
        let intact = lengths.iter().filter(|end| **end <= position as u64).count();
        prop_assert_eq!(&turns[..intact], &(0..intact).map(turn).collect::<Vec<_>>()[..]);
        for found in &turns {
            prop_assert!((0..4).any(|number| *found == turn(number)));
        }
    }
}

#[test]
fn damage_before_the_last_segment_tells_that_turns_may_be_missing() {
    let folder = TempDir::new().unwrap();
    let (mut log, _, _) = open(folder.path());
    for number in 0..30 {
        log.append(&[turn(number)]).unwrap();
    }
    log.close();
    let mut paths: Vec<_> = fs::read_dir(folder.path())
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    assert!(paths.len() > 2);
    let mut bytes = fs::read(&paths[0]).unwrap();
    bytes[60] ^= 1;
    fs::write(&paths[0], bytes).unwrap();
    let (_, turns, recovery) = open(folder.path());
    assert!(recovery.is_incomplete);
    assert!(turns.len() < 30);
}

#[test]
fn failed_sync_acknowledges_nothing_and_the_next_turn_is_stored_in_a_new_segment() {
    let folder = TempDir::new().unwrap();
    let is_failing = Arc::new(AtomicBool::new(false));
    let failing = Arc::clone(&is_failing);
    let disk = StoreDisk::with_fault_hook(Arc::new(move |operation, _| {
        if operation == DiskOperation::Sync && failing.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }));
    let (mut log, _, _) = open_with(folder.path(), disk);
    log.append(&[turn(0)]).unwrap();
    is_failing.store(true, Ordering::Relaxed);
    assert!(log.append(&[turn(1)]).unwrap_err().is_disk_full());
    is_failing.store(false, Ordering::Relaxed);
    let location = log.append(&[turn(2)]).unwrap()[0];
    assert_eq!(location.segment, 1);
    assert_eq!(log.read(location).unwrap(), turn(2));
    log.close();
    let (_, turns, _) = open(folder.path());
    assert!(turns.contains(&turn(0)) && turns.contains(&turn(2)));
}

/// Stores turns in a log and in an index, at the given time.
fn store(log: &mut TurnLog, index: &mut TurnIndex, numbers: std::ops::Range<usize>, now_ms: u64) {
    for number in numbers {
        let location = log.append(&[turn(number)]).unwrap()[0];
        index.insert(turn(number), location, now_ms);
    }
}

fn remove_dead_segments(log: &mut TurnLog, index: &TurnIndex) {
    let closed: Vec<_> = log.closed_segments().collect();
    for number in closed {
        if !index.is_segment_live(number) {
            log.remove_segment(number).unwrap();
        }
    }
}

#[test]
fn chain_is_kept_as_long_as_its_newest_turn_and_then_frees_the_disk() {
    let folder = TempDir::new().unwrap();
    let (mut log, _, _) = open(folder.path());
    let mut index = TurnIndex::new(500);
    store(&mut log, &mut index, 0..20, 0);
    store(&mut log, &mut index, 20..21, 30_000);
    // Past the retention and the margin of the first turns.
    index.expire(40_000);
    remove_dead_segments(&mut log, &index);
    let chain = index.chain(key(20), 40_000);
    assert_eq!(chain.len(), 21);
    let on_disk = |link: &ChainLink| matches!(link, ChainLink::OnDisk(_));
    assert!(chain.iter().any(on_disk), "the memory bound is observed");
    let turns: Vec<_> = chain
        .into_iter()
        .map(|link| match link {
            ChainLink::InMemory(turn) => turn,
            ChainLink::OnDisk(location) => log.read(location).unwrap(),
        })
        .collect();
    assert_eq!(turns, (0..21).rev().map(turn).collect::<Vec<_>>());
    index.expire(72_000);
    assert!(index.is_empty());
    remove_dead_segments(&mut log, &index);
    assert_eq!(log.closed_segments().count(), 0);
    assert_eq!(index.memory_bytes(), 0);
}

#[test]
fn chain_with_a_cycle_or_a_missing_turn_ends() {
    let mut index = TurnIndex::new(1_000_000);
    let location = ibisdale_segments::FrameLocation {
        segment: 0,
        offset: 0,
        length: 1,
    };
    let mut looped = turn(1);
    looped.previous = Some(key(1));
    index.insert(looped, location, 0);
    assert!(!index.chain(key(1), 0).is_empty());
    index.insert(turn(9), location, 0);
    assert_eq!(index.chain(key(9), 0).len(), 1);
    assert!(index.chain(key(5), 0).is_empty());
}
