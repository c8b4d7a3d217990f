//! Limit of the connections of clients.
//!
//! A VM has from about a hundred to some thousand connections. Clients outside the operators'
//! control open them without sending requests, or keep them. A decision looks at all connections
//! only when there are as many as are allowed.

use slotmap::{SlotMap, new_key_type};

/// Time after a response for which its connection is not closed, in milliseconds; the last bytes
/// of the response may still be on their way.
const RESPONSE_TIME_MS: u64 = 1_000;

/// Time for which a connection can't be written, in milliseconds, from which its client counts as
/// not reading.
const UNREAD_TIME_MS: u64 = 1_000;

new_key_type! {
    /// Key of a client's connection.
    pub struct ConnectionKey;
}

/// All connections have requests in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionsBusy;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// No request has arrived since the connection was opened.
    New,
    /// This many requests are in progress.
    Busy(u32),
    /// The last response has been handed over.
    Idle,
    /// A refusal has been sent, and the rest of the request is read and discarded.
    Lingering,
    /// It is to be closed for another one, but still open.
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct ConnectionEntry {
    state: ConnectionState,
    since_ms: u64,
    opened_ms: u64,
    /// Whether it ends after the response in progress.
    is_retiring: bool,
    /// Since when the connection can't be written, if so.
    blocked_ms: Option<u64>,
}

impl ConnectionEntry {
    /// Returns the order in which the connection may be closed for another one, if it may: idle
    /// ones come first, then those that linger, whose clients may lose a refusal, then those whose
    /// clients do not read.
    fn close_order(&self, now_ms: u64) -> Option<(u8, u64)> {
        let idle_ms = now_ms.saturating_sub(self.since_ms);
        match self.state {
            ConnectionState::New => Some((0, self.since_ms)),
            ConnectionState::Idle if idle_ms >= RESPONSE_TIME_MS => Some((0, self.since_ms)),
            ConnectionState::Lingering => Some((1, self.since_ms)),
            ConnectionState::Closing => None,
            ConnectionState::Idle | ConnectionState::Busy(_) => {
                let blocked_ms = self.blocked_ms?;
                let is_unread = now_ms.saturating_sub(blocked_ms) >= UNREAD_TIME_MS;
                is_unread.then_some((2, blocked_ms))
            }
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

    /// Adds a connection; returns its key and that of the connection that is to be closed for it:
    /// the one that has been without a request for longest, or else the one that has lingered for
    /// longest, or else the one whose client has not read for longest. That one counts as open until it is removed.
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
            let closable = entries.filter_map(|(key, entry)| {
                let order = entry.close_order(now_ms)?;
                Some((order, key))
            });
            let first = closable.min_by_key(|(order, _)| *order);
            let (_, key) = first.ok_or(ConnectionsBusy)?;
            self.entries[key].state = ConnectionState::Closing;
            closed = Some(key);
        }
        Ok((self.insert(now_ms), closed))
    }

    /// Adds a connection in place of one that is about to be closed.
    pub fn insert(&mut self, now_ms: u64) -> ConnectionKey {
        self.entries.insert(ConnectionEntry {
            state: ConnectionState::New,
            since_ms: now_ms,
            opened_ms: now_ms,
            is_retiring: false,
            blocked_ms: None,
        })
    }

    /// Selects the connection that ends after its response, since all are in use: the one that has
    /// been open for longest; returns its key, if there is one that does not end already.
    pub fn retire(&mut self) -> Option<ConnectionKey> {
        let entries = self.entries.iter_mut();
        let staying = entries.filter(|(_, entry)| {
            !entry.is_retiring && matches!(entry.state, ConnectionState::Busy(_))
        });
        let (key, entry) = staying.min_by_key(|(_, entry)| entry.opened_ms)?;
        entry.is_retiring = true;
        Some(key)
    }

    /// Records since when a connection can't be written, or that it can be again.
    pub fn set_blocked(&mut self, key: ConnectionKey, blocked_ms: Option<u64>) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.blocked_ms = blocked_ms;
        }
    }

    /// Returns whether no more connections are open than are allowed.
    #[must_use]
    pub fn is_within_limit(&self) -> bool {
        self.entries.len() <= self.max
    }

    /// Marks the connections that linger as closing, if more are open than are allowed; returns
    /// their keys.
    pub fn close_lingering(&mut self) -> Vec<ConnectionKey> {
        let mut closed = Vec::new();
        if self.is_within_limit() {
            return closed;
        }
        for (key, entry) in &mut self.entries {
            if entry.state == ConnectionState::Lingering {
                entry.state = ConnectionState::Closing;
                closed.push(key);
            }
        }
        closed
    }

    /// Records that a refusal has been sent on a connection whose request is not read to its end.
    pub fn linger(&mut self, key: ConnectionKey, now_ms: u64) {
        if let Some(entry) = self.entries.get_mut(key)
            && entry.state != ConnectionState::Closing
        {
            entry.since_ms = now_ms;
            entry.state = ConnectionState::Lingering;
        }
    }

    /// Records that a request has arrived on a connection.
    pub fn begin_request(&mut self, key: ConnectionKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = match entry.state {
                ConnectionState::Busy(count) => ConnectionState::Busy(count + 1),
                ConnectionState::Closing => ConnectionState::Closing,
                ConnectionState::New | ConnectionState::Idle | ConnectionState::Lingering => {
                    ConnectionState::Busy(1)
                }
            };
        }
    }

    /// Records that the response to a request has been handed over.
    pub fn end_request(&mut self, key: ConnectionKey, now_ms: u64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = match entry.state {
                ConnectionState::Closing => return,
                ConnectionState::Busy(count) if count > 1 => ConnectionState::Busy(count - 1),
                _ => ConnectionState::Idle,
            };
            entry.since_ms = now_ms;
        }
    }

    /// Removes a connection.
    pub fn remove(&mut self, key: ConnectionKey) {
        self.entries.remove(key);
    }

    /// Returns the number of connections whose responses have not been sent to their end.
    #[must_use]
    pub fn unsent_count(&self) -> usize {
        let entries = self.entries.values();
        let unsent = entries.filter(|entry| {
            matches!(entry.state, ConnectionState::Busy(_)) || entry.blocked_ms.is_some()
        });
        unsent.count()
    }

    /// Returns the number of open connections, including those that are about to be closed.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }
}
