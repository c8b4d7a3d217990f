//! What was sent, answered and run.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A request that a replica began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    /// Milliseconds since the start of the case.
    pub at: u64,
    pub attempt: String,
    pub program: String,
    pub tenant: String,
    pub replica: String,
    pub service: String,
    pub last_event: Option<u64>,
}

/// A client attempt.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Milliseconds since the start of the case.
    pub at: u64,
    pub attempt: String,
    /// What it is a part of, as the case names it.
    pub part: String,
    pub machine: String,
    pub status: u16,
    /// Events or bytes that came, as the case counts them.
    pub got: u64,
    pub is_whole: bool,
    pub took_ms: u64,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    sent: Vec<Sent>,
    notes: Vec<(u64, String)>,
}

/// Observations of a case; clones share them.
#[derive(Clone)]
pub struct Recorder {
    state: Arc<Mutex<State>>,
    began: Instant,
}

impl Recorder {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            began: Instant::now(),
        }
    }

    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn add_run(&self, run: Run) {
        self.lock().runs.push(run);
    }

    pub fn add_sent(&self, sent: Sent) {
        self.lock().sent.push(sent);
    }

    /// Records what the case does, or what it found, and prints it.
    pub fn note(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:>8.3} s  {text}", self.now() as f64 / 1_000.0);
        self.lock().notes.push((self.now(), text));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.lock().sent.clone()
    }

    /// Writes all observations in the order of time.
    pub fn write(&self, path: &Path) {
        let state = self.lock();
        let mut lines: Vec<(u64, String)> = Vec::new();
        lines.extend(
            state
                .notes
                .iter()
                .map(|(at, text)| (*at, format!("note  {text}"))),
        );
        lines.extend(state.runs.iter().map(|run| {
            let after = run
                .last_event
                .map_or(String::new(), |last| format!(" after event {last}"));
            (
                run.at,
                format!(
                    "run   attempt {} of program '{}' of tenant '{}' at replica {} of {}{after}",
                    run.attempt, run.program, run.tenant, run.replica, run.service
                ),
            )
        }));
        lines.extend(state.sent.iter().map(|sent| {
            (
                sent.at,
                format!(
                    "sent  attempt {} ({}) to {}: status {}, {} got, whole {}, {} ms",
                    sent.attempt,
                    sent.part,
                    sent.machine,
                    sent.status,
                    sent.got,
                    sent.is_whole,
                    sent.took_ms
                ),
            )
        }));
        lines.sort();
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:>9.3} {line}\n", *at as f64 / 1_000.0))
            .collect();
        if let Err(error) = fs::write(path, text) {
            eprintln!("cannot write {}: {error}", path.display());
        }
    }
}
