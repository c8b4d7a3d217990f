//! Connections to one replica.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ibisdale_net::{ClientConnection, ConnectOptions, NetError, TrafficExecutor};

/// Time by default in which a connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time by default that an upstream may send nothing.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(15);
/// Time by default after which a request that may run twice is sent again on a
/// new connection, when a reused one stays silent.
const RESEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time by default that an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time since its last answer for which a connection counts as alive.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections kept by default.
const IDLE_MAX: usize = 16;
/// Largest answer by default, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// Limits of a pool's connections and calls.
#[derive(Clone, Copy, Debug)]
pub struct PoolOptions {
    connect_timeout: Duration,
    progress_timeout: Duration,
    resend_timeout: Duration,
    idle_timeout: Duration,
    idle_max: usize,
    answer_max_bytes: usize,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl PoolOptions {
    /// Creates the default limits.
    #[must_use]
    pub fn new() -> Self {
        Self {
            connect_timeout: CONNECT_TIMEOUT,
            progress_timeout: PROGRESS_TIMEOUT,
            resend_timeout: RESEND_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            idle_max: IDLE_MAX,
            answer_max_bytes: ANSWER_MAX_BYTES,
        }
    }

    /// Sets the time in which a connection must open.
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the time that an upstream may send nothing before the call fails.
    #[must_use]
    pub fn progress_timeout(mut self, timeout: Duration) -> Self {
        self.progress_timeout = timeout;
        self
    }

    /// Sets the time after which a request that may run twice is sent again on
    /// a new connection, when a reused one stays silent.
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

    /// Sets the number of idle connections kept.
    #[must_use]
    pub fn idle_max(mut self, connections: usize) -> Self {
        self.idle_max = connections;
        self
    }

    /// Sets the largest answer, in bytes.
    #[must_use]
    pub fn answer_max_bytes(mut self, bytes: usize) -> Self {
        self.answer_max_bytes = bytes;
        self
    }

    /// Returns the time in which a connection must open.
    #[must_use]
    pub fn get_connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// Returns the time that an upstream may send nothing.
    #[must_use]
    pub fn get_progress_timeout(&self) -> Duration {
        self.progress_timeout
    }

    /// Returns the time after which a request that may run twice is sent again
    /// on a new connection, when a reused one stays silent.
    #[must_use]
    pub fn get_resend_timeout(&self) -> Duration {
        self.resend_timeout
    }

    /// Returns the time that an idle connection is kept.
    #[must_use]
    pub fn get_idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns the number of idle connections kept.
    #[must_use]
    pub fn get_idle_max(&self) -> usize {
        self.idle_max
    }

    /// Returns the largest answer, in bytes.
    #[must_use]
    pub fn get_answer_max_bytes(&self) -> usize {
        self.answer_max_bytes
    }
}

/// Which connections a request may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// Only a new one.
    New,
    /// A new one, or one that answered a moment ago.
    Alive,
    /// Any.
    Any,
}

/// A connection together with whether it served before.
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

/// Connections to one replica; clones share them.
#[derive(Clone, Debug)]
pub struct UpstreamPool {
    shared: Arc<PoolShared>,
}

impl UpstreamPool {
    /// Creates a pool without connections; they run on `executor`.
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
    pub fn get_idle(&self) -> usize {
        self.idle().len()
    }

    /// Closes the idle connections; calls under way go on.
    pub fn close(self) {
        self.discard_idle();
    }

    /// Closes the idle connections, which are doubtful after one went silent.
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

    /// Returns a connection that a request may go on.
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
        let age_max = match reuse {
            ConnectionReuse::New => return None,
            ConnectionReuse::Alive => ALIVE_TIMEOUT,
            ConnectionReuse::Any => self.shared.options.idle_timeout,
        };
        let idle_timeout = self.shared.options.idle_timeout;
        let mut idle = self.idle();
        idle.retain(|entry| entry.since.elapsed() < idle_timeout && !entry.connection.is_closed());
        let is_usable =
            |entry: &IdleConnection| entry.since.elapsed() < age_max && entry.connection.is_ready();
        let position = idle.iter().rposition(is_usable)?;
        Some(idle.remove(position).connection)
    }

    /// Keeps a connection whose last answer was read to its end just now.
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
