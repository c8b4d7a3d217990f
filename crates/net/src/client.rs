//! HTTP/1.1 client: a connection that carries one request at a time.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use smol_hyper::rt::FuturesIo;

use crate::TrafficExecutor;
use crate::body::BoxBody;
use crate::error::NetError;
use crate::socket::connect_stream;

/// Default timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Options for opening a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectOptions {
    timeout: Duration,
}

impl Default for ConnectOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl ConnectOptions {
    /// Creates the default options.
    #[must_use]
    pub fn new() -> Self {
        Self {
            timeout: CONNECT_TIMEOUT,
        }
    }

    /// Sets the timeout for opening the connection.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the timeout for opening the connection.
    #[must_use]
    pub fn get_timeout(&self) -> Duration {
        self.timeout
    }
}

/// Runs `future`, or fails with the result of `timeout_error` when it takes longer
/// than `timeout`.
pub(crate) async fn with_timeout<T>(
    future: impl Future<Output = Result<T, NetError>>,
    timeout: Duration,
    timeout_error: impl FnOnce() -> NetError,
) -> Result<T, NetError> {
    let timer = async {
        smol::Timer::after(timeout).await;
        Err(timeout_error())
    };
    future.or(timer).await
}

/// An open HTTP/1.1 connection.
///
/// Dropping it closes the connection once no request is in progress. Dropping the future
/// of [`Self::send`], or a response's body before its end, closes the connection at once,
/// which cancels the request.
#[derive(Debug)]
pub struct ClientConnection {
    address: SocketAddr,
    sender: http1::SendRequest<BoxBody>,
}

impl ClientConnection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Fails with [`NetError::Connect`], [`NetError::ConnectTimeout`], or
    /// [`NetError::Exchange`] when the HTTP client can't be set up on the socket.
    pub async fn open(
        address: SocketAddr,
        executor: &TrafficExecutor,
        options: ConnectOptions,
    ) -> Result<Self, NetError> {
        let timeout = options.timeout;
        let connect = connect_stream(address);
        let stream = with_timeout(connect, timeout, || NetError::ConnectTimeout {
            address,
            timeout,
        })
        .await?;
        let (sender, connection) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|source| NetError::Exchange { source })?;
        let task = async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        };
        executor.spawn(task).detach();
        Ok(Self { address, sender })
    }

    /// Returns the peer's address.
    #[must_use]
    pub fn get_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection can send a request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection can send the next request.
    ///
    /// # Errors
    ///
    /// Fails with [`NetError::NotSent`] when the connection is closed.
    pub async fn ready(&mut self) -> Result<(), NetError> {
        self.sender.ready().await.map_err(|_| NetError::NotSent)
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails with [`NetError::NotSent`] when provably no byte of the request was sent,
    /// with [`NetError::Unframed`] when a response that may have a body has neither
    /// `Content-Length` nor `Transfer-Encoding`, and with [`NetError::Exchange`] otherwise.
    pub async fn send(
        &mut self,
        request: Request<BoxBody>,
    ) -> Result<Response<FramedBody>, NetError> {
        let is_head_request = request.method() == Method::HEAD;
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(error) if error.message().is_some() => return Err(NetError::NotSent),
            Err(error) => {
                return Err(NetError::Exchange {
                    source: error.into_error(),
                });
            }
        };
        check_framing(&response, is_head_request)?;
        Ok(response.map(FramedBody))
    }
}

/// Rejects a response that may have a body but has neither `Content-Length` nor
/// `Transfer-Encoding`: the body ends when the connection closes, so a truncated one
/// would pass as complete.
fn check_framing(response: &Response<Incoming>, is_head_request: bool) -> Result<(), NetError> {
    let status = response.status();
    if is_head_request || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return Ok(());
    }
    let headers = response.headers();
    if headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) {
        return Ok(());
    }
    Err(NetError::Unframed)
}

/// Body of a response whose end is known from its headers or status, or from the
/// request's method.
#[derive(Debug)]
pub struct FramedBody(Incoming);

impl Body for FramedBody {
    type Data = Bytes;
    type Error = NetError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, NetError>>> {
        Pin::new(&mut self.0)
            .poll_frame(context)
            .map_err(|source| NetError::Truncated { source })
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.0.size_hint()
    }
}
