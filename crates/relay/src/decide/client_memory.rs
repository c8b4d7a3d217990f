//! Account of the memory that clients make a process hold.
//!
//! Entry VMs have 88 MB and more, and up to a few hundred requests at a time, whose bodies are
//! mostly below 64 KiB and at most 4 MiB. Clients outside the operators' control leave bodies
//! unfinished. A decision looks at all bodies only when memory is short.

use std::cmp::Reverse;

use slotmap::{SlotMap, new_key_type};

/// Largest body that may use the reserved part of the capacity, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1_024;
/// The capacity divided by this is reserved for small bodies, and as much again for responses.
const RESERVE_DIVISOR: usize = 8;
/// Time without data by whose multiples bodies are compared, in milliseconds; longer than the
/// pauses between the packets of a client that is sending.
const STALL_STEP_MS: u64 = 500;
/// Age from which the rate of a body is known, in milliseconds.
const RATE_KNOWN_MS: u64 = 500;
/// Rate that is assumed for a younger body, in bytes per second; bodies that have arrived more
/// slowly make room for it.
const ASSUMED_BYTES_PER_S: u64 = 64 * 1_024;

/// Time without data from which a body may lose its place to a new connection, in milliseconds.
const STALLED_MS: u64 = 1_000;

new_key_type! {
    /// Key of a body in the account.
    pub struct BodyKey;
}

/// Memory that can't be granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShortage;

/// Bytes held at the moment, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientMemoryUse {
    /// Bodies of requests that are still arriving.
    pub unfinished: usize,
    /// Complete bodies of requests that are in progress.
    pub complete: usize,
    /// Responses that are held until they, or one of their events, are complete.
    pub responses: usize,
}

#[derive(Clone, Copy, Debug)]
struct BodyEntry {
    held: usize,
    received: u64,
    began_ms: u64,
    last_data_ms: u64,
    is_complete: bool,
}

impl BodyEntry {
    /// Returns the time without data and the bytes per second; the least is the body with the
    /// least progress.
    fn progress(&self, now_ms: u64) -> (Reverse<u64>, u64) {
        let stalled_ms = now_ms.saturating_sub(self.last_data_ms);
        let age_ms = now_ms.saturating_sub(self.began_ms);
        let rate = self.received.saturating_mul(1_000) / age_ms.max(RATE_KNOWN_MS);
        let rate = if age_ms < RATE_KNOWN_MS {
            rate.max(ASSUMED_BYTES_PER_S)
        } else {
            rate
        };
        (Reverse(stalled_ms / STALL_STEP_MS), rate)
    }

    fn is_small(&self) -> bool {
        self.held <= SMALL_BODY_BYTES
    }
}

/// Account of the bodies of requests and of the responses that a process holds.
#[derive(Debug)]
pub struct ClientMemory {
    capacity: usize,
    bodies: SlotMap<BodyKey, BodyEntry>,
    body_bytes: usize,
    response_bytes: usize,
}

