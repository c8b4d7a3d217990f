//! Open connections of a listener, of which a limited number may be open.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_lite::FutureExt;
use slotmap::SecondaryMap;
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};

use crate::account::ClientAccount;
use crate::table::{ConnectionKey, ConnectionTable};
use crate::watched::WatchedStream;

#[derive(Debug)]
struct LimiterState {
    table: ConnectionTable,
    closers: SecondaryMap<ConnectionKey, ConnectionCloser>,
    /// Connections that were closed while idle, and new ones, since they were last taken.
    closed: (u64, u64),
}

/// Time for which a connection whose request was refused may still be open while there is no room
/// for another one.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Closes a connection from outside of its task.
#[derive(Clone, Debug)]
pub struct ConnectionCloser {
    switch: Sender<()>,
    is_refused: Arc<AtomicBool>,
    is_retiring: Arc<AtomicBool>,
}

impl ConnectionCloser {
    fn new(switch: Sender<()>) -> Self {
        Self {
            switch,
            is_refused: Arc::default(),
            is_retiring: Arc::default(),
        }
    }

    /// Wakes the task of the connection, which drops it.
    pub fn close(&self) {
        self.switch.close();
    }

    /// Records that the request on the connection is refused, so that it ends soon unless its
    /// client does not read.
    pub(crate) fn mark_refused(&self) {
        self.is_refused.store(true, Ordering::Relaxed);
    }

    fn is_refused(&self) -> bool {
        self.is_refused.load(Ordering::Relaxed)
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

    /// Admits a new connection, for which an idle one is closed, or one whose client does not read or
    /// whose transfer is stalled; `None` if all others are in use, of which one then ends after its
    /// response.
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
            if let Some(key) = state.table.retire() {
                state.retire(key);
            }
            return None;
        };
        if let Some(closed_key) = closed_key {
            state.closed.0 += 1;
            state.close(closed_key);
        }
        let (switch, receiver) = bounded(1);
        let closer = ConnectionCloser::new(switch);
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
            let is_released = async {
                // The sender lives as long as this.
                let _ = self.released.recv().await;
                true
            };
            let timed_out = async {
                Timer::after(REFUSAL_TIME).await;
                false
            };
            if !is_released.or(timed_out).await {
                self.lock().close_refused();
            }
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().table.count()
    }

    /// Returns the number of connections whose responses have not been sent to their end.
    #[must_use]
    pub fn unsent_count(&self) -> usize {
        self.lock().table.unsent_count()
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

    fn retire(&self, key: ConnectionKey) {
        if let Some(closer) = self.closers.get(key) {
            closer.is_retiring.store(true, Ordering::Relaxed);
        }
    }

    /// Closes the connections whose clients do not take their refusals.
    fn close_refused(&mut self) {
        self.closers.retain(|_, closer| {
            if closer.is_refused() {
                closer.close();
            }
            !closer.is_refused()
        });
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

    /// Returns whether the connection is to end after the response in progress.
    #[must_use]
    pub fn is_retiring(&self) -> bool {
        self.closer.is_retiring.load(Ordering::Relaxed)
    }

    /// Waits until the connection is to be closed for another one.
    pub async fn wait_for_close(&self) {
        // Returns when the channel is closed.
        let _ = self.closed.recv().await;
    }

    /// Wraps the stream of the connection, so that it may be closed for another one while its client
    /// does not read.
    #[must_use]
    pub fn watch<S>(&self, stream: S) -> WatchedStream<S> {
        let watch = WriteWatch {
            limiter: self.limiter.clone(),
            key: self.key,
        };
        WatchedStream::new(stream, watch)
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

/// Tells the limit of a listener whether a connection can be written.
#[derive(Debug)]
pub(crate) struct WriteWatch {
    limiter: ConnectionLimiter,
    key: ConnectionKey,
}

impl WriteWatch {
    pub(crate) fn record(&self, is_blocked: bool) {
        let now_ms = self.limiter.account.now_ms();
        let blocked_ms = is_blocked.then_some(now_ms);
        self.limiter.lock().table.set_blocked(self.key, blocked_ms);
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
