//! A bounded buffer between the logger and its output.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of buffered bytes not yet written to the output.
const MAX_PENDING_BYTES: usize = 256 * 1_024;

#[derive(Debug, Default)]
struct BufferState {
    pending: Vec<u8>,
    dropped: u64,
}

/// Buffers log output until [`flush_to`](Self::flush_to) writes it. Clones
/// share the buffer.
///
/// A write that does not fit is dropped as a whole. It counts as a dropped line
/// if it ends with a line break.
#[derive(Clone, Debug, Default)]
pub struct BoundedLog {
    state: Arc<Mutex<BufferState>>,
}

impl BoundedLog {
    /// Writes buffered bytes to `output` until it would block.
    ///
    /// `output` should be non-blocking: the buffer is locked during the write,
    /// so logging waits while `output` blocks. Unwritten bytes stay in the
    /// buffer.
    ///
    /// # Errors
    ///
    /// Returns any I/O error other than `WouldBlock` and `Interrupted`.
    pub fn flush_to(&self, output: &mut impl Write) -> io::Result<()> {
        let mut state = self.lock();
        while !state.pending.is_empty() {
            match output.write(&state.pending) {
                Ok(0) => return Ok(()),
                Ok(size) => {
                    state.pending.drain(..size);
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
        if state.pending.len() + data.len() <= MAX_PENDING_BYTES {
            state.pending.extend_from_slice(data);
        } else if data.ends_with(b"\n") {
            state.dropped += 1;
        }
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