impl ClientMemory {
    /// Creates an account of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            bodies: SlotMap::with_key(),
            body_bytes: 0,
            response_bytes: 0,
        }
    }

    /// Adds a body that holds nothing yet.
    pub fn begin_body(&mut self, now_ms: u64) -> BodyKey {
        self.bodies.insert(BodyEntry {
            held: 0,
            received: 0,
            began_ms: now_ms,
            last_data_ms: now_ms,
            is_complete: false,
        })
    }

    /// Records that data of an unfinished body has arrived.
    pub fn record_data(&mut self, key: BodyKey, size: usize, now_ms: u64) {
        if let Some(entry) = self.bodies.get_mut(key) {
            entry.received += size as u64;
            entry.last_data_ms = now_ms;
        }
    }

    /// Lets an unfinished body hold `size` bytes; returns the bodies that lose their memory and
    /// are no longer part of the account.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if the body is no longer part of the account, or if the
    /// memory does not suffice even without the bodies that have made less progress.
    pub fn grow_body(
        &mut self,
        key: BodyKey,
        size: usize,
        now_ms: u64,
    ) -> Result<Vec<BodyKey>, MemoryShortage> {
        let entry = *self.bodies.get(key).ok_or(MemoryShortage)?;
        let is_small = size <= SMALL_BODY_BYTES;
        let limit = if is_small {
            self.capacity
        } else {
            self.capacity - self.reserve()
        };
        let others = self.body_bytes - entry.held;
        let responses = self.response_bytes.saturating_sub(self.reserve());
        let excess = (others + responses + size).saturating_sub(limit);
        let evicted = self.find_evictable(key, excess, is_small, now_ms)?;
        for key in &evicted {
            self.remove_body(*key);
        }
        self.set_held(key, size);
        Ok(evicted)
    }

    /// Removes the unfinished body that has been without data for longest if it is stalled;
    /// returns its key.
    pub fn evict_stalled(&mut self, now_ms: u64) -> Option<BodyKey> {
        let entries = self.bodies.iter();
        let stalled = entries.filter(|(_, entry)| {
            !entry.is_complete && now_ms.saturating_sub(entry.last_data_ms) >= STALLED_MS
        });
        let (key, _) = stalled.min_by_key(|(_, entry)| entry.last_data_ms)?;
        self.remove_body(key);
        Some(key)
    }

    /// Marks a body as complete, with `size` bytes; it then keeps its memory until it is removed.
    pub fn complete_body(&mut self, key: BodyKey, size: usize) {
        self.set_held(key, size);
        if let Some(entry) = self.bodies.get_mut(key) {
            entry.is_complete = true;
        }
    }

    /// Removes a body and releases its memory.
    pub fn remove_body(&mut self, key: BodyKey) {
        if let Some(entry) = self.bodies.remove(key) {
            self.body_bytes -= entry.held;
        }
    }

    /// Changes the bytes that a response holds; returns `false` and changes nothing if they are
    /// more than bodies and other responses leave free.
    ///
    /// A response may hold half of the memory, the next one half of the rest, and so on, so
    /// that endless responses leave room for small ones.
    pub fn resize_response(&mut self, before: usize, size: usize, response_max: usize) -> bool {
        let others = self.response_bytes - before;
        let free = self.capacity.saturating_sub(self.body_bytes);
        let limit = free.max(self.reserve()).min(response_max);
        if size > before && others + 2 * size > limit {
            return false;
        }
        self.response_bytes = others + size;
        true
    }

    /// Returns the bytes held at the moment.
    #[must_use]
    pub fn usage(&self) -> ClientMemoryUse {
        let entries = self.bodies.values().filter(|entry| entry.is_complete);
        let complete = entries.map(|entry| entry.held).sum();
        ClientMemoryUse {
            unfinished: self.body_bytes - complete,
            complete,
            responses: self.response_bytes,
        }
    }

    /// Returns the number of bytes that may be held.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    fn reserve(&self) -> usize {
        self.capacity / RESERVE_DIVISOR
    }

    fn set_held(&mut self, key: BodyKey, size: usize) {
        if let Some(entry) = self.bodies.get_mut(key) {
            self.body_bytes = self.body_bytes - entry.held + size;
            entry.held = size;
        }
    }

    /// Returns unfinished bodies with less progress than a body that hold `excess` bytes, those
    /// with the least first; small ones only for a small one.
    fn find_evictable(
        &self,
        key: BodyKey,
        mut excess: usize,
        is_small: bool,
        now_ms: u64,
    ) -> Result<Vec<BodyKey>, MemoryShortage> {
        let mut evicted = Vec::new();
        if excess == 0 {
            return Ok(evicted);
        }
        let own = self.bodies[key].progress(now_ms);
        let candidates = self.bodies.iter().filter(|(_, entry)| {
            let is_evictable = !entry.is_complete && entry.held > 0;
            is_evictable && (is_small || !entry.is_small()) && entry.progress(now_ms) < own
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by_key(|(_, entry)| entry.progress(now_ms));
        for (key, entry) in candidates {
            evicted.push(key);
            excess = excess.saturating_sub(entry.held);
            if excess == 0 {
                return Ok(evicted);
            }
        }
        Err(MemoryShortage)
    }
}
