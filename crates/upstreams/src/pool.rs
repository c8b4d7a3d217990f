//! Connection pool of one replica.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ibisdale_net::{ClientConnection, ConnectOptions, NetError, TrafficExecutor};

/// Default time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Default maximum time to wait for data from the upstream.
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Default time without a response on a reused connection after which a request
/// that may run twice is sent again on a new one.
const RESEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Default time that an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time below which a connection is assumed to be still open, and is reused
/// for [`ConnectionReuse::Recent`].
const RECENT_IDLE_TIME_MAX: Duration = Duration::from_millis(500);
/// Default maximum number of idle connections.
const IDLE_MAX: usize = 16;
/// Default maximum size of a buffered response or a streamed event, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// Limits of a pool's connections and calls.
#[derive(Clone, Copy, Debug)]
pub struct PoolOptions {
    connect_timeout: Duration,
    read_timeout: Duration,
    resend_timeout: Duration,
    idle_timeout: Duration,
    idle_max: usize,
    response_max_bytes: usize,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl PoolOptions {
    /// Creates options with the default limits.
    #[must_use]
    pub fn new() -> Self {
        Self {
            connect_timeout: CONNECT_TIMEOUT,
            read_timeout: READ_TIMEOUT,
            resend_timeout: RESEND_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            idle_max: IDLE_MAX,
            response_max_bytes: RESPONSE_MAX_BYTES,
        }
    }

    /// Sets the time limit for opening a connection.
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the maximum time to wait for data from the upstream.
    #[must_use]
    pub fn read_timeout(mut self, timeout: Duration) -> Self {
        self.read_timeout = timeout;
        self
    }

    /// Sets the time without a response on a reused connection after which a
    /// request that may run twice is sent again on a new one.
    #[must_use]
    pub fn resend_timeout(mut self, timeout: Duration) -> Self {
        self.resend_timeout = timeout;
        self
    }

    /// Sets the time that an idle connection is kept.
    #[must_use]
    pub fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Sets the maximum number of idle connections.
    #[must_use]
    pub fn idle_max(mut self, connections: usize) -> Self {
        self.idle_max = connections;
        self
    }

    /// Sets the maximum size of a buffered response or a streamed event, in bytes.
    #[must_use]
    pub fn response_max_bytes(mut self, bytes: usize) -> Self {
        self.response_max_bytes = bytes;
        self
    }

    /// Returns the time limit for opening a connection.
    #[must_use]
    pub fn get_connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// Returns the maximum time to wait for data from the upstream.
    #[must_use]
    pub fn get_read_timeout(&self) -> Duration {
        self.read_timeout
    }

    /// Returns the time without a response on a reused connection after which a
    /// request that may run twice is sent again on a new one.
    #[must_use]
    pub fn get_resend_timeout(&self) -> Duration {
        self.resend_timeout
    }

    /// Returns the time that an idle connection is kept.
    #[must_use]
    pub fn get_idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns the maximum number of idle connections.
    #[must_use]
    pub fn get_idle_max(&self) -> usize {
        self.idle_max
    }

    /// Returns the maximum size of a buffered response or a streamed event, in bytes.
    #[must_use]
    pub fn get_response_max_bytes(&self) -> usize {
        self.response_max_bytes
    }
}

/// Connections that a request may be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// Only a new connection.
    New,
    /// A new connection, or one idle for less than `RECENT_IDLE_TIME_MAX`.
    Recent,
    /// A new connection, or any idle one that has not expired.
    Any,
}

/// A connection, and whether it carried an earlier request.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) connection: ClientConnection,
    pub(crate) is_reused: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: ClientConnection,
    since: Instant,
}

#[derive(Debug)]
struct PoolShared {
    address: SocketAddr,
    executor: TrafficExecutor,
    options: PoolOptions,
    idle: Mutex<Vec<IdleConnection>>,
}

/// Pool of connections to one replica; clones share it.
#[derive(Clone, Debug)]
pub struct UpstreamPool {
    shared: Arc<PoolShared>,
}

impl UpstreamPool {
    /// Creates an empty pool whose connections run on `executor`.
    #[must_use]
    pub fn new(address: SocketAddr, executor: TrafficExecutor, options: PoolOptions) -> Self {
        let shared = PoolShared {
            address,
            executor,
            options,
            idle: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the replica's address.
    #[must_use]
    pub fn get_address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the pool's limits.
    #[must_use]
    pub fn get_options(&self) -> PoolOptions {
        self.shared.options
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn get_idle_count(&self) -> usize {
        self.idle().len()
    }

    /// Closes the idle connections; calls in progress continue.
    pub fn close(self) {
        self.discard_idle();
    }

    /// Closes the idle connections; after one connection stalled, the others may be
    /// dead too.
    pub(crate) fn discard_idle(&self) {
        self.idle().clear();
    }

    pub(crate) fn get_executor(&self) -> &TrafficExecutor {
        &self.shared.executor
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a suitable idle connection or opens a new one.
    pub(crate) async fn take(&self, reuse: ConnectionReuse) -> Result<PooledConnection, NetError> {
        if let Some(connection) = self.take_idle(reuse) {
            return Ok(PooledConnection {
                connection,
                is_reused: true,
            });
        }
        let options = ConnectOptions::new().timeout(self.shared.options.connect_timeout);
        let executor = &self.shared.executor;
        let connection = ClientConnection::open(self.shared.address, executor, options).await?;
        Ok(PooledConnection {
            connection,
            is_reused: false,
        })
    }

    fn take_idle(&self, reuse: ConnectionReuse) -> Option<ClientConnection> {
        let idle_time_max = match reuse {
            ConnectionReuse::New => return None,
            ConnectionReuse::Recent => RECENT_IDLE_TIME_MAX,
            ConnectionReuse::Any => self.shared.options.idle_timeout,
        };
        let idle_timeout = self.shared.options.idle_timeout;
        let mut idle = self.idle();
        idle.retain(|entry| entry.since.elapsed() < idle_timeout && !entry.connection.is_closed());
        let is_usable = |entry: &IdleConnection| {
            entry.since.elapsed() < idle_time_max && entry.connection.is_ready()
        };
        let position = idle.iter().rposition(is_usable)?;
        Some(idle.remove(position).connection)
    }

    /// Returns a connection to the pool after the response on it was read completely.
    pub(crate) fn put_back(&self, connection: ClientConnection) {
        let mut idle = self.idle();
        if connection.is_closed() || self.shared.options.idle_max == 0 {
            return;
        }
        if idle.len() >= self.shared.options.idle_max {
            idle.remove(0);
        }
        idle.push(IdleConnection {
            connection,
            since: Instant::now(),
        });
    }
}
