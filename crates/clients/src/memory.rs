//! Account of the memory that clients make a process hold.
//!
//! Entry VMs have 88 MB and more, and up to a few hundred requests at a time, whose bodies are
//! mostly below 64 KiB and at most 4 MiB. Clients outside the operators' control leave bodies
//! unfinished and responses unread. A decision looks at all transfers only when memory is short.

use slotmap::SlotMap;

use crate::progress::{ProgressRank, TransferProgress};
use crate::yielding::{
    BodyKey, ResponseKey, TransferKey, YieldCandidate, choose_stalled, choose_yielding,
};

/// Largest body that may use the reserved part of the capacity, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1_024;
/// The capacity divided by this is reserved for small bodies, and as much again for responses.
const RESERVE_DIVISOR: usize = 8;
/// Largest memory for all responses together, in bytes, where the bodies leave as much free.
const RESPONSES_MAX_BYTES: usize = 32 * 1_024 * 1_024;

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
    /// Responses that are held until they, or one of their events, are complete, and those that
    /// wait for their clients.
    pub responses: usize,
}

#[derive(Clone, Copy, Debug)]
struct BodyEntry {
    held: usize,
    progress: TransferProgress,
    is_complete: bool,
}

impl BodyEntry {
    fn is_small(&self) -> bool {
        self.held <= SMALL_BODY_BYTES
    }
}

#[derive(Clone, Copy, Debug)]
struct ResponseEntry {
    held: usize,
    progress: TransferProgress,
    /// Whether the response goes on only once its client has read more.
    awaits_client: bool,
}

