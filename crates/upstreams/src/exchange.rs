//! Sending of one request and receipt of its response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_lite::{FutureExt, StreamExt};
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, Request, StatusCode, Uri};
use ibisdale_core::RunState;
use ibisdale_net::{BoxBody, ClientConnection, NetError, full_body};
use smol::Timer;

use crate::credential::UpstreamCredential;
use crate::error::{UpstreamError, UpstreamErrorKind};
use crate::headers::{is_marked_not_run, parse_retry_after};
use crate::pool::{ConnectionReuse, PooledConnection, UpstreamPool};
use crate::progress::{BodyError, LimitedBody, ResponseLimits};

/// Maximum length of the body excerpt in an error message, in bytes.
const ERROR_TEXT_MAX_BYTES: usize = 512;

/// A request to an upstream, with its deadline and connection reuse policy.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) credential: Option<UpstreamCredential>,
    pub(crate) deadline: Option<Instant>,
    pub(crate) reuse: ConnectionReuse,
}

impl UpstreamRequest {
    pub(crate) fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            credential: None,
            deadline: None,
            reuse: ConnectionReuse::Any,
        }
    }
}

/// The head of a response, and the connection that its body is read from.
pub(crate) struct UpstreamResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: LimitedBody,
    pub(crate) connection: ClientConnection,
    may_have_run: bool,
}

/// Sends a request and waits for the head of its response.
///
/// If a reused connection fails or stalls before the head arrives, a request that
/// may run twice is resent once on a new one, any other only if none of it was
/// sent.
pub(crate) async fn send_request(
    pool: &UpstreamPool,
    request: &UpstreamRequest,
) -> Result<UpstreamResponse, UpstreamError> {
    let address = pool.get_address();
    if is_expired(request.deadline) {
        return Err(deadline_error(address).run_state(RunState::NotRun));
    }
    let pooled = take_connection(pool, request, request.reuse).await?;
    let is_reused = pooled.is_reused;
    let result = send_once(pool, request, pooled).await;
    if matches!(result, Err(SendFailure::Net(NetError::Stalled { .. }))) {
        pool.discard_idle();
    }
    match result {
        Err(SendFailure::Net(error)) if is_reused && may_resend(request, &error) => {
            let result = resend(pool, request).await;
            if error.is_not_sent() {
                return result;
            }
            // The first copy may have run, whatever the outcome of the second.
            result
                .map(|response| response.may_have_run(true))
                .map_err(|failure| failure.run_state(RunState::Unknown))
        }
        result => result.map_err(|failure| failure.into_error(address)),
    }
}

async fn resend(
    pool: &UpstreamPool,
    request: &UpstreamRequest,
) -> Result<UpstreamResponse, UpstreamError> {
    let pooled = take_connection(pool, request, ConnectionReuse::New).await?;
    let result = send_once(pool, request, pooled).await;
    result.map_err(|failure| failure.into_error(pool.get_address()))
}

/// Returns how long to wait for the head of the response.
fn head_timeout(pool: &UpstreamPool, request: &UpstreamRequest, is_reused: bool) -> Duration {
    let options = pool.get_options();
    let limit = options.get_read_timeout();
    if is_reused && request.reuse == ConnectionReuse::Any {
        return limit.min(options.get_resend_timeout());
    }
    limit
}

fn may_resend(request: &UpstreamRequest, error: &NetError) -> bool {
    let is_broken = matches!(error, NetError::Exchange { .. } | NetError::Stalled { .. });
    error.is_not_sent() || (request.reuse == ConnectionReuse::Any && is_broken)
}

enum SendFailure {
    Net(NetError),
    Call(UpstreamError),
}

impl SendFailure {
    fn into_error(self, address: SocketAddr) -> UpstreamError {
        match self {
            Self::Net(error) => UpstreamError::from_net(address, &error),
            Self::Call(error) => error,
        }
    }
}

async fn take_connection(
    pool: &UpstreamPool,
    request: &UpstreamRequest,
    reuse: ConnectionReuse,
) -> Result<PooledConnection, UpstreamError> {
    let address = pool.get_address();
    let take = async {
        let result = pool.take(reuse).await;
        result.map_err(|error| UpstreamError::from_net(address, &error))
    };
    let expire = async {
        wait_until_deadline(request.deadline).await;
        Err(deadline_error(address).run_state(RunState::NotRun))
    };
    take.or(expire).await
}

async fn send_once(
    pool: &UpstreamPool,
    request: &UpstreamRequest,
    pooled: PooledConnection,
) -> Result<UpstreamResponse, SendFailure> {
    let address = pool.get_address();
    let message = build_message(address, request).map_err(SendFailure::Call)?;
    let options = pool.get_options();
    let mut connection = pooled.connection;
    let response = {
        let send = async {
            connection.ready().await.map_err(SendFailure::Net)?;
            connection.send(message).await.map_err(SendFailure::Net)
        };
        let limit = head_timeout(pool, request, pooled.is_reused);
        let stall = async {
            Timer::after(limit).await;
            Err(SendFailure::Net(NetError::Stalled { timeout: limit }))
        };
        let expire = async {
            wait_until_deadline(request.deadline).await;
            Err(SendFailure::Call(deadline_error(address)))
        };
        send.or(stall).or(expire).await?
    };
    let (head, body) = response.into_parts();
    let limits = ResponseLimits {
        read_timeout: options.get_read_timeout(),
        deadline: request.deadline,
        max_bytes: options.get_response_max_bytes(),
    };
    Ok(UpstreamResponse {
        status: head.status,
        headers: head.headers,
        body: LimitedBody::new(body, limits),
        connection,
        may_have_run: false,
    })
}

