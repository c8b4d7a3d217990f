//! Hosting of a stand-in's connections so that all can be cut at once.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::Incoming;
use ibisdale_net::{
    BodySender, BoxBody, NetError, ServeOptions, ShutdownGuard, TrafficExecutor, bind_listener,
    body_channel, full_body, serve_http, shutdown_pair,
};
use serde::Serialize;
use smol::Task;

/// Largest request body that a stand-in reads, in bytes.
pub(crate) const BODY_MAX_BYTES: usize = 64 * 1_024 * 1_024;

/// Runs the connections of one stand-in on an executor of their own.
///
/// Dropping it closes the listener and cuts every connection.
#[derive(Debug)]
pub(crate) struct ServerHost {
    address: SocketAddr,
    // Fields are dropped in this order: the tasks before what they run on.
    _accept: Task<()>,
    _drive: Task<Infallible>,
    _connections: TrafficExecutor,
    _guard: ShutdownGuard,
}

impl ServerHost {
    /// Listens on `address` and answers requests by `handler`.
    pub(crate) fn start<H, F>(
        address: SocketAddr,
        executor: &TrafficExecutor,
        handler: H,
    ) -> Result<Self, NetError>
    where
        H: Fn(http::Request<Incoming>, SocketAddr) -> F + Send + Sync + 'static,
        F: Future<Output = Response<BoxBody>> + Send + 'static,
    {
        let listener = bind_listener(address)?;
        let address = listener
            .get_ref()
            .local_addr()
            .map_err(|source| NetError::Listen { address, source })?;
        let connections = TrafficExecutor::default();
        let (guard, signal) = shutdown_pair();
        let accept = serve_http(
            listener,
            Arc::clone(&connections),
            ServeOptions::new(),
            signal,
            handler,
        );
        let driven = Arc::clone(&connections);
        let drive = async move { driven.run(std::future::pending::<Infallible>()).await };
        Ok(Self {
            address,
            _accept: executor.spawn(accept),
            _drive: executor.spawn(drive),
            _connections: connections,
            _guard: guard,
        })
    }

    /// Returns the address that the stand-in listens on.
    pub(crate) fn get_address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and cuts every connection.
    pub(crate) async fn close(self) {
        let Self {
            _accept: accept,
            _drive: drive,
            ..
        } = self;
        accept.cancel().await;
        drive.cancel().await;
    }
}

/// Creates an answer with a JSON body.
pub(crate) fn json_answer<T: Serialize>(status: StatusCode, body: &T) -> Response<BoxBody> {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Creates an answer with a JSON error in the shape of the `OpenAI` API.
pub(crate) fn error_answer(status: StatusCode, kind: &str, message: &str) -> Response<BoxBody> {
    let body = ErrorBody {
        error: ErrorDetail { kind, message },
    };
    json_answer(status, &body)
}

/// Creates an answer whose connection closes before its head is written.
pub(crate) fn aborted_answer() -> Response<BoxBody> {
    let (sender, body) = body_channel();
    drop::<BodySender>(sender);
    Response::new(body)
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    message: &'a str,
}
