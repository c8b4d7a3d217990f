//! Buffers of the bodies of requests, whose sum the account of [`ClientMemory`] bounds.

use std::cell::RefCell;

use bytes::Bytes;
use ibisdale_telemetry::record_event;
use slotmap::SecondaryMap;
use smol::channel::{Receiver, Sender, bounded};

use super::admit::GatewayError;
use super::state::Gateway;
use crate::decide::{BodyKey, ClientMemory};

/// First capacity of the buffer of a body without an announced length, in bytes; then it grows
/// by half its size.
const FIRST_BUFFER_BYTES: usize = 4 * 1_024;

/// Account of the memory for clients, and the buffers of unfinished bodies.
#[derive(Debug)]
pub(crate) struct RequestMemory {
    pub(crate) account: RefCell<ClientMemory>,
    buffers: RefCell<SecondaryMap<BodyKey, BodyBuffer>>,
}

/// Buffer of an unfinished body; the reader's channel is closed when it is dropped.
#[derive(Debug)]
struct BodyBuffer {
    bytes: Vec<u8>,
    _reader: Sender<()>,
}

impl RequestMemory {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            account: RefCell::new(ClientMemory::new(capacity)),
            buffers: RefCell::default(),
        }
    }

    /// Refuses the request whose body has been without data for longest, if there is one that is
    /// stalled, and so closes its connection; returns whether there was one.
    pub(crate) fn evict_stalled(&self, now_ms: u64) -> bool {
        let evicted = self.account.borrow_mut().evict_stalled(now_ms);
        evicted.is_some_and(|key| self.buffers.borrow_mut().remove(key).is_some())
    }
}

/// Memory that the body of a request holds; released when dropped.
pub(crate) struct HeldBody {
    gateway: Gateway,
    key: BodyKey,
    evicted: Receiver<()>,
    limit: usize,
}

impl std::fmt::Debug for HeldBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("HeldBody")
    }
}

impl HeldBody {
    /// Starts a body of at most `limit` bytes, of which `announced` are reserved at once.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the memory does not suffice.
    pub(crate) fn begin(
        gateway: &Gateway,
        announced: usize,
        limit: usize,
    ) -> Result<Self, GatewayError> {
        let memory = &gateway.state.request_memory;
        let key = memory.account.borrow_mut().begin_body(gateway.now_ms());
        let (sender, evicted) = bounded(1);
        let buffer = BodyBuffer {
            bytes: Vec::new(),
            _reader: sender,
        };
        memory.buffers.borrow_mut().insert(key, buffer);
        let held = Self {
            gateway: gateway.clone(),
            key,
            evicted,
            limit,
        };
        if announced > 0 {
            held.grow(announced)?;
        }
        Ok(held)
    }

    /// Waits until the body has lost its memory to another one.
    pub(crate) async fn wait_for_eviction(&self) -> GatewayError {
        // Returns when the buffer is dropped.
        let _ = self.evicted.recv().await;
        self.gateway.state.metrics.count_refused_body("evicted");
        GatewayError::unavailable("the body arrives too slowly while memory is short")
    }

    /// Appends data.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the body is too large or the memory does not suffice.
    pub(crate) fn append(&self, data: &[u8]) -> Result<(), GatewayError> {
        let memory = &self.gateway.state.request_memory;
        let (length, capacity) = self.buffer_size()?;
        if data.len() > self.limit - length {
            return Err(GatewayError::too_large());
        }
        let now_ms = self.gateway.now_ms();
        let mut account = memory.account.borrow_mut();
        account.record_data(self.key, data.len(), now_ms);
        drop(account);
        let needed = length + data.len();
        if needed > capacity {
            let grown = (capacity + capacity / 2).max(FIRST_BUFFER_BYTES);
            self.grow(grown.min(self.limit).max(needed))?;
        }
        let mut buffers = memory.buffers.borrow_mut();
        if let Some(buffer) = buffers.get_mut(self.key) {
            buffer.bytes.extend_from_slice(data);
        }
        Ok(())
    }

    /// Returns the complete body, whose memory stays held until this guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the body has lost its memory.
    pub(crate) fn complete(&self) -> Result<Bytes, GatewayError> {
        let memory = &self.gateway.state.request_memory;
        let buffer = memory.buffers.borrow_mut().remove(self.key);
        let mut bytes = buffer.ok_or_else(refuse_for_memory)?.bytes;
        bytes.shrink_to_fit();
        let mut account = memory.account.borrow_mut();
        account.complete_body(self.key, bytes.capacity());
        Ok(Bytes::from(bytes))
    }

    fn buffer_size(&self) -> Result<(usize, usize), GatewayError> {
        let buffers = self.gateway.state.request_memory.buffers.borrow();
        let buffer = buffers.get(self.key).ok_or_else(refuse_for_memory)?;
        Ok((buffer.bytes.len(), buffer.bytes.capacity()))
    }

    /// Sets the capacity of the buffer, and drops the buffers that make room for it.
    fn grow(&self, size: usize) -> Result<(), GatewayError> {
        let memory = &self.gateway.state.request_memory;
        let now_ms = self.gateway.now_ms();
        let mut account = memory.account.borrow_mut();
        let mut buffers = memory.buffers.borrow_mut();
        let Ok(evicted) = account.grow_body(self.key, size, now_ms) else {
            self.gateway.state.metrics.count_refused_body("full");
            return Err(refuse_for_memory());
        };
        for key in &evicted {
            buffers.remove(*key);
        }
        if !evicted.is_empty() {
            record_event!(
                BodiesEvicted,
                evicted = evicted.len(),
                size = size,
                held = account.usage().unfinished + account.usage().complete,
                capacity = account.capacity(),
            );
        }
        if let Some(buffer) = buffers.get_mut(self.key) {
            let additional = size - buffer.bytes.len();
            buffer.bytes.reserve_exact(additional);
        }
        Ok(())
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let memory = &self.gateway.state.request_memory;
        memory.buffers.borrow_mut().remove(self.key);
        memory.account.borrow_mut().remove_body(self.key);
    }
}

/// Memory is usually free again soon, or at another VM at once.
fn refuse_for_memory() -> GatewayError {
    GatewayError::unavailable("no memory for the body")
}
