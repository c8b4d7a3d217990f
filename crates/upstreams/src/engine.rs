//! Chat calls to a model engine.

use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::header::{self, HeaderMap, HeaderValue};
use ibisdale_core::ProgramId;

use crate::chat::ChatStream;
use crate::credential::UpstreamCredential;
use crate::error::{UpstreamError, UpstreamErrorKind};
use crate::exchange::{UpstreamRequest, send_request, status_error};
use crate::headers::{
    FENCING_NUMBER, PRIORITY, RESUME_FROM, RESUMED_FROM, SESSION_ID, TRACEPARENT, number_value,
    parse_number,
};
use crate::pool::{ConnectionReuse, UpstreamPool};

const CHAT_PATH: &str = "/v1/chat/completions";
const JSON_TYPE: &str = "application/json";
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// A chat call.
///
/// The body is an `OpenAI` chat completion request with `"stream": true`.
#[derive(Clone, Debug)]
pub struct ChatCall {
    body: Bytes,
    session: ProgramId,
    priority: i32,
    fencing_number: u64,
    deadline: Option<Instant>,
    resume_from: u32,
    traceparent: Option<HeaderValue>,
    credential: Option<UpstreamCredential>,
}

impl ChatCall {
    /// Creates a call in the session of the given program.
    pub fn new(body: impl Into<Bytes>, session: ProgramId) -> Self {
        Self {
            body: body.into(),
            session,
            priority: 0,
            fencing_number: 0,
            deadline: None,
            resume_from: 0,
            traceparent: None,
            credential: None,
        }
    }

    /// Sets the priority; higher values are served first.
    #[must_use]
    pub fn priority(mut self, priority: i32) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the fencing number, which is the epoch of the program's owner.
    #[must_use]
    pub fn fencing_number(mut self, number: u64) -> Self {
        self.fencing_number = number;
        self
    }

    /// Sets the time by which the response must be complete.
    #[must_use]
    pub fn deadline(mut self, deadline: Instant) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Sets the index of the token to resume from after a truncated stream of the
    /// same call; zero starts from the beginning.
    #[must_use]
    pub fn resume_from(mut self, token: u32) -> Self {
        self.resume_from = token;
        self
    }

    /// Sets the trace context; a malformed one is ignored.
    #[must_use]
    pub fn traceparent(mut self, traceparent: &str) -> Self {
        self.traceparent = HeaderValue::from_str(traceparent).ok();
        self
    }

    /// Sets the credential that authenticates the client to the engine.
    #[must_use]
    pub fn credential(mut self, credential: UpstreamCredential) -> Self {
        self.credential = Some(credential);
        self
    }

    /// Returns the program whose session the call belongs to.
    #[must_use]
    pub fn get_session(&self) -> ProgramId {
        self.session
    }

    fn into_request(self) -> UpstreamRequest {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(JSON_TYPE));
        headers.insert(header::ACCEPT, HeaderValue::from_static(EVENT_STREAM_TYPE));
        if let Ok(session) = HeaderValue::from_str(&self.session.to_string()) {
            headers.insert(SESSION_ID, session);
        }
        headers.insert(PRIORITY, number_value(self.priority));
        headers.insert(FENCING_NUMBER, number_value(self.fencing_number));
        if self.resume_from > 0 {
            headers.insert(RESUME_FROM, number_value(self.resume_from));
        }
        if let Some(traceparent) = self.traceparent {
            headers.insert(TRACEPARENT, traceparent);
        }
        UpstreamRequest {
            headers,
            body: self.body,
            credential: self.credential,
            deadline: self.deadline,
            reuse: ConnectionReuse::Recent,
            ..UpstreamRequest::new(Method::POST, CHAT_PATH)
        }
    }
}

/// Sends chat calls to one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    pool: UpstreamPool,
}

impl EngineClient {
    /// Creates a client on the engine's pool.
    #[must_use]
    pub fn new(pool: UpstreamPool) -> Self {
        Self { pool }
    }

    /// Sends a call and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the engine is unreachable, refuses the call, or returns anything
    /// but an event stream. [`UpstreamError::get_run_state`] tells whether the
    /// call ran, if that is known.
    pub async fn chat(&self, call: ChatCall) -> Result<ChatStream, UpstreamError> {
        let resume_from = call.resume_from;
        let request = call.into_request();
        let response = send_request(&self.pool, &request).await?;
        if !response.status.is_success() {
            let response = response.read_body(&self.pool).await?;
            return Err(status_error(self.pool.get_address(), &response));
        }
        if let Some(message) = find_head_error(&response.headers, resume_from) {
            let kind = UpstreamErrorKind::Garbage;
            let error = UpstreamError::new(kind, self.pool.get_address(), message);
            return Err(error.status(response.status));
        }
        Ok(ChatStream::new(self.pool.clone(), response))
    }
}

/// Returns why the head of a successful response is unacceptable, if it is.
fn find_head_error(headers: &HeaderMap, resume_from: u32) -> Option<&'static str> {
    let content_type = headers.get(header::CONTENT_TYPE);
    if !content_type.is_some_and(is_event_stream) {
        return Some("the response is not an event stream");
    }
    let start = headers.get(RESUMED_FROM).and_then(parse_number);
    if start.unwrap_or(0) != resume_from {
        return Some("the response does not resume at the requested token");
    }
    None
}

fn is_event_stream(value: &HeaderValue) -> bool {
    let kind = value.as_bytes().split(|byte| *byte == b';').next();
    kind.is_some_and(|kind| {
        kind.trim_ascii()
            .eq_ignore_ascii_case(EVENT_STREAM_TYPE.as_bytes())
    })
}
