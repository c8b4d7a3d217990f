//! Connections to the service's endpoints.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ibisdale_net::{ClientConnection, ConnectOptions, NetError, TrafficExecutor};

/// Idle connections kept open.
const IDLE_CONNECTIONS_MAX: usize = 2;

/// Opens connections and keeps idle ones.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    endpoints: Vec<SocketAddr>,
    preferred: AtomicUsize,
    idle: Mutex<Vec<ClientConnection>>,
    executor: TrafficExecutor,
}

impl ConnectionPool {
    pub(crate) fn new(endpoints: Vec<SocketAddr>, executor: TrafficExecutor) -> Self {
        Self {
            endpoints,
            preferred: AtomicUsize::new(0),
            idle: Mutex::new(Vec::new()),
            executor,
        }
    }

    pub(crate) fn executor(&self) -> &TrafficExecutor {
        &self.executor
    }

    pub(crate) fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ClientConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an idle connection, if one is still open.
    pub(crate) async fn take_idle(&self) -> Option<ClientConnection> {
        loop {
            let mut connection = self.lock().pop()?;
            if connection.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection whose exchange is over.
    pub(crate) fn put_idle(&self, connection: ClientConnection) {
        let mut idle = self.lock();
        if idle.len() < IDLE_CONNECTIONS_MAX && !connection.is_closed() {
            idle.push(connection);
        }
    }

    /// Opens a connection to the endpoint that last worked.
    pub(crate) async fn open(&self, limit: Duration) -> Result<ClientConnection, NetError> {
        let index = self.preferred.load(Ordering::Relaxed) % self.endpoints.len().max(1);
        let Some(address) = self.endpoints.get(index) else {
            return Err(NetError::NotSent);
        };
        let options = ConnectOptions::new().timeout(limit);
        ClientConnection::open(*address, &self.executor, options).await
    }

    /// Drops idle connections, which may have gone silent as well, and turns to
    /// the next endpoint.
    pub(crate) fn report_failure(&self) {
        self.lock().clear();
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }
}
