//! HTTP/1.1 server.

use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_lite::FutureExt;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use ibisdale_clients::{
    ClientAccount, ClientLimits, ConnectionLimiter, DeliveredBody, OpenConnection, close_after,
    discard_rest, is_closed_after,
};
use smol::Async;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::TrafficExecutor;
use crate::body::BoxBody;
use crate::error::NetError;
use crate::shutdown::{ShutdownSignal, serve_until_shutdown};

/// Default maximum size of a request's head, in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1_024;
/// Default timeout for receiving a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits for each connection of a server.
///
/// ```
/// let options = ibisdale_net::ServeOptions::new().head_max_bytes(8 * 1024);
/// assert_eq!(options.get_head_max_bytes(), 8 * 1024);
/// ```
#[derive(Clone, Debug)]
pub struct ServeOptions {
    head_max_bytes: usize,
    head_timeout: Duration,
    limiter: ConnectionLimiter,
}

impl Default for ServeOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl ServeOptions {
    /// Creates the default limits.
    #[must_use]
    pub fn new() -> Self {
        Self {
            head_max_bytes: HEAD_MAX_BYTES,
            head_timeout: HEAD_TIMEOUT,
            limiter: unlimited_connections(),
        }
    }

    /// Sets the limit of the connections and the account of what their clients make the process
    /// hold; by default there is none.
    #[must_use]
    pub fn limiter(mut self, limiter: ConnectionLimiter) -> Self {
        self.limiter = limiter;
        self
    }

    /// Sets the maximum size of a request's head, in bytes; values below 8192 are raised
    /// to 8192.
    #[must_use]
    pub fn head_max_bytes(mut self, bytes: usize) -> Self {
        self.head_max_bytes = bytes.max(8_192);
        self
    }

    /// Sets the timeout for receiving a request's head.
    #[must_use]
    pub fn head_timeout(mut self, timeout: Duration) -> Self {
        self.head_timeout = timeout;
        self
    }

    /// Returns the maximum size of a request's head, in bytes.
    #[must_use]
    pub fn get_head_max_bytes(&self) -> usize {
        self.head_max_bytes
    }
}

/// Accepts connections and passes each request to `handler` until shutdown.
///
/// Returns when shutdown has started. Open connections keep running until their
/// requests are answered, and keep their [`ShutdownSignal`] until then.
pub async fn serve_http<H, F>(
    listener: Async<TcpListener>,
    executor: TrafficExecutor,
    options: ServeOptions,
    shutdown: ShutdownSignal,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response<BoxBody>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let limiter = options.limiter.clone();
    accept_until_shutdown(&listener, &shutdown, &limiter, |stream, peer, open| {
        let task = serve_connection(
            (stream, peer, open),
            options.clone(),
            shutdown.clone(),
            Arc::clone(&handler),
        );
        executor.spawn(task).detach();
    })
    .await;
}

/// Returns a limiter that closes no connection and counts without a bound.
fn unlimited_connections() -> ConnectionLimiter {
    let limits = ClientLimits::UNLIMITED;
    let account = ClientAccount::new(limits.memory_bytes());
    ConnectionLimiter::new(limits.connections(), &account)
}

/// Accepts connections until shutdown and passes each that is admitted to `serve`.
pub(crate) async fn accept_until_shutdown(
    listener: &Async<TcpListener>,
    shutdown: &ShutdownSignal,
    limiter: &ConnectionLimiter,
    serve: impl Fn(Async<TcpStream>, SocketAddr, OpenConnection),
) {
    loop {
        let stop = async {
            shutdown.wait().await;
            None
        };
        let accept = async {
            limiter.wait_for_room().await;
            Some(listener.accept().await)
        };
        match stop.or(accept).await {
            None => return,
            Some(Ok((stream, peer))) => {
                if stream.get_ref().set_nodelay(true).is_ok()
                    && let Some(open) = limiter.admit()
                {
                    serve(stream, peer, open);
                }
            }
            Some(Err(error)) => {
                log::debug!("failed to accept a connection: {error}");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<H, F>(
    (stream, peer, open): (Async<TcpStream>, SocketAddr, OpenConnection),
    options: ServeOptions,
    shutdown: ShutdownSignal,
    handler: Arc<H>,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response<BoxBody>> + Send + 'static,
{
    let stream = smol::net::TcpStream::from(stream);
    let rest = stream.clone();
    let has_unread = AtomicBool::new(false);
    let (open, unread) = (&open, &has_unread);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let progress = open.begin_request();
        request.extensions_mut().insert(open.closer());
        let response = handler(request, peer);
        async move {
            let mut response = response.await;
            if open.is_retiring() {
                response = close_after(response);
            }
            unread.store(is_closed_after(&response), Ordering::Relaxed);
            Ok::<_, NetError>(response.map(|body| DeliveredBody::new(body, open, progress)))
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_buf_size(options.head_max_bytes)
        .serve_connection(FuturesIo::new(open.watch(stream)), service);
    let connection = std::pin::pin!(connection);
    let served = serve_until_shutdown(connection, &shutdown, |connection| {
        connection.graceful_shutdown();
    });
    let served = async { Some(served.await) };
    let closed = async {
        open.wait_for_close().await;
        None
    };
    let Some(result) = served.or(closed).await else {
        return;
    };
    if has_unread.load(Ordering::Relaxed) && open.begin_linger() {
        discard_rest(rest).or(open.wait_for_close()).await;
    }
    if let Err(error) = result {
        log::debug!("connection from {peer} failed: {error}");
    }
}
