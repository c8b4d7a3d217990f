//! Measures the settings with increasing numbers of workspaces: size of the text,
//! time to check it and to build a snapshot, growth of resident memory, and time
//! to authenticate a key.

use std::fmt::Write;
use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use ibisdale_settings::{CheckedSettings, KeyMatch, SecretKey, SettingsSnapshot};
use rand::SeedableRng;
use rand_pcg::Pcg64;

const SEED: u64 = 1;
const WORKSPACE_COUNTS: [usize; 4] = [8, 1_000, 5_000, 15_000];
const AUTHENTICATIONS: usize = 200_000;
const KIB_PER_MIB: f64 = 1_024.0;

fn main() {
    println!(
        "| workspaces | text, KB | check, ms | snapshot, ms | resident memory, MiB | authenticate, ns |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for workspaces in WORKSPACE_COUNTS {
        print_row(workspaces);
    }
}

fn print_row(workspaces: usize) {
    let (text, keys) = render_settings(workspaces);
    let before = resident_kib();
    let (checked, check_time) = timed(|| {
        CheckedSettings::parse("settings.ini", &text)
            .expect("the generated settings should be valid")
    });
    let (snapshot, snapshot_time) = timed(|| checked.snapshot(1));
    drop(checked);
    let snapshot_kib = resident_kib() - before;
    let mean_time = mean_authentication_time(&snapshot, &keys);
    println!(
        "| {workspaces} | {} | {:.1} | {:.1} | {:.1} | {} |",
        text.len() / 1_000,
        check_time.as_secs_f64() * 1e3,
        snapshot_time.as_secs_f64() * 1e3,
        snapshot_kib / KIB_PER_MIB,
        mean_time.as_nanos(),
    );
}

fn timed<T>(operation: impl FnOnce() -> T) -> (T, Duration) {
    let started = Instant::now();
    let result = operation();
    (result, started.elapsed())
}

/// Renders settings with one key and two programs per workspace, and returns them
/// with the keys.
fn render_settings(workspaces: usize) -> (String, Vec<SecretKey>) {
    let mut random = Pcg64::seed_from_u64(SEED);
    let mut text =
        "[/models/small]\n[/services/orders]\n[/workspaces]\nmodels = small\n".to_owned();
    let mut keys = Vec::new();
    for number in 0..workspaces {
        let key = SecretKey::generate(&mut random);
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "[/workspaces/w{number}]\nrate = 12.5\nservices = orders\n\
             [/workspaces/w{number}/keys/app]\nhash = {}\n\
             [/workspaces/w{number}/programs/planner]\nsteps = 12\n\
             [/workspaces/w{number}/programs/guide]\ntokens = 5000\n",
            key.hash(),
        );
        keys.push(key);
    }
    (text, keys)
}

/// Returns the mean time to authenticate a key.
fn mean_authentication_time(snapshot: &SettingsSnapshot, keys: &[SecretKey]) -> Duration {
    let started = Instant::now();
    let mut granted = 0;
    for key in keys.iter().cycle().take(AUTHENTICATIONS) {
        let found = snapshot.authenticate(black_box(key.expose().as_bytes()));
        granted += usize::from(matches!(found, KeyMatch::Granted { .. }));
    }
    assert_eq!(granted, AUTHENTICATIONS);
    started.elapsed() / u32::try_from(AUTHENTICATIONS).unwrap_or(u32::MAX)
}

/// Returns the resident memory of the process, or 0 if `/proc` does not report it.
fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}
