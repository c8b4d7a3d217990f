//! Open connections of a listener, of which a limited number may be open.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slotmap::SecondaryMap;
use smol::channel::{Receiver, Sender, bounded};

use crate::account::ClientAccount;
use crate::table::{ConnectionKey, ConnectionTable};

#[derive(Debug)]
struct LimiterState {
    table: ConnectionTable,
    closers: SecondaryMap<ConnectionKey, ConnectionCloser>,
    /// Connections that were closed while idle, and new ones, since they were last taken.
    closed: (u64, u64),
}

/// Closes a connection from outside of its task.
#[derive(Clone, Debug)]
pub struct ConnectionCloser(Sender<()>);

impl ConnectionCloser {
    /// Wakes the task of the connection, which drops it.
    pub fn close(&self) {
        self.0.close();
    }
}

/// Limit of the connections of one listener; clones share it.
#[derive(Clone, Debug)]
pub struct ConnectionLimiter {
    state: Arc<Mutex<LimiterState>>,
    account: ClientAccount,
    max: usize,
    evicts_transfers: bool,
    release: Sender<()>,
    released: Pin<Box<Receiver<()>>>,
}

impl ConnectionLimiter {
    /// Creates the limit of `max` connections, whose transfers `account` counts.
    #[must_use]
    pub fn new(max: usize, account: &ClientAccount) -> Self {
        let (release, released) = bounded(1);
        let state = LimiterState {
            table: ConnectionTable::new(max),
            closers: SecondaryMap::new(),
            closed: (0, 0),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            account: account.clone(),
            max,
            evicts_transfers: false,
            release,
            released: Box::pin(released),
        }
    }

    /// Lets new connections take the place of stalled transfers; for the listener on which clients
    /// send requests, whose transfers the account counts.
    #[must_use]
    pub fn evicting_transfers(mut self) -> Self {
        self.evicts_transfers = true;
        self
    }

    /// Admits a new connection, for which an idle one is closed, or one whose transfer is stalled;
    /// `None` if all others are in use.
    #[must_use]
    pub fn admit(&self) -> Option<OpenConnection> {
        let now_ms = self.account.now_ms();
        let mut opened = self.lock().table.open(now_ms);
        if opened.is_err() && self.evicts_transfers && self.account.evict_stalled() {
            // The connection of the evicted transfer ends soon.
            opened = Ok((self.lock().table.insert(now_ms), None));
        }
        let mut state = self.lock();
        let Ok((key, closed_key)) = opened else {
            state.closed.1 += 1;
            return None;
        };
        if let Some(closed_key) = closed_key {
            state.closed.0 += 1;
            state.close(closed_key);
        }
        let (switch, receiver) = bounded(1);
        let closer = ConnectionCloser(switch);
        state.closers.insert(key, closer.clone());
        Some(OpenConnection {
            limiter: self.clone(),
            key,
            closer,
            closed: receiver,
        })
    }

    /// Admits a new connection once it is allowed, instead of closing it if all others are in use.
    pub async fn admit_when_free(&self) -> OpenConnection {
        loop {
            if let Some(open) = self.admit() {
                return open;
            }
            // The sender lives as long as this.
            let _ = self.released.recv().await;
        }
    }

    /// Waits until no more connections are open than are allowed, so that those that were closed
    /// for others do not add up.
    pub async fn wait_for_room(&self) {
        loop {
            let is_within_limit = {
                let mut state = self.lock();
                for key in state.table.close_lingering() {
                    state.close(key);
                }
                state.table.is_within_limit()
            };
            if is_within_limit {
                return;
            }
            // The sender lives as long as this.
            let _ = self.released.recv().await;
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().table.count()
    }

    /// Returns the number of connections that may be open.
    #[must_use]
    pub fn max(&self) -> usize {
        self.max
    }

    /// Returns how many idle and how many new connections were closed since the last call.
    #[must_use]
    pub fn take_closed(&self) -> (u64, u64) {
        std::mem::take(&mut self.lock().closed)
    }

    fn lock(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LimiterState {
    fn close(&mut self, key: ConnectionKey) {
        if let Some(closer) = self.closers.remove(key) {
            closer.close();
        }
    }
}

/// A connection that counts as open until this guard is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    limiter: ConnectionLimiter,
    key: ConnectionKey,
    closer: ConnectionCloser,
    closed: Receiver<()>,
}

impl OpenConnection {
    /// Returns the account of the transfers of the connection.
    #[must_use]
    pub fn account(&self) -> &ClientAccount {
        &self.limiter.account
    }

    /// Returns what closes the connection.
    #[must_use]
    pub fn closer(&self) -> ConnectionCloser {
        self.closer.clone()
    }

    /// Waits until the connection is to be closed for another one.
    pub async fn wait_for_close(&self) {
        // Returns when the channel is closed.
        let _ = self.closed.recv().await;
    }

    /// Marks the connection as busy until the guard is dropped.
    #[must_use]
    pub fn begin_request(&self) -> RequestProgress {
        self.limiter.lock().table.begin_request(self.key);
        RequestProgress {
            limiter: self.limiter.clone(),
            key: self.key,
        }
    }

    /// Records that a refusal has been sent and that the rest of the request is discarded; returns
    /// whether there is room to do so.
    #[must_use]
    pub fn begin_linger(&self) -> bool {
        let now_ms = self.limiter.account.now_ms();
        let mut state = self.limiter.lock();
        state.table.linger(self.key, now_ms);
        state.table.is_within_limit()
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.table.remove(self.key);
        state.closers.remove(self.key);
        // Fails if the listener has not taken the last notice yet.
        let _ = self.limiter.release.try_send(());
    }
}

/// Marks a connection as busy from the head of a request to the end of its response.
#[derive(Debug)]
pub struct RequestProgress {
    limiter: ConnectionLimiter,
    key: ConnectionKey,
}

impl Drop for RequestProgress {
    fn drop(&mut self) {
        let now_ms = self.limiter.account.now_ms();
        self.limiter.lock().table.end_request(self.key, now_ms);
    }
}
