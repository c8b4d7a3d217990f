//! What control costs a daemon and the platform in fleets of several sizes:
//! real daemons on loopback, without requests of callers.
//!
//! Prints a table with a row for each size, and the slope of each column per
//! added daemon by least squares.

#[allow(dead_code, reason = "each bench calls a part")]
#[path = "support/fleet.rs"]
mod fleet;
#[allow(dead_code, reason = "each bench calls a part")]
#[path = "support/process.rs"]
mod process;

use std::time::{Duration, Instant};

use fleet::TestFleet;
use ibisdale_platform::{KvCallCounts, KvCallKind};
use process::ProcessUse;

const SETTINGS: &str = "[/models/small]\nvm_group = engines\n\
     [/workspaces/kermesse]\nmodels = small\n\
     [/workspaces/kermesse/programs/planner]\n";
const FLEET_SIZES: [u16; 5] = [4, 8, 16, 32, 64];
/// Time over which the idle fleet is observed.
const OBSERVE_TIME: Duration = Duration::from_secs(20);
/// Time after the last slot has an owner and before the observation, in which
/// slots are levelled.
const SETTLE_TIME: Duration = Duration::from_secs(15);

const COLUMNS: [&str; 12] = [
    "CPU, % of a core",
    "resident, MB",
    "fleet bytes/s",
    "fleet messages/s",
    "KV lease renewals/s",
    "KV transactions/s",
    "KV reads/s",
    "KV watch starts/s",
    "VM list reads/s",
    "settings everywhere, s",
    "slots owned and members known, s",
    "KV calls until then",
];

/// The figures of one size, in the order of [`COLUMNS`].
type FleetRow = [f64; COLUMNS.len()];

fn main() {
    println!("| daemons | {} |", COLUMNS.join(" | "));
    println!("|{}", " ---: |".repeat(COLUMNS.len() + 1));
    let rows = FLEET_SIZES.map(|size| {
        let row = measure(size);
        print_row(&size.to_string(), &row);
        row
    });
    print_row("slope per daemon", &slopes(&rows));
}

fn print_row(name: &str, row: &FleetRow) {
    let cells: Vec<String> = row.iter().map(|cell| format!("{cell:.4}")).collect();
    println!("| {name} | {} |", cells.join(" | "));
}

fn measure(size: u16) -> FleetRow {
    let started = Instant::now();
    let fleet = TestFleet::start(size);
    fleet.wait_slots();
    let owned_after = started.elapsed().as_secs_f64();
    let calls_until_owned = difference(fleet.kv.get_counts().total(), 0);
    let spread_after = fleet.apply_settings(SETTINGS).as_secs_f64();
    std::thread::sleep(SETTLE_TIME);
    let row = observe(&fleet, [spread_after, owned_after, calls_until_owned]);
    fleet.close();
    row
}

fn observe(fleet: &TestFleet, start: [f64; 3]) -> FleetRow {
    let uses: Vec<ProcessUse> = fleet.read_uses();
    let sent = fleet.read_sent();
    let calls = fleet.kv.get_counts();
    let reads = fleet.vms.get_read_count();
    let started = Instant::now();
    std::thread::sleep(OBSERVE_TIME);
    let seconds = started.elapsed().as_secs_f64();
    let new_calls = fleet.kv.get_counts();
    let new_reads = fleet.vms.get_read_count();
    let new_uses = fleet.read_uses();
    let new_sent = fleet.read_sent();
    let daemons = f64::from(fleet.size());
    let cpu: f64 = new_uses
        .iter()
        .zip(&uses)
        .map(|(new, old)| new.cpu_seconds - old.cpu_seconds)
        .sum();
    let resident: f64 = new_uses.iter().map(|each| each.resident_bytes).sum();
    let rate = |kind: KvCallKind| per_second(&new_calls, &calls, kind, seconds);
    let [spread_after, owned_after, calls_until_owned] = start;
    [
        cpu / seconds / daemons * 100.0,
        resident / daemons / 1e6,
        (new_sent.bytes - sent.bytes) / seconds / daemons,
        (new_sent.messages - sent.messages) / seconds / daemons,
        rate(KvCallKind::LeaseKeepAlive),
        rate(KvCallKind::Txn),
        rate(KvCallKind::Range),
        rate(KvCallKind::Watch),
        difference(new_reads, reads) / seconds,
        spread_after,
        owned_after,
        calls_until_owned,
    ]
}

fn per_second(new: &KvCallCounts, old: &KvCallCounts, kind: KvCallKind, seconds: f64) -> f64 {
    difference(new.get(kind), old.get(kind)) / seconds
}

fn difference(new: u64, old: u64) -> f64 {
    let count = u32::try_from(new.saturating_sub(old)).unwrap_or(u32::MAX);
    f64::from(count)
}

/// Returns each column's slope over the sizes.
fn slopes(rows: &[FleetRow; FLEET_SIZES.len()]) -> FleetRow {
    let sizes = FLEET_SIZES.map(f64::from);
    std::array::from_fn(|column| {
        let cells: Vec<f64> = rows.iter().map(|row| row[column]).collect();
        slope(&sizes, &cells)
    })
}

fn slope(sizes: &[f64], cells: &[f64]) -> f64 {
    let count = f64::from(u32::try_from(sizes.len()).unwrap_or(u32::MAX));
    let mean_size = sizes.iter().sum::<f64>() / count;
    let mean_cell = cells.iter().sum::<f64>() / count;
    let pairs = sizes.iter().zip(cells);
    let shared: f64 = pairs
        .map(|(size, cell)| (size - mean_size) * (cell - mean_cell))
        .sum();
    let spread: f64 = sizes.iter().map(|size| (size - mean_size).powi(2)).sum();
    shared / spread
}
