//! Measures appends per second of the history store for several batch sizes.

use std::time::{Duration, Instant};

use bytes::Bytes;
use ibisdale_core::{ProgramId, SlotId};
use ibisdale_programs::{AppendStatus, HistoryStore, StoreDisk, StoreOptions, StoredRecord};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tempfile::TempDir;

const BATCH_SIZES: [usize; 3] = [1, 16, 256];
const PAYLOAD_BYTES: usize = 1_024;
const RUN_TIME: Duration = Duration::from_secs(2);

fn main() {
    for size in BATCH_SIZES {
        let (appends, seconds) = run(size);
        let rate = appends / seconds;
        let syncs = rate / f64::from(u32::try_from(size).expect("batch size fits u32"));
        println!(
            "batch {size:>3}: {rate:>9.0} appends/s, {syncs:>6.0} syncs/s, {PAYLOAD_BYTES} bytes each"
        );
    }
}

/// Appends one record to each of `size` programs per batch for [`RUN_TIME`];
/// returns the number of appends and the elapsed seconds.
fn run(size: usize) -> (f64, f64) {
    let folder = TempDir::new().expect("temporary folder");
    let opened = HistoryStore::open(folder.path(), StoreOptions::default(), StoreDisk::default());
    let (mut store, _) = opened.expect("store opens");
    let slot = SlotId::new(1).expect("valid slot");
    let mut random = SmallRng::seed_from_u64(1);
    let programs: Vec<_> = (0..size)
        .map(|_| ProgramId::generate(slot, &mut random))
        .collect();
    let payload = Bytes::from(vec![7; PAYLOAD_BYTES]);
    let start = Instant::now();
    let mut rounds = 0_u32;
    while start.elapsed() < RUN_TIME {
        let record = |program: &ProgramId| StoredRecord {
            program: *program,
            epoch: 1,
            sequence: u64::from(rounds),
            payload: payload.clone(),
        };
        let batch: Vec<_> = programs.iter().map(record).collect();
        let statuses = store.append(&batch);
        assert!(
            statuses
                .iter()
                .all(|status| *status == AppendStatus::Stored)
        );
        rounds += 1;
    }
    let seconds = start.elapsed().as_secs_f64();
    store.close();
    let size = u32::try_from(size).expect("batch size fits u32");
    (f64::from(rounds) * f64::from(size), seconds)
}
