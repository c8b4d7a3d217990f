//! gRPC over HTTP/2: the transport for tonic's clients and services.
//!
//! A link is an HTTP/2 connection between two daemons; [`GrpcChannel`] is its client end.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::uri::{Authority, Scheme};
use http::{Request, Response, Uri};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http2 as client;
use hyper::server::conn::http2 as server;
use ibisdale_clients::{ConnectionLimiter, CountedBody, OpenConnection, RequestProgress};
use smol::Async;
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};
use tonic::body::Body as GrpcBody;
use tower_service::Service;

use crate::TrafficExecutor;
use crate::client::{ConnectOptions, with_timeout};
use crate::error::NetError;
use crate::server::accept_until_shutdown;
use crate::shutdown::{ShutdownSignal, serve_until_shutdown};
use crate::socket::connect_stream;
use crate::traffic::{CountingStream, LinkCounters};

/// Time without received data after which an HTTP/2 ping is sent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum size of a request, in bytes; more than the longest message of the fleet.
const REQUEST_MAX_BYTES: usize = 17 * 1_024 * 1_024;
/// Maximum time to wait for the reply to a ping before the connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP/2 connection to another daemon, for tonic's generated clients.
#[derive(Clone, Debug)]
pub struct GrpcChannel {
    address: SocketAddr,
    sender: client::SendRequest<GrpcBody>,
    traffic: LinkCounters,
}

impl GrpcChannel {
    /// Opens a connection to `address`; `traffic` counts what is sent on it.
    ///
    /// While a call is open, HTTP/2 pings detect a peer that no longer responds;
    /// the connection is then closed.
    ///
    /// # Errors
    ///
    /// Fails with [`NetError::Connect`], [`NetError::ConnectTimeout`], or
    /// [`NetError::Exchange`] when the HTTP/2 handshake fails.
    pub async fn open(
        address: SocketAddr,
        executor: &TrafficExecutor,
        options: ConnectOptions,
        traffic: LinkCounters,
    ) -> Result<Self, NetError> {
        let timeout = options.get_timeout();
        let connect = open_sender(address, executor, traffic.clone());
        let sender = with_timeout(connect, timeout, || NetError::ConnectTimeout {
            address,
            timeout,
        })
        .await?;
        Ok(Self {
            address,
            sender,
            traffic,
        })
    }

    /// Returns whether the connection is closed and must be replaced.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

async fn open_sender(
    address: SocketAddr,
    executor: &TrafficExecutor,
    traffic: LinkCounters,
) -> Result<client::SendRequest<GrpcBody>, NetError> {
    let stream = connect_stream(address).await?;
    let builder_executor = SmolExecutor::new(TrafficExecutor::clone(executor));
    let (sender, connection) = client::Builder::new(builder_executor)
        .timer(SmolTimer::new())
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .handshake(FuturesIo::new(CountingStream::new(stream, traffic)))
        .await
        .map_err(|source| NetError::Exchange { source })?;
    let task = async move {
        if let Err(error) = connection.await {
            log::debug!("gRPC connection to {address} failed: {error}");
        }
    };
    executor.spawn(task).detach();
    Ok(sender)
}

impl Service<Request<GrpcBody>> for GrpcChannel {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.sender.poll_ready(context)
    }

    fn call(&mut self, mut request: Request<GrpcBody>) -> Self::Future {
        *request.uri_mut() = absolute_uri(request.uri(), self.address);
        self.traffic.count_message();
        Box::pin(self.sender.send_request(request))
    }
}

fn absolute_uri(uri: &Uri, address: SocketAddr) -> Uri {
    let mut parts = uri.clone().into_parts();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = Authority::try_from(address.to_string()).ok();
    Uri::from_parts(parts).unwrap_or_else(|_| uri.clone())
}

/// Accepts connections and serves `service` on each until shutdown; `traffic` counts
/// what is sent on them.
///
/// Returns when shutdown has started. Open connections keep running until their calls
/// are answered, and keep their [`ShutdownSignal`] until then.
pub async fn serve_grpc<S>(
    listener: Async<TcpListener>,
    executor: TrafficExecutor,
    limiter: ConnectionLimiter,
    shutdown: ShutdownSignal,
    service: S,
    traffic: LinkCounters,
) where
    S: Service<Request<GrpcBody>, Response = Response<GrpcBody>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send,
{
    accept_until_shutdown(&listener, &shutdown, &limiter, |stream, peer, open| {
        let connection_executor = TrafficExecutor::clone(&executor);
        let task = serve_connection(
            (stream, peer, open),
            connection_executor,
            shutdown.clone(),
            service.clone(),
            traffic.clone(),
        );
        executor.spawn(task).detach();
    })
    .await;
}

async fn serve_connection<S>(
    (stream, peer, open): (Async<TcpStream>, SocketAddr, OpenConnection),
    executor: TrafficExecutor,
    shutdown: ShutdownSignal,
    service: S,
    traffic: LinkCounters,
) where
    S: Service<Request<GrpcBody>, Response = Response<GrpcBody>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send,
{
    let stream = CountingStream::new(stream, traffic.clone());
    let open = Arc::new(open);
    let service_open = Arc::clone(&open);
    let hyper_service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let mut service = service.clone();
        // Counts the reply: each request has exactly one.
        traffic.count_message();
        let progress = service_open.begin_request();
        let account = service_open.account().clone();
        async move {
            let (parts, body) = request.into_parts();
            let (body, held) = CountedBody::begin(&account, body, REQUEST_MAX_BYTES)?;
            let body = GrpcBody::new(body.map_err(tonic::Status::from_error));
            let response = service.call(Request::from_parts(parts, body)).await;
            let response = response.unwrap_or_else(|never| match never {});
            drop(held);
            Ok::<_, NetError>(response.map(|body| GuardedBody {
                body,
                _progress: progress,
            }))
        }
    });
    let connection = server::Builder::new(SmolExecutor::new(executor))
        .timer(SmolTimer::new())
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .serve_connection(FuturesIo::new(open.watch(stream)), hyper_service);
    let connection = std::pin::pin!(connection);
    let served = serve_until_shutdown(connection, &shutdown, |connection| {
        connection.graceful_shutdown();
    });
    let closed = async {
        open.wait_for_close().await;
        Ok(())
    };
    if let Err(error) = served.or(closed).await {
        log::debug!("gRPC connection from {peer} failed: {error}");
    }
}

/// Body of a reply, whose connection is busy until it ends.
struct GuardedBody {
    body: GrpcBody,
    _progress: RequestProgress,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = tonic::Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, tonic::Status>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
