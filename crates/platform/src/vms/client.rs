//! Polling of the list, with the last good answer kept.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use http::{Method, Request, StatusCode};
use ibisdale_net::{
    ClientConnection, ConnectOptions, NetError, TrafficExecutor, empty_body, read_limited,
};
use smol::{Task, Timer};
use snafu::{ResultExt, Snafu};

use crate::wire::VmList;

/// Path of the list.
const LIST_PATH: &str = "/v1/vms";
/// Largest list, in bytes.
const LIST_MAX_BYTES: usize = 16 * 1_024 * 1_024;
/// Time by default between reads.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time by default in which a read must be answered.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Tells why the list could not be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum VmListError {
    /// The connection failed.
    #[snafu(display("the VM list cannot be reached: {source}"))]
    Connection {
        /// The connection's error.
        source: NetError,
    },
    /// The platform answered with an error.
    #[snafu(display("the VM list answered with status {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The answer is not a list.
    #[snafu(display("the VM list cannot be read: {source}"))]
    Malformed {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The request could not be built.
    #[snafu(display("the request for the VM list cannot be written: {source}"))]
    Unwritable {
        /// The library's error.
        source: http::Error,
    },
}

/// Where the list is and how often it is read.
#[derive(Clone, Copy, Debug)]
pub struct VmListOptions {
    address: SocketAddr,
    interval: Duration,
    timeout: Duration,
}

impl VmListOptions {
    /// Creates options with the default times.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            interval: POLL_INTERVAL,
            timeout: READ_TIMEOUT,
        }
    }

    /// Sets the time between reads.
    #[must_use]
    pub fn interval(mut self, interval: Duration) -> Self {
        self.interval = interval;
        self
    }

    /// Sets the time in which a read must be answered.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// The last list that could be read.
#[derive(Clone, Debug, Default)]
pub struct VmListSnapshot {
    /// The list; empty until the first read.
    pub list: VmList,
    /// When it was read, or `None` until the first read.
    pub read_at: Option<Instant>,
    /// Number of reads that failed since.
    pub failure_count: u64,
}

/// Reads the list at intervals.
#[derive(Debug)]
pub struct VmListClient {
    latest: Arc<ArcSwap<VmListSnapshot>>,
    changes: Receiver<()>,
    task: Task<()>,
}

impl VmListClient {
    /// Starts reading the list on `executor`.
    #[must_use]
    pub fn start(options: VmListOptions, executor: &TrafficExecutor) -> Self {
        let latest = Arc::new(ArcSwap::from_pointee(VmListSnapshot::default()));
        let (sender, changes) = async_channel::bounded(1);
        let poll = ListPoll {
            options,
            executor: TrafficExecutor::clone(executor),
            connection: None,
            latest: Arc::clone(&latest),
            changes: sender,
        };
        Self {
            latest,
            changes,
            task: executor.spawn(poll.run()),
        }
    }

    /// Returns the last list that could be read.
    #[must_use]
    pub fn get_latest(&self) -> Arc<VmListSnapshot> {
        self.latest.load_full()
    }

    /// Waits until a list differs from the one before.
    ///
    /// Changes while nobody waits are reported once. Never ready after the
    /// executor has stopped.
    pub async fn changed(&self) {
        if self.changes.recv().await.is_err() {
            futures_lite::future::pending::<()>().await;
        }
    }

    /// Stops reading.
    pub async fn close(self) {
        self.task.cancel().await;
    }
}

struct ListPoll {
    options: VmListOptions,
    executor: TrafficExecutor,
    connection: Option<ClientConnection>,
    latest: Arc<ArcSwap<VmListSnapshot>>,
    changes: Sender<()>,
}

impl ListPoll {
    async fn run(mut self) {
        loop {
            match self.read().await {
                Ok(list) => self.publish(list),
                Err(error) => {
                    log::debug!("{error}");
                    self.connection = None;
                    self.publish_failure();
                }
            }
            Timer::after(self.options.interval).await;
        }
    }

    fn publish(&self, list: VmList) {
        let is_changed = self.latest.load().list != list;
        self.latest.store(Arc::new(VmListSnapshot {
            list,
            read_at: Some(Instant::now()),
            failure_count: 0,
        }));
        if is_changed {
            // A full channel already tells of a change.
            let _ = self.changes.try_send(());
        }
    }

    fn publish_failure(&self) {
        let mut snapshot = VmListSnapshot::clone(&self.latest.load());
        snapshot.failure_count += 1;
        self.latest.store(Arc::new(snapshot));
    }

    async fn read(&mut self) -> Result<VmList, VmListError> {
        let limit = self.options.timeout;
        let expire = async {
            Timer::after(limit).await;
            Err(NetError::Stalled { timeout: limit }).context(ConnectionSnafu)
        };
        self.read_unbounded().or(expire).await
    }

    async fn take_connection(&mut self) -> Result<ClientConnection, NetError> {
        if let Some(mut connection) = self.connection.take()
            && connection.ready().await.is_ok()
        {
            return Ok(connection);
        }
        let options = ConnectOptions::new().timeout(self.options.timeout);
        ClientConnection::open(self.options.address, &self.executor, options).await
    }

    async fn read_unbounded(&mut self) -> Result<VmList, VmListError> {
        let address = self.options.address;
        let mut connection = self.take_connection().await.context(ConnectionSnafu)?;
        let request = Request::builder()
            .method(Method::GET)
            .uri(LIST_PATH)
            .header("host", address.to_string())
            .body(empty_body())
            .context(UnwritableSnafu)?;
        let response = connection.send(request).await.context(ConnectionSnafu)?;
        let status = response.status();
        let body = read_limited(response.into_body(), LIST_MAX_BYTES)
            .await
            .context(ConnectionSnafu)?;
        if status != StatusCode::OK {
            return Err(VmListError::Status {
                status: status.as_u16(),
            });
        }
        self.connection = Some(connection);
        serde_json::from_slice(&body).context(MalformedSnafu)
    }
}
