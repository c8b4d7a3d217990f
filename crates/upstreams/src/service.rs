//! Calls to services other than model engines.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use ibisdale_core::RunState;

use crate::credential::UpstreamCredential;
use crate::error::UpstreamError;
use crate::exchange::{BufferedResponse, UpstreamRequest, send_request};
use crate::headers::{
    IDEMPOTENCY_KEY, TRACEPARENT, filter_forwarded, filter_returned, is_marked_not_run,
    parse_retry_after,
};
use crate::pool::{ConnectionReuse, UpstreamPool};

/// A call to a service.
///
/// A call that is not idempotent is sent on a new connection, and the client
/// never repeats it.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    is_idempotent: bool,
    deadline: Option<Instant>,
    credential: Option<UpstreamCredential>,
}

impl ServiceCall {
    /// Creates a call that is not idempotent; `path` starts with `/`.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            is_idempotent: false,
            deadline: None,
            credential: None,
        }
    }

    /// Sets the body; without a `Content-Type` header it is sent as JSON.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Replaces the call's headers with those in `headers` that may be forwarded to
    /// a service.
    #[must_use]
    pub fn headers(mut self, headers: &HeaderMap) -> Self {
        self.headers = filter_forwarded(headers);
        self
    }

    /// Sets the key by which the service recognises repeated calls; a malformed
    /// one is ignored.
    #[must_use]
    pub fn idempotency_key(mut self, key: &str) -> Self {
        if let Ok(key) = HeaderValue::from_str(key) {
            self.headers.insert(IDEMPOTENCY_KEY, key);
        }
        self
    }

    /// Sets the trace context; a malformed one is ignored.
    #[must_use]
    pub fn traceparent(mut self, traceparent: &str) -> Self {
        if let Ok(traceparent) = HeaderValue::from_str(traceparent) {
            self.headers.insert(TRACEPARENT, traceparent);
        }
        self
    }

    /// Sets whether the call may run more than once.
    #[must_use]
    pub fn idempotent(mut self, is_idempotent: bool) -> Self {
        self.is_idempotent = is_idempotent;
        self
    }

    /// Sets the time by which the response must be complete.
    #[must_use]
    pub fn deadline(mut self, deadline: Instant) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Sets the credential that authenticates the client to the service.
    #[must_use]
    pub fn credential(mut self, credential: UpstreamCredential) -> Self {
        self.credential = Some(credential);
        self
    }

    fn into_request(mut self) -> UpstreamRequest {
        if !self.body.is_empty() && !self.headers.contains_key(header::CONTENT_TYPE) {
            let json = HeaderValue::from_static("application/json");
            self.headers.insert(header::CONTENT_TYPE, json);
        }
        let reuse = if self.is_idempotent {
            ConnectionReuse::Any
        } else {
            ConnectionReuse::New
        };
        UpstreamRequest {
            method: self.method,
            path: self.path,
            headers: self.headers,
            body: self.body,
            credential: self.credential,
            deadline: self.deadline,
            reuse,
        }
    }
}

/// A service's complete response, of any status.
#[derive(Clone, Debug)]
pub struct ServiceReply {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    run_state: RunState,
    retry_after: Option<Duration>,
}

impl ServiceReply {
    fn new(response: BufferedResponse) -> Self {
        let is_marked_not_run = is_marked_not_run(&response.headers);
        let run_state = if is_marked_not_run && response.can_prove_not_run() {
            RunState::NotRun
        } else if is_marked_not_run || response.status.is_server_error() {
            RunState::Unknown
        } else {
            RunState::Ran
        };
        Self {
            status: response.status,
            headers: filter_returned(&response.headers),
            retry_after: parse_retry_after(&response.headers),
            body: response.body,
            run_state,
        }
    }

    /// Returns the HTTP status.
    #[must_use]
    pub fn get_status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers that may be returned to the caller.
    #[must_use]
    pub fn get_headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns the complete body.
    #[must_use]
    pub fn get_body(&self) -> &Bytes {
        &self.body
    }

    /// Returns whether the call ran.
    ///
    /// If the service states that it did not, the state is [`RunState::NotRun`], or
    /// [`RunState::Unknown`] when an earlier copy of the call may have run. Other
    /// server errors give [`RunState::Unknown`], all other responses
    /// [`RunState::Ran`].
    #[must_use]
    pub fn get_run_state(&self) -> RunState {
        self.run_state
    }

    /// Returns the delay of the service's `Retry-After` header, if present.
    #[must_use]
    pub fn get_retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// Sends calls to one replica of a service.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    pool: UpstreamPool,
}

impl ServiceClient {
    /// Creates a client on the replica's pool.
    #[must_use]
    pub fn new(pool: UpstreamPool) -> Self {
        Self { pool }
    }

    /// Sends a call and reads its complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response is received; [`UpstreamError::get_run_state`]
    /// tells whether the call ran, if that is known.
    pub async fn call(&self, call: ServiceCall) -> Result<ServiceReply, UpstreamError> {
        let request = call.into_request();
        let response = send_request(&self.pool, &request).await?;
        let response = response.read_body(&self.pool).await?;
        Ok(ServiceReply::new(response))
    }
}
