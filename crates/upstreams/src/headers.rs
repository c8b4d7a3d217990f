//! Headers that go upstream and those that come back.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Names the session that a call belongs to.
pub(crate) const SESSION_ID: HeaderName = HeaderName::from_static("session-id");
/// Priority of a call; higher goes first.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Fencing number of a call or order.
pub(crate) const FENCING_NUMBER: HeaderName = HeaderName::from_static("fencing-number");
/// Token that an answer is to go on from.
pub(crate) const RESUME_FROM: HeaderName = HeaderName::from_static("resume-from");
/// Token that an answer goes on from.
pub(crate) const RESUMED_FROM: HeaderName = HeaderName::from_static("resumed-from");
/// Says that a refused request has not run.
pub(crate) const RUN_STATE: HeaderName = HeaderName::from_static("run-state");
/// Identifies a request whose repetition must not run twice.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Trace context as published by the W3C.
pub(crate) const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// A caller's headers that may go on to a service.
const FORWARDED_HEADERS: [HeaderName; 7] = [
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_LANGUAGE,
    header::CONTENT_TYPE,
    IDEMPOTENCY_KEY,
    HeaderName::from_static("request-id"),
    TRACEPARENT,
];

/// A service's headers that may go back to the caller.
const RETURNED_HEADERS: [HeaderName; 6] = [
    header::CONTENT_LANGUAGE,
    header::CONTENT_TYPE,
    header::ETAG,
    header::LAST_MODIFIED,
    header::LOCATION,
    header::RETRY_AFTER,
];

/// Returns those of a caller's headers that may go on to a service.
pub(crate) fn filter_forwarded(headers: &HeaderMap) -> HeaderMap {
    filter_headers(headers, &FORWARDED_HEADERS)
}

/// Returns those of a service's headers that may go back to the caller.
pub(crate) fn filter_returned(headers: &HeaderMap) -> HeaderMap {
    filter_headers(headers, &RETURNED_HEADERS)
}

fn filter_headers(headers: &HeaderMap, allowed: &[HeaderName]) -> HeaderMap {
    let mut filtered = HeaderMap::new();
    for name in allowed {
        if let Some(value) = headers.get(name) {
            filtered.insert(name.clone(), value.clone());
        }
    }
    filtered
}

/// Returns the value of a header that holds a number.
pub(crate) fn number_value(number: impl Into<i128>) -> HeaderValue {
    let text = number.into().to_string();
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("0"))
}

/// Returns the number that a header holds.
pub(crate) fn read_number(value: &HeaderValue) -> Option<u32> {
    value.to_str().ok()?.parse().ok()
}

/// Returns the delay that `Retry-After` asks for, in whole seconds.
pub(crate) fn read_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Tells whether an answer says that its request has not run.
pub(crate) fn is_marked_not_run(headers: &HeaderMap) -> bool {
    headers
        .get(RUN_STATE)
        .is_some_and(|value| value.as_bytes() == b"not_run")
}