fn build_message(
    address: SocketAddr,
    request: &UpstreamRequest,
) -> Result<Request<BoxBody>, UpstreamError> {
    let invalid = |message: String| {
        UpstreamError::new(UpstreamErrorKind::InvalidCall, address, message)
            .run_state(RunState::NotRun)
    };
    let path: Uri = request
        .path
        .parse()
        .map_err(|error| invalid(format!("the path is malformed: {error}")))?;
    if path.authority().is_some() || !path.path().starts_with('/') {
        return Err(invalid("the path does not start with '/'".to_owned()));
    }
    let mut message = Request::new(full_body(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = path;
    *message.headers_mut() = request.headers.clone();
    let host =
        HeaderValue::from_str(&address.to_string()).map_err(|error| invalid(error.to_string()))?;
    message.headers_mut().insert(header::HOST, host);
    if let Some(credential) = &request.credential {
        message
            .headers_mut()
            .insert(header::AUTHORIZATION, credential.to_header());
    }
    Ok(message)
}

impl UpstreamResponse {
    /// Sets whether an earlier copy of the same request may have run.
    fn may_have_run(mut self, may_have_run: bool) -> Self {
        self.may_have_run = may_have_run;
        self
    }

    /// Reads the body to its end and returns the connection to the pool.
    pub(crate) async fn read_body(
        self,
        pool: &UpstreamPool,
    ) -> Result<BufferedResponse, UpstreamError> {
        let mut body = self.body;
        let mut data = BytesMut::new();
        while let Some(chunk) = body.next().await {
            let chunk = chunk.map_err(|error| body_error(pool.get_address(), &error))?;
            data.extend_from_slice(&chunk);
        }
        pool.put_back(self.connection);
        Ok(BufferedResponse {
            status: self.status,
            headers: self.headers,
            body: data.freeze(),
            may_have_run: self.may_have_run,
        })
    }
}

/// A response whose body was read completely.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    may_have_run: bool,
}

impl BufferedResponse {
    /// Returns whether a refusal in this response proves that the request did not
    /// run; false if an earlier copy of the request may have run.
    pub(crate) fn can_prove_not_run(&self) -> bool {
        !self.may_have_run
    }

    /// Parses the JSON body of a response; fails if its status is not a success.
    pub(crate) fn parse<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
    ) -> Result<T, UpstreamError> {
        if !self.status.is_success() {
            return Err(status_error(address, self));
        }
        serde_json::from_slice(&self.body).map_err(|error| {
            UpstreamError::new(UpstreamErrorKind::Garbage, address, error.to_string())
                .status(self.status)
        })
    }
}

/// Converts a response with an error status into an error.
///
/// An engine that responds with a refusal status has not started any work; see
/// `docs/UPSTREAM-PROTOCOL.md`.
pub(crate) fn status_error(address: SocketAddr, response: &BufferedResponse) -> UpstreamError {
    let text = &response.body[..response.body.len().min(ERROR_TEXT_MAX_BYTES)];
    let text = String::from_utf8_lossy(text);
    let message = format!("status {}: {text}", response.status.as_u16());
    let is_refusal = is_refusal_status(response.status) || is_marked_not_run(&response.headers);
    let kind = if is_refusal {
        UpstreamErrorKind::Refused
    } else {
        UpstreamErrorKind::Failed
    };
    let state = if is_refusal && response.can_prove_not_run() {
        RunState::NotRun
    } else {
        RunState::Unknown
    };
    UpstreamError::new(kind, address, message)
        .run_state(state)
        .status(response.status)
        .retry_after(parse_retry_after(&response.headers))
}

fn is_refusal_status(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::UNAUTHORIZED
            | StatusCode::FORBIDDEN
            | StatusCode::NOT_FOUND
            | StatusCode::METHOD_NOT_ALLOWED
            | StatusCode::CONFLICT
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::UNPROCESSABLE_ENTITY
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Converts a body error into an upstream error.
pub(crate) fn body_error(address: SocketAddr, error: &BodyError) -> UpstreamError {
    match error {
        BodyError::Net { source } => UpstreamError::from_net(address, source),
        BodyError::Deadline => deadline_error(address),
    }
}

fn deadline_error(address: SocketAddr) -> UpstreamError {
    let kind = UpstreamErrorKind::DeadlineExceeded;
    UpstreamError::new(kind, address, "the deadline passed")
}

fn is_expired(deadline: Option<Instant>) -> bool {
    deadline.is_some_and(|deadline| deadline <= Instant::now())
}

async fn wait_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => {
            Timer::at(deadline).await;
        }
        None => std::future::pending().await,
    }
}
