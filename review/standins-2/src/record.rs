//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Writes lines with the time since the start of the case; clones share the file.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>6} ms  {text}\n", self.now_ms());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // The result is shown by the exit status, also if the disk is full.
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
