//! Memory for responses that are held until they, or one of their events, are complete.

use super::state::Gateway;

/// Largest memory for the responses of all requests together, in bytes, where the account of
/// the process leaves as much free.
const RESPONSE_MEMORY_BYTES: usize = 32 * 1_024 * 1_024;

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
    /// than the account of the process grants.
    pub(crate) fn resize(&mut self, size: usize) -> bool {
        let mut account = self.gateway.state.request_memory.account.borrow_mut();
        let is_granted = account.resize_response(self.size, size, RESPONSE_MEMORY_BYTES);
        if is_granted {
            self.size = size;
        }
        is_granted
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.resize(0);
    }
}
