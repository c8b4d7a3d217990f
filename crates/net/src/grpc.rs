//! gRPC over HTTP/2: the transport for tonic's clients and services.
//!
//! A link is an HTTP/2 connection between two daemons; [`GrpcChannel`] is its client end.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use http::uri::{Authority, Scheme};
use http::{Request, Response, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http2 as client;
use hyper::server::conn::http2 as server;
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
    accept_until_shutdown(&listener, &shutdown, |stream, peer| {
        let connection_executor = TrafficExecutor::clone(&executor);
        let task = serve_connection(
            stream,
            peer,
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
    stream: Async<TcpStream>,
    peer: SocketAddr,
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
    let hyper_service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let mut service = service.clone();
        // Counts the reply: each request has exactly one.
        traffic.count_message();
        let request = request.map(|body| GrpcBody::new(body.map_err(tonic_status)));
        async move { service.call(request).await }
    });
    let connection = server::Builder::new(SmolExecutor::new(executor))
        .timer(SmolTimer::new())
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), hyper_service);
    let connection = std::pin::pin!(connection);
    let result = serve_until_shutdown(connection, &shutdown, |connection| {
        connection.graceful_shutdown();
    })
    .await;
    if let Err(error) = result {
        log::debug!("gRPC connection from {peer} failed: {error}");
    }
}

fn tonic_status(error: hyper::Error) -> tonic::Status {
    tonic::Status::from_error(Box::new(error))
}
