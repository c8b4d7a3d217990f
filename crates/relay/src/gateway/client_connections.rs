//! Connections of clients: how they are accepted, served and closed.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use http::header::CONNECTION;
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use ibisdale_clients::{
    ConnectionLimiter, DeliveredBody, OpenConnection, close_after, discard_rest, is_closed_after,
};
use ibisdale_telemetry::record_event;
use smol::{Async, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::body::ResponseAborted;
use super::listen::RequestHandler;
use super::state::Gateway;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Minimum that hyper accepts as `max_buf_size`, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8_192;

/// Accepts connections until the gateway drains.
pub(crate) async fn accept(
    gateway: Gateway,
    limiter: ConnectionLimiter,
    listener: Async<TcpListener>,
    handler: RequestHandler,
) {
    loop {
        let stop = async {
            // Returns when the drain closes the channel.
            let _ = gateway.state.shutdown_signal.recv().await;
            None
        };
        let accepted = async {
            limiter.wait_for_room().await;
            Some(listener.accept().await)
        };
        match stop.or(accepted).await {
            None => return,
            Some(Ok((stream, peer))) => {
                if stream.get_ref().set_nodelay(true).is_ok()
                    && let Some(open) = limiter.admit()
                {
                    let cloned = gateway.clone();
                    gateway.spawn_client(serve(cloned, open, stream, peer, handler));
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
    gateway: Gateway,
    open: OpenConnection,
    stream: Async<TcpStream>,
    peer: SocketAddr,
    handler: RequestHandler,
) {
    let limits = gateway
        .plan()
        .map(|plan| plan.get_limits())
        .unwrap_or_default();
    let stream = smol::net::TcpStream::from(stream);
    let rest = stream.clone();
    let has_unread = Rc::new(Cell::new(false));
    let service_gateway = gateway.clone();
    let open = Rc::new(open);
    let service_open = Rc::clone(&open);
    let unread = Rc::clone(&has_unread);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let open = Rc::clone(&service_open);
        let progress = open.begin_request();
        request.extensions_mut().insert(open.closer());
        let response = handler(service_gateway.clone(), request);
        let gateway = service_gateway.clone();
        let unread = Rc::clone(&unread);
        async move {
            let mut response = response.await;
            if open.is_retiring() {
                response = close_after(response);
            }
            unread.set(is_closed_after(&response));
            if gateway.state.is_draining.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, ResponseAborted>(response.map(|body| DeliveredBody::new(body, &open, progress)))
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.head_max_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .serve_connection(FuturesIo::new(open.watch(stream)), service);
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
    let closed = async {
        open.wait_for_close().await;
        None
    };
    // A connection that is closed for another one must not begin a request, even if one has arrived.
    let Some(result) = closed.or(result).await else {
        return;
    };
    if has_unread.get() && open.begin_linger() {
        discard_rest(rest).or(open.wait_for_close()).await;
    }
    if let Err(error) = result {
        record_event!(ConnectionFailed, peer = peer, error = error);
    }
}

/// Logs and counts how many connections the limit of a listener has closed since the last call.
pub(crate) fn report_closed(gateway: &Gateway, limiter: &ConnectionLimiter) {
    let (idle, new) = limiter.take_closed();
    if idle + new == 0 {
        return;
    }
    let metrics = &gateway.state.metrics;
    metrics.count_closed_connections("idle", idle);
    metrics.count_closed_connections("new", new);
    record_event!(
        ConnectionsClosed,
        idle = idle,
        new = new,
        open = limiter.count(),
        max = limiter.max(),
    );
}
