//! HTTP responses to callers and operators.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use ibisdale_core::{HistoryDigest, RequestId, RequestRefusal};
use ibisdale_net::{BoxBody, full_body};
use serde::Serialize;

/// Name of the response header with the identifier of the request.
pub const REQUEST_ID_HEADER: &str = "request-id";
/// Name of the request and response header with the digest of a program's history.
pub const DIGEST_HEADER: &str = "history-digest";

const JSON_TYPE: HeaderValue = HeaderValue::from_static("application/json");
const EVENT_STREAM_TYPE: HeaderValue = HeaderValue::from_static("text/event-stream");
const TEXT_TYPE: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

/// Head of a response ("answer"): status, request identifier and optional digest.
#[derive(Clone, Copy, Debug)]
pub struct AnswerHead {
    request_id: RequestId,
    status: StatusCode,
    digest: Option<HistoryDigest>,
}

impl AnswerHead {
    /// Creates a head with status 200 and no digest.
    #[must_use]
    pub fn new(request_id: RequestId) -> Self {
        Self {
            request_id,
            status: StatusCode::OK,
            digest: None,
        }
    }

    /// Sets the status.
    #[must_use]
    pub fn status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// Sets the history digest.
    #[must_use]
    pub fn digest(mut self, digest: HistoryDigest) -> Self {
        self.digest = Some(digest);
        self
    }

    fn build(self, content_type: HeaderValue, body: BoxBody) -> Response<BoxBody> {
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, content_type);
        headers.insert(
            REQUEST_ID_HEADER,
            header_value(&self.request_id.to_string()),
        );
        if let Some(digest) = self.digest {
            headers.insert(DIGEST_HEADER, header_value(&digest.to_string()));
        }
        response
    }
}

// Request identifiers, digests and numbers are visible ASCII, so the fallback is never
// used.
fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn serialize_json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// Builds a JSON response.
pub fn json_answer(head: AnswerHead, value: &impl Serialize) -> Response<BoxBody> {
    head.build(JSON_TYPE, full_body(serialize_json(value)))
}

/// Builds a plain-text response.
pub fn text_answer(head: AnswerHead, text: impl Into<Bytes>) -> Response<BoxBody> {
    head.build(TEXT_TYPE, full_body(text))
}

/// Builds a response whose body is a stream of server-sent events.
#[must_use]
pub fn stream_answer(head: AnswerHead, body: BoxBody) -> Response<BoxBody> {
    let mut response = head.build(EVENT_STREAM_TYPE, body);
    let headers = response.headers_mut();
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: RefusalDetail<'a>,
}

#[derive(Serialize)]
struct RefusalDetail<'a> {
    #[serde(flatten)]
    refusal: &'a RequestRefusal,
    request_id: RequestId,
}

fn refusal_body(request_id: RequestId, refusal: &RequestRefusal) -> Bytes {
    serialize_json(&RefusalBody {
        error: RefusalDetail {
            refusal,
            request_id,
        },
    })
}

/// Builds the response for a refusal, with its status and `Retry-After`.
#[must_use]
pub fn refusal_answer(request_id: RequestId, refusal: &RequestRefusal) -> Response<BoxBody> {
    let status = StatusCode::from_u16(refusal.get_code().http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let head = AnswerHead::new(request_id).status(status);
    let mut response = head.build(JSON_TYPE, full_body(refusal_body(request_id, refusal)));
    if let Some(delay) = refusal.get_retry_after() {
        let seconds = round_up_to_seconds(delay).to_string();
        response
            .headers_mut()
            .insert(RETRY_AFTER, header_value(&seconds));
    }
    response
}

/// Rounds up to whole seconds: a caller that retries early is refused again.
fn round_up_to_seconds(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}

/// Encodes a refusal as the last event of a stream whose head has been sent.
#[must_use]
pub fn refusal_event(request_id: RequestId, refusal: &RequestRefusal) -> Bytes {
    event_bytes(&refusal_body(request_id, refusal))
}

/// Encodes one server-sent event; `data` must not contain line breaks.
#[must_use]
pub fn event_bytes(data: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(data.len() + 8);
    event.put_slice(b"data: ");
    event.put_slice(data);
    event.put_slice(b"\n\n");
    event.freeze()
}
