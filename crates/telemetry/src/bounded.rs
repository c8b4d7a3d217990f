//! A log buffer that never blocks its writers.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes that may wait for the output.
const WAITING_MAX_BYTES: usize = 256 * 1_024;

#[derive(Debug, Default)]
struct BufferState {
    waiting: Vec<u8>,
    dropped: u64,
}

/// Holds log lines until its owner writes them out; clones share the buffer.
///
/// A line that does not fit is dropped and counted.
#[derive(Clone, Debug, Default)]
pub struct BoundedLog {
    state: Arc<Mutex<BufferState>>,
}

impl BoundedLog {
    /// Writes out what `output` takes without blocking.
    ///
    /// `output` is expected to be non-blocking; what it does not take stays.
    ///
    /// # Errors
    ///
    /// Fails when the output is broken.
    pub fn flush_to(&self, output: &mut impl Write) -> io::Result<()> {
        let mut state = self.lock();
        while !state.waiting.is_empty() {
            match output.write(&state.waiting) {
                Ok(0) => return Ok(()),
                Ok(size) => {
                    state.waiting.drain(..size);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Returns the number of lines dropped since the last call.
    #[must_use]
    pub fn take_dropped(&self) -> u64 {
        std::mem::take(&mut self.lock().dropped)
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for BoundedLog {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        let mut state = self.lock();
        if state.waiting.len() + data.len() <= WAITING_MAX_BYTES {
            state.waiting.extend_from_slice(data);
        } else if data.ends_with(b"\n") {
            state.dropped += 1;
        }
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
