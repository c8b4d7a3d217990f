//! Request and response headers of upstream calls, and their allow lists.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Session that a call belongs to.
pub(crate) const SESSION_ID: HeaderName = HeaderName::from_static("session-id");
/// Priority of a call; higher values are served first.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Fencing number of a call or control request.
pub(crate) const FENCING_NUMBER: HeaderName = HeaderName::from_static("fencing-number");
/// Index of the token that the response should resume from.
pub(crate) const RESUME_FROM: HeaderName = HeaderName::from_static("resume-from");
/// Index of the token that the response resumes from.
pub(crate) const RESUMED_FROM: HeaderName = HeaderName::from_static("resumed-from");
/// Run state of a refused request; `not_run` states that it did not run.
pub(crate) const RUN_STATE: HeaderName = HeaderName::from_static("run-state");
/// Key by which a service recognises repeated requests and runs them once.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// W3C trace context.
pub(crate) const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Headers of a caller that may be forwarded to a service.
const FORWARDED_HEADERS: [HeaderName; 7] = [
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_LANGUAGE,
    header::CONTENT_TYPE,
    IDEMPOTENCY_KEY,
    HeaderName::from_static("request-id"),
    TRACEPARENT,
];

/// Headers of a service that may be returned to the caller.
const RETURNED_HEADERS: [HeaderName; 6] = [
    header::CONTENT_LANGUAGE,
    header::CONTENT_TYPE,
    header::ETAG,
    header::LAST_MODIFIED,
    header::LOCATION,
    header::RETRY_AFTER,
];

/// Returns the caller's headers that may be forwarded to a service.
pub(crate) fn filter_forwarded(headers: &HeaderMap) -> HeaderMap {
    filter_headers(headers, &FORWARDED_HEADERS)
}

/// Returns the service's headers that may be returned to the caller.
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

/// Formats a number as a header value.
pub(crate) fn number_value(number: impl Into<i128>) -> HeaderValue {
    let text = number.into().to_string();
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("0"))
}

/// Parses a decimal `u32`; returns `None` if it is malformed.
pub(crate) fn parse_number(value: &HeaderValue) -> Option<u32> {
    value.to_str().ok()?.parse().ok()
}

/// Parses `Retry-After` in seconds; HTTP dates are not supported.
pub(crate) fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Returns whether the response states that its request did not run.
pub(crate) fn is_marked_not_run(headers: &HeaderMap) -> bool {
    headers
        .get(RUN_STATE)
        .is_some_and(|value| value.as_bytes() == b"not_run")
}
