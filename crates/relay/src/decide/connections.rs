//! Limit of the connections of clients.
//!
//! A VM has from about a hundred to some thousand connections. Clients outside the operators'
//! control open them without sending requests, or keep them. A decision looks at all connections
//! only when there are as many as are allowed.

use slotmap::{SlotMap, new_key_type};

/// Time after a response for which its connection is not closed, in milliseconds; the last bytes
/// of the response may still be on their way.
const RESPONSE_TIME_MS: u64 = 1_000;

new_key_type! {
    /// Key of a client's connection.
    pub struct ConnectionKey;
}

/// All connections have requests in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionsBusy;

#[derive(Clone, Copy, Debug)]
enum ConnectionState {
    /// No request has arrived since the connection was opened.
    New,
    /// This many requests are in progress.
    Busy(u32),
    /// The last response has been handed over.
    Idle,
}

#[derive(Clone, Copy, Debug)]
struct ConnectionEntry {
    state: ConnectionState,
    since_ms: u64,
}

impl ConnectionEntry {
    fn is_closable(&self, now_ms: u64) -> bool {
        match self.state {
            ConnectionState::New => true,
            ConnectionState::Busy(_) => false,
            ConnectionState::Idle => now_ms.saturating_sub(self.since_ms) >= RESPONSE_TIME_MS,
        }
    }
}

/// Connections of clients, of which a limited number may be open.
#[derive(Debug)]
pub struct ConnectionTable {
    max: usize,
    entries: SlotMap<ConnectionKey, ConnectionEntry>,
}

impl ConnectionTable {
    /// Creates a table for at most `max` connections.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            max,
            entries: SlotMap::with_key(),
        }
    }

    /// Adds a connection; returns its key and that of the connection that is closed for it, which
    /// is no longer part of the table: the one that has been without a request for longest.
    ///
    /// # Errors
    ///
    /// Fails if as many connections as are allowed have requests in progress.
    pub fn open(
        &mut self,
        now_ms: u64,
    ) -> Result<(ConnectionKey, Option<ConnectionKey>), ConnectionsBusy> {
        let mut closed = None;
        if self.entries.len() >= self.max {
            let entries = self.entries.iter();
            let closable = entries.filter(|(_, entry)| entry.is_closable(now_ms));
            let oldest = closable.min_by_key(|(_, entry)| entry.since_ms);
            let (key, _) = oldest.ok_or(ConnectionsBusy)?;
            self.entries.remove(key);
            closed = Some(key);
        }
        Ok((self.insert(now_ms), closed))
    }

    /// Adds a connection in place of one that is about to be closed.
    pub fn insert(&mut self, now_ms: u64) -> ConnectionKey {
        self.entries.insert(ConnectionEntry {
            state: ConnectionState::New,
            since_ms: now_ms,
        })
    }

    /// Records that a request has arrived on a connection.
    pub fn begin_request(&mut self, key: ConnectionKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = match entry.state {
                ConnectionState::Busy(count) => ConnectionState::Busy(count + 1),
                ConnectionState::New | ConnectionState::Idle => ConnectionState::Busy(1),
            };
        }
    }

    /// Records that the response to a request has been handed over.
    pub fn end_request(&mut self, key: ConnectionKey, now_ms: u64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.since_ms = now_ms;
            entry.state = match entry.state {
                ConnectionState::Busy(count) if count > 1 => ConnectionState::Busy(count - 1),
                _ => ConnectionState::Idle,
            };
        }
    }

    /// Removes a connection.
    pub fn remove(&mut self, key: ConnectionKey) {
        self.entries.remove(key);
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }
}
