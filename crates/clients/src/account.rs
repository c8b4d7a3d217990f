//! The account of a process and the buffers that it owns, which any thread may use.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use ibisdale_telemetry::record_event;
use slotmap::SecondaryMap;
use smol::channel::Sender;

use crate::body::{BodyRefusal, HeldBody};
use crate::limiter::ConnectionCloser;
use crate::memory::{ClientMemory, ClientMemoryUse, MemoryShortage};
use crate::yielding::{BodyKey, ResponseKey, TransferKey};

/// Buffer of an unfinished body; the reader's channel is closed when it is dropped.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    /// Parts of the body. They don't grow, since buffers that do leave gaps in the heap.
    segments: Vec<Vec<u8>>,
    /// Closes the connection if the refusal can't be sent, where the body has one of its own.
    closer: Option<ConnectionCloser>,
    _reader: Sender<()>,
}

impl BodyBuffer {
    pub(crate) fn new(reader: Sender<()>, closer: Option<ConnectionCloser>) -> Self {
        Self {
            segments: Vec::new(),
            closer,
            _reader: reader,
        }
    }

    fn length(&self) -> usize {
        self.segments.iter().map(Vec::len).sum()
    }

    fn capacity(&self) -> usize {
        self.segments.iter().map(Vec::capacity).sum()
    }

    /// Appends data, for which the capacity suffices; only the last two segments have room.
    fn append(&mut self, mut data: &[u8]) {
        let first = self.segments.len().saturating_sub(2);
        for segment in &mut self.segments[first..] {
            let size = data.len().min(segment.capacity() - segment.len());
            segment.extend_from_slice(&data[..size]);
            data = &data[size..];
        }
    }

    /// Joins the segments into a buffer of the exact size.
    fn join(mut self) -> Vec<u8> {
        if self.segments.len() > 1 {
            return self.segments.concat();
        }
        let mut bytes = self.segments.pop().unwrap_or_default();
        bytes.shrink_to_fit();
        bytes
    }
}

/// A response on its way to its client, and what waits of it.
#[derive(Debug)]
struct ResponseBuffer {
    bytes: Bytes,
    /// Size at first; the memory is free only when all of it is taken.
    size: usize,
    closer: ConnectionCloser,
}

#[derive(Debug)]
struct AccountState {
    memory: ClientMemory,
    /// Buffers of unfinished bodies. They are owned here, not by the tasks that read them, so
    /// that an eviction frees them before the memory is granted to another transfer.
    bodies: SecondaryMap<BodyKey, BodyBuffer>,
    responses: SecondaryMap<ResponseKey, ResponseBuffer>,
    evicted_responses: u64,
}

impl AccountState {
    /// Drops the buffers of transfers that have lost their memory.
    fn drop_evicted(&mut self, evicted: &[TransferKey], size: usize) {
        if evicted.is_empty() {
            return;
        }
        let mut bodies = 0;
        let mut responses = 0;
        for key in evicted {
            match key {
                TransferKey::Body(key) => {
                    let buffer = self.bodies.remove(*key);
                    if let Some(closer) = buffer.and_then(|buffer| buffer.closer) {
                        closer.mark_refused();
                    }
                    bodies += 1;
                }
                TransferKey::Response(key) => {
                    if let Some(buffer) = self.responses.remove(*key) {
                        buffer.closer.close();
                    }
                    responses += 1;
                }
            }
        }
        self.evicted_responses += responses;
        let usage = self.memory.usage();
        record_event!(
            TransfersEvicted,
            bodies = bodies,
            responses = responses,
            size = size,
            held = usage.unfinished + usage.complete + usage.responses,
            capacity = self.memory.capacity(),
        );
    }
}

/// Account of what clients make the process hold; clones share it.
#[derive(Clone, Debug)]
pub struct ClientAccount {
    state: Arc<Mutex<AccountState>>,
    started: Instant,
}

