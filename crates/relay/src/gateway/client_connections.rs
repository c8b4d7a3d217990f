//! Connections of clients: their limit, and how they are served and closed.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt};
use http::header::CONNECTION;
use http::{HeaderValue, Response};
use http_body::{Body, Frame, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use ibisdale_telemetry::record_event;
use slotmap::SecondaryMap;
use smol::channel::{Receiver, Sender, bounded};
use smol::{Async, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::admit::{DISCARD_MAX_BYTES, DISCARD_TIMEOUT};
use super::body::{ResponseAborted, ResponseBody};
use super::listen::RequestHandler;
use super::state::Gateway;
use crate::decide::{ConnectionKey, ConnectionTable};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Minimum that hyper accepts as `max_buf_size`, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8_192;

/// Open connections of one listener.
pub(crate) struct ClientConnections {
    max: usize,
    table: RefCell<ConnectionTable>,
    /// Channels of the connections, which are closed when a connection must be.
    closers: RefCell<SecondaryMap<ConnectionKey, Sender<()>>>,
    /// Connections that were closed while idle, and new ones, since the last report.
    closed: Cell<(u64, u64)>,
}

impl ClientConnections {
    pub(crate) fn new(max: usize) -> Rc<Self> {
        Rc::new(Self {
            max,
            table: RefCell::new(ConnectionTable::new(max)),
            closers: RefCell::default(),
            closed: Cell::default(),
        })
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.table.borrow().count()
    }

    /// Logs how many connections the limit has closed since the last call, if any.
    pub(crate) fn report(&self) {
        let (idle, new) = self.closed.take();
        if idle + new > 0 {
            record_event!(
                ConnectionsClosed,
                idle = idle,
                new = new,
                open = self.count(),
                max = self.max,
            );
        }
    }
}

/// A connection that counts as open until this guard is dropped.
struct OpenConnection {
    gateway: Gateway,
    connections: Rc<ClientConnections>,
    key: ConnectionKey,
    closed: Receiver<()>,
}

impl OpenConnection {
    /// Admits a new connection, for which an idle one may be closed, or one whose request has a
    /// stalled body; `None` if all others are busy.
    fn admit(gateway: &Gateway, connections: &Rc<ClientConnections>) -> Option<Self> {
        let (idle, new) = connections.closed.get();
        let now_ms = gateway.now_ms();
        let mut opened = connections.table.borrow_mut().open(now_ms);
        if opened.is_err() && gateway.state.request_memory.evict_stalled(now_ms) {
            // The response to the refused request is still to be sent.
            opened = Ok((connections.table.borrow_mut().insert(now_ms), None));
        }
        let Ok((key, closed_key)) = opened else {
            connections.closed.set((idle, new + 1));
            gateway.state.metrics.count_closed_connection("new");
            return None;
        };
        let mut closers = connections.closers.borrow_mut();
        if let Some(closed_key) = closed_key {
            connections.closed.set((idle + 1, new));
            gateway.state.metrics.count_closed_connection("idle");
            closers.remove(closed_key);
        }
        let (sender, closed) = bounded(1);
        closers.insert(key, sender);
        Some(Self {
            gateway: gateway.clone(),
            connections: Rc::clone(connections),
            key,
            closed,
        })
    }

    /// Waits until the connection is to be closed for another one.
    async fn wait_for_close<T>(&self) -> Option<T> {
        // Returns when the channel's sender is dropped.
        let _ = self.closed.recv().await;
        None
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.table.borrow_mut().remove(self.key);
        self.connections.closers.borrow_mut().remove(self.key);
    }
}

/// Marks a connection as busy from the head of a request to the end of its response.
struct RequestProgress {
    gateway: Gateway,
    connections: Rc<ClientConnections>,
    key: ConnectionKey,
}

impl RequestProgress {
    fn begin(gateway: &Gateway, connections: &Rc<ClientConnections>, key: ConnectionKey) -> Self {
        connections.table.borrow_mut().begin_request(key);
        Self {
            gateway: gateway.clone(),
            connections: Rc::clone(connections),
            key,
        }
    }
}

impl Drop for RequestProgress {
    fn drop(&mut self) {
        let now_ms = self.gateway.now_ms();
        let mut table = self.connections.table.borrow_mut();
        table.end_request(self.key, now_ms);
    }
}

/// Body of a response, whose connection is busy until it has been handed over.
struct TrackedBody {
    body: ResponseBody,
    _progress: RequestProgress,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Accepts connections until the gateway drains.
pub(crate) async fn accept(
    gateway: Gateway,
    connections: Rc<ClientConnections>,
    listener: Async<TcpListener>,
    handler: RequestHandler,
) {
    loop {
        let stop = async {
            // Returns when the drain closes the channel.
            let _ = gateway.state.shutdown_signal.recv().await;
            None
        };
        match stop.or(async { Some(listener.accept().await) }).await {
            None => return,
            Some(Ok((stream, peer))) => {
                if stream.get_ref().set_nodelay(true).is_ok()
                    && let Some(open) = OpenConnection::admit(&gateway, &connections)
                {
                    gateway.spawn(serve(open, stream, peer, handler));
                }
            }
            Some(Err(error)) => {
                log::warn!("failed to accept a connection: {error}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(
    open: OpenConnection,
    stream: Async<TcpStream>,
    peer: SocketAddr,
    handler: RequestHandler,
) {
    let gateway = open.gateway.clone();
    let limits = gateway
        .plan()
        .map(|plan| plan.get_limits())
        .unwrap_or_default();
    let stream = smol::net::TcpStream::from(stream);
    let rest = stream.clone();
    let has_unread = Rc::new(Cell::new(false));
    let service_gateway = gateway.clone();
    let (service_connections, key) = (Rc::clone(&open.connections), open.key);
    let unread = Rc::clone(&has_unread);
    let service = service_fn(move |request| {
        let progress = RequestProgress::begin(&service_gateway, &service_connections, key);
        let response = handler(service_gateway.clone(), request);
        let gateway = service_gateway.clone();
        let unread = Rc::clone(&unread);
        async move {
            let mut response = response.await;
            unread.set(response.extensions().get::<UnreadBody>().is_some());
            if gateway.state.is_draining.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, ResponseAborted>(response.map(|body| TrackedBody {
                body,
                _progress: progress,
            }))
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.head_max_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let close = async {
        // Returns when the drain closes the channel.
        let _ = gateway.state.shutdown_signal.recv().await;
        None
    };
    let result = async {
        let ended = async { Some(connection.as_mut().await) };
        if let Some(result) = ended.or(close).await {
            return Some(result);
        }
        connection.as_mut().graceful_shutdown();
        Some(connection.as_mut().await)
    };
    let Some(result) = result.or(open.wait_for_close()).await else {
        return;
    };
    if has_unread.get() {
        discard_rest(rest).await;
    }
    if let Err(error) = result {
        record_event!(ConnectionFailed, peer = peer, error = error);
    }
}

/// Marker of a response that is sent before the body of its request is read whole.
#[derive(Clone, Copy, Debug)]
struct UnreadBody;

/// Closes the connection after a response to a request whose body is not read to its end.
pub(crate) fn close_after(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response.extensions_mut().insert(UnreadBody);
    response
}

/// Reads and discards what a client still sends after a refusal.
///
/// Closing a connection that has unread data resets it, and the client may lose the response.
async fn discard_rest(mut stream: smol::net::TcpStream) {
    let read = async {
        let mut buffer = [0_u8; 4_096];
        let mut left = DISCARD_MAX_BYTES;
        while let Ok(size) = stream.read(&mut buffer).await {
            if size == 0 || size > left {
                return;
            }
            left -= size;
        }
    };
    let timed_out = async {
        Timer::after(DISCARD_TIMEOUT).await;
    };
    read.or(timed_out).await;
}
