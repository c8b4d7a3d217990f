//! Memory for responses that are held until they, or one of their events, are complete.

use std::cell::Cell;

use super::state::Gateway;

/// Memory for the responses of all requests together, in bytes.
const RESPONSE_MEMORY_BYTES: usize = 32 * 1_024 * 1_024;

/// Bytes of responses that are held at the moment.
#[derive(Debug, Default)]
pub(crate) struct ResponseMemory {
    held: Cell<usize>,
}

/// Bytes that one response holds; released when dropped.
pub(crate) struct HeldBytes {
    gateway: Gateway,
    size: usize,
}

impl HeldBytes {
    pub(crate) fn new(gateway: &Gateway) -> Self {
        Self {
            gateway: gateway.clone(),
            size: 0,
        }
    }

    /// Sets the number of bytes held; returns `false` and changes nothing if they are more
    /// than what all others leave free.
    ///
    /// A response may hold half of the memory, the next one half of the rest, and so on, so
    /// that endless responses leave room for small ones.
    pub(crate) fn resize(&mut self, size: usize) -> bool {
        let held = &self.gateway.state.response_memory.held;
        let others = held.get() - self.size;
        if size > self.size && others + 2 * size > RESPONSE_MEMORY_BYTES {
            return false;
        }
        held.set(others + size);
        self.size = size;
        true
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.resize(0);
    }
}