impl ClientAccount {
    /// Creates an account of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        let state = AccountState {
            memory: ClientMemory::new(capacity),
            bodies: SecondaryMap::new(),
            responses: SecondaryMap::new(),
            evicted_responses: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            started: Instant::now(),
        }
    }

    /// Returns the bytes held at the moment.
    #[must_use]
    pub fn usage(&self) -> ClientMemoryUse {
        self.lock().memory.usage()
    }

    /// Returns the number of responses that were cut off because memory or connections were short.
    #[must_use]
    pub fn evicted_responses(&self) -> u64 {
        self.lock().evicted_responses
    }

    /// Counts a complete body of `size` bytes, which the process builds itself, until the guard is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the memory does not suffice.
    pub fn hold_body(&self, size: usize) -> Result<HeldBody, BodyRefusal> {
        let held = HeldBody::begin(self, 0, size, None)?;
        held.count(size, size)?;
        held.finish(size);
        Ok(held)
    }

    /// Takes the memory of the stalled transfer that has been without data for longest, whose
    /// connection is then closed; returns whether there was one.
    #[must_use]
    pub fn evict_stalled(&self) -> bool {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let evicted = state.memory.evict_stalled(now_ms);
        state.drop_evicted(evicted.as_slice(), 0);
        evicted.is_some()
    }

    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn begin_body(&self, buffer: BodyBuffer) -> BodyKey {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let key = state.memory.begin_body(now_ms);
        state.bodies.insert(key, buffer);
        key
    }

    /// Returns the length and the capacity of a body's buffer; `None` if it was evicted.
    pub(crate) fn body_size(&self, key: BodyKey) -> Option<(usize, usize)> {
        let state = self.lock();
        let buffer = state.bodies.get(key)?;
        Some((buffer.length(), buffer.capacity()))
    }

    /// Sets the capacity of a body's buffer.
    pub(crate) fn grow_body(&self, key: BodyKey, size: usize) -> Result<(), MemoryShortage> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let evicted = state.memory.grow_body(key, size, now_ms)?;
        state.drop_evicted(&evicted, size);
        if let Some(buffer) = state.bodies.get_mut(key) {
            let additional = size.saturating_sub(buffer.capacity());
            buffer.segments.push(Vec::with_capacity(additional));
        }
        Ok(())
    }

    /// Lets a body hold `size` bytes outside of its buffer.
    pub(crate) fn count_body(&self, key: BodyKey, size: usize) -> Result<(), MemoryShortage> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let evicted = state.memory.grow_body(key, size, now_ms)?;
        state.drop_evicted(&evicted, size);
        Ok(())
    }

    pub(crate) fn record_data(&self, key: BodyKey, size: usize) {
        let now_ms = self.now_ms();
        self.lock().memory.record_data(key, size, now_ms);
    }

    pub(crate) fn append(&self, key: BodyKey, data: &[u8]) {
        if let Some(buffer) = self.lock().bodies.get_mut(key) {
            buffer.append(data);
        }
    }

    /// Takes a complete body, which stays counted until it is removed; `None` if it was evicted.
    ///
    /// # Errors
    ///
    /// Fails if the body has several parts and there is no memory to join them.
    pub(crate) fn complete_body(&self, key: BodyKey) -> Result<Option<Bytes>, MemoryShortage> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let Some(buffer) = state.bodies.get(key) else {
            return Ok(None);
        };
        if buffer.segments.len() > 1 {
            let size = buffer.capacity() + buffer.length();
            let evicted = state.memory.grow_body(key, size, now_ms)?;
            state.drop_evicted(&evicted, size);
        }
        let bytes = state.bodies.remove(key).map(BodyBuffer::join);
        Ok(bytes.map(|bytes| {
            state.memory.complete_body(key, bytes.capacity());
            Bytes::from(bytes)
        }))
    }

    /// Marks a body without a buffer of its own as complete.
    pub(crate) fn finish_body(&self, key: BodyKey, size: usize) {
        self.lock().memory.complete_body(key, size);
    }

    pub(crate) fn remove_body(&self, key: BodyKey) {
        let mut state = self.lock();
        state.memory.remove_body(key);
        state.bodies.remove(key);
    }

    pub(crate) fn begin_response(&self) -> ResponseKey {
        let now_ms = self.now_ms();
        self.lock().memory.begin_response(now_ms)
    }

    /// Adds a response that is ready for its client and holds nothing yet.
    pub(crate) fn begin_delivery(&self, closer: ConnectionCloser) -> ResponseKey {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let key = state.memory.begin_response(now_ms);
        state.memory.record_taken(key, 0, 0, true, now_ms);
        let buffer = ResponseBuffer {
            bytes: Bytes::new(),
            size: 0,
            closer,
        };
        state.responses.insert(key, buffer);
        key
    }

    /// Counts data that waits for the client of a response.
    pub(crate) fn deliver(&self, key: ResponseKey, bytes: Bytes) -> Result<(), MemoryShortage> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let evicted = state.memory.deliver_response(key, bytes.len(), now_ms)?;
        state.drop_evicted(&evicted, bytes.len());
        if let Some(buffer) = state.responses.get_mut(key) {
            buffer.size = bytes.len();
            buffer.bytes = bytes;
        }
        Ok(())
    }

    /// Takes the next piece of at most `size` bytes that waits for the client of a response; an
    /// empty one if none is left, `None` if it was evicted.
    pub(crate) fn take_piece(&self, key: ResponseKey, size: usize) -> Option<Bytes> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let buffer = state.responses.get_mut(key)?;
        let piece = buffer.bytes.split_to(size.min(buffer.bytes.len()));
        let left = if buffer.bytes.is_empty() {
            0
        } else {
            buffer.size
        };
        let taken = piece.len();
        let memory = &mut state.memory;
        memory.record_taken(key, taken, left, taken > 0, now_ms);
        Some(piece)
    }

    /// Records that `size` bytes of a response were handed to its connection, or that it waits
    /// for its upstream if there are none.
    pub(crate) fn record_handed(&self, key: ResponseKey, size: usize) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        state.memory.record_taken(key, size, 0, size > 0, now_ms);
    }

    pub(crate) fn remove_response(&self, key: ResponseKey) {
        let mut state = self.lock();
        state.memory.remove_response(key);
        state.responses.remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, AccountState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes of a response that arrives from an upstream; released when dropped.
#[derive(Debug)]
pub struct HeldBytes {
    account: ClientAccount,
    key: ResponseKey,
}

impl HeldBytes {
    /// Creates a response that holds nothing yet.
    #[must_use]
    pub fn new(account: &ClientAccount) -> Self {
        Self {
            account: account.clone(),
            key: account.begin_response(),
        }
    }

    /// Sets the number of bytes held; returns `false` and changes nothing if they are more than
    /// the account grants.
    #[must_use]
    pub fn resize(&mut self, size: usize) -> bool {
        let now_ms = self.account.now_ms();
        let mut state = self.account.lock();
        let Ok(evicted) = state.memory.grow_response(self.key, size, now_ms) else {
            return false;
        };
        state.drop_evicted(&evicted, size);
        true
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.account.remove_response(self.key);
    }
}