/// Account of the bodies of requests and of the responses that a process holds.
#[derive(Debug)]
pub struct ClientMemory {
    capacity: usize,
    bodies: SlotMap<BodyKey, BodyEntry>,
    responses: SlotMap<ResponseKey, ResponseEntry>,
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
            responses: SlotMap::with_key(),
            body_bytes: 0,
            response_bytes: 0,
        }
    }

    /// Adds a body that holds nothing yet.
    pub fn begin_body(&mut self, now_ms: u64) -> BodyKey {
        self.bodies.insert(BodyEntry {
            held: 0,
            progress: TransferProgress::begin(now_ms),
            is_complete: false,
        })
    }

    /// Records that data of an unfinished body has arrived.
    pub fn record_data(&mut self, key: BodyKey, size: usize, now_ms: u64) {
        if let Some(entry) = self.bodies.get_mut(key) {
            entry.progress.record(size, now_ms);
        }
    }

    /// Lets an unfinished body hold `size` bytes; returns the transfers that lose their memory and
    /// are no longer part of the account.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if the body is no longer part of the account, or if the
    /// memory does not suffice even without the transfers that have made less progress.
    pub fn grow_body(
        &mut self,
        key: BodyKey,
        size: usize,
        now_ms: u64,
    ) -> Result<Vec<TransferKey>, MemoryShortage> {
        let entry = *self.bodies.get(key).ok_or(MemoryShortage)?;
        let is_small = size <= SMALL_BODY_BYTES;
        let reserve = self.reserve();
        let limit = if is_small {
            self.capacity
        } else {
            self.capacity - reserve
        };
        let mut bodies = self.body_bytes - entry.held + size;
        let mut responses = self.response_bytes;
        let fits = |bodies: usize, responses: usize| {
            bodies.saturating_add(responses.saturating_sub(reserve)) <= limit
        };
        let evicted = if fits(bodies, responses) {
            Vec::new()
        } else {
            let own = entry.progress.rank(now_ms);
            let candidates = self.candidates(now_ms, is_small);
            let bodies_only = std::cell::Cell::new(responses <= reserve);
            let chosen = choose_yielding(
                candidates,
                own,
                |candidate| match candidate.key {
                    TransferKey::Body(other) => other != key,
                    TransferKey::Response(_) => !bodies_only.get(),
                },
                |candidate| {
                    match candidate.key {
                        TransferKey::Body(_) => bodies -= candidate.held,
                        TransferKey::Response(_) => responses -= candidate.held,
                    }
                    bodies_only.set(responses <= reserve);
                    fits(bodies, responses)
                },
            );
            chosen.ok_or(MemoryShortage)?
        };
        self.remove_all(&evicted);
        self.set_body_size(key, size);
        Ok(evicted)
    }

    /// Removes the transfer that has been without data for longest if it is stalled; returns its
    /// key.
    pub fn evict_stalled(&mut self, now_ms: u64) -> Option<TransferKey> {
        let key = choose_stalled(self.all_candidates(now_ms))?;
        self.remove_all(&[key]);
        Some(key)
    }

    /// Marks a body as complete, with `size` bytes; it then keeps its memory until it is removed.
    pub fn complete_body(&mut self, key: BodyKey, size: usize) {
        self.set_body_size(key, size);
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

    /// Adds a response that holds nothing yet.
    pub fn begin_response(&mut self, now_ms: u64) -> ResponseKey {
        self.responses.insert(ResponseEntry {
            held: 0,
            progress: TransferProgress::begin(now_ms),
            awaits_client: false,
        })
    }

    /// Lets a response that arrives from a replica hold `size` bytes; returns the transfers that
    /// lose their memory and are no longer part of the account.
    ///
    /// A response may hold half of the memory, the next one half of the rest, and so on, so
    /// that endless responses leave room for small ones.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if the bodies, the other responses and those that have made
    /// less progress leave less free.
    pub fn grow_response(
        &mut self,
        key: ResponseKey,
        size: usize,
        now_ms: u64,
    ) -> Result<Vec<TransferKey>, MemoryShortage> {
        self.hold(key, size, size.saturating_mul(2), now_ms)
    }

    /// Lets a response that is ready for its client hold `size` bytes, which exist already; returns
    /// the transfers that lose their memory and are no longer part of the account.
    ///
    /// # Errors
    ///
    /// Fails under the same conditions as [`ClientMemory::grow_response`], but may use all memory
    /// that is free.
    pub fn deliver_response(
        &mut self,
        key: ResponseKey,
        size: usize,
        now_ms: u64,
    ) -> Result<Vec<TransferKey>, MemoryShortage> {
        let evicted = self.hold(key, size, size, now_ms)?;
        if let Some(entry) = self.responses.get_mut(key) {
            entry.awaits_client = true;
        }
        Ok(evicted)
    }

    /// Records that a client has taken `size` bytes of a response, which then holds `left` bytes,
    /// and whether the response goes on only once the client has read more.
    pub fn record_taken(
        &mut self,
        key: ResponseKey,
        size: usize,
        left: usize,
        awaits_client: bool,
        now_ms: u64,
    ) {
        if let Some(entry) = self.responses.get_mut(key) {
            self.response_bytes = self.response_bytes - entry.held + left;
            entry.held = left;
            entry.awaits_client = awaits_client;
            entry.progress.record(size, now_ms);
        }
    }

    /// Removes a response and releases its memory.
    pub fn remove_response(&mut self, key: ResponseKey) {
        if let Some(entry) = self.responses.remove(key) {
            self.response_bytes -= entry.held;
        }
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

    /// Lets a response hold `size` bytes if there is room for `needed`.
    fn hold(
        &mut self,
        key: ResponseKey,
        size: usize,
        needed: usize,
        now_ms: u64,
    ) -> Result<Vec<TransferKey>, MemoryShortage> {
        let entry = *self.responses.get(key).ok_or(MemoryShortage)?;
        let (capacity, reserve) = (self.capacity, self.reserve());
        let mut bodies = self.body_bytes;
        let mut others = self.response_bytes - entry.held;
        let fits = |bodies: usize, others: usize| {
            let free = capacity.saturating_sub(bodies).max(reserve);
            others.saturating_add(needed) <= free.min(RESPONSES_MAX_BYTES)
        };
        let evicted = if size <= entry.held || fits(bodies, others) {
            Vec::new()
        } else {
            let chosen = choose_yielding(
                self.candidates(now_ms, false),
                ProgressRank::FRESH,
                |candidate| candidate.key != TransferKey::Response(key),
                |candidate| {
                    match candidate.key {
                        TransferKey::Body(_) => bodies -= candidate.held,
                        TransferKey::Response(_) => others -= candidate.held,
                    }
                    fits(bodies, others)
                },
            );
            chosen.ok_or(MemoryShortage)?
        };
        self.remove_all(&evicted);
        self.response_bytes = self.response_bytes - entry.held + size;
        if let Some(entry) = self.responses.get_mut(key) {
            entry.held = size;
        }
        Ok(evicted)
    }

    fn set_body_size(&mut self, key: BodyKey, size: usize) {
        if let Some(entry) = self.bodies.get_mut(key) {
            self.body_bytes = self.body_bytes - entry.held + size;
            entry.held = size;
        }
    }

    fn remove_all(&mut self, keys: &[TransferKey]) {
        for key in keys {
            match key {
                TransferKey::Body(key) => self.remove_body(*key),
                TransferKey::Response(key) => self.remove_response(*key),
            }
        }
    }

    /// Returns the transfers that hold memory and may give way; small bodies only to a small one.
    fn candidates(&self, now_ms: u64, is_small: bool) -> Vec<YieldCandidate> {
        let candidates = self.all_candidates(now_ms).filter(|candidate| {
            let is_large = match candidate.key {
                TransferKey::Body(key) => !self.bodies[key].is_small(),
                TransferKey::Response(_) => true,
            };
            candidate.held > 0 && (is_small || is_large)
        });
        candidates.collect()
    }

    /// Returns all transfers that may give way: unfinished bodies and responses whose clients do
    /// not read.
    fn all_candidates(&self, now_ms: u64) -> impl Iterator<Item = YieldCandidate> + '_ {
        let candidate = move |key, held, progress: &TransferProgress| YieldCandidate {
            key,
            held,
            rank: progress.rank(now_ms),
            stalled_ms: progress.stalled_ms(now_ms),
        };
        let bodies = self.bodies.iter().filter(|(_, entry)| !entry.is_complete);
        let bodies = bodies.map(move |(key, entry)| {
            candidate(TransferKey::Body(key), entry.held, &entry.progress)
        });
        let responses = self.responses.iter();
        let responses = responses.filter(|(_, entry)| entry.awaits_client);
        let responses = responses.map(move |(key, entry)| {
            candidate(TransferKey::Response(key), entry.held, &entry.progress)
        });
        bodies.chain(responses)
    }
}
