//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Writes lines with the time since the start; clones share the file.
#[derive(Clone)]
pub struct CaseRecord {
    shared: Arc<(Mutex<File>, Instant)>,
}

impl CaseRecord {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self {
            shared: Arc::new((Mutex::new(file), Instant::now())),
        })
    }

    pub fn now_ms(&self) -> u128 {
        self.shared.1.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut file = self.shared.0.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that can't be written doesn't change the result.
        let _ = writeln!(file, "{now_ms:>7} ms  {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
