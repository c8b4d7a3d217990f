//! Validation of a request's head before its body is read.

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderMap, Version};
use ibisdale_core::{AttemptKey, HistoryDigest, RefusalCode, RequestRefusal};

use crate::answer::DIGEST_HEADER;

/// Name of the header with the key of an attempt at a step.
pub const ATTEMPT_HEADER: &str = "attempt-key";

const BEARER_PREFIX: &[u8] = b"bearer ";

fn bad_request(message: &str) -> RequestRefusal {
    RequestRefusal::new(RefusalCode::BadRequest, message)
}

/// Refuses ambiguous request heads, which another HTTP implementation might interpret
/// differently.
///
/// # Errors
///
/// Refuses versions other than HTTP/1.1, a missing or repeated `Host`, and a repeated
/// `Content-Length`, `Transfer-Encoding` or `Authorization`. A request with both
/// `Content-Length` and `Transfer-Encoding: chunked` is accepted: hyper has already
/// removed its `Content-Length` and decodes the body as chunked.
pub fn check_head(parts: &Parts) -> Result<(), RequestRefusal> {
    if parts.version != Version::HTTP_11 {
        let message = "only HTTP/1.1 is supported";
        return Err(RequestRefusal::new(
            RefusalCode::UnsupportedVersion,
            message,
        ));
    }
    let headers = &parts.headers;
    if headers.get_all(HOST).iter().count() != 1 {
        return Err(bad_request("exactly one Host header is required"));
    }
    for name in [CONTENT_LENGTH, TRANSFER_ENCODING, AUTHORIZATION] {
        if headers.get_all(&name).iter().count() > 1 {
            return Err(bad_request(&format!(
                "header {name} is given more than once"
            )));
        }
    }
    Ok(())
}

/// Returns the key from `Authorization: Bearer KEY`, or `None` without that header.
///
/// # Errors
///
/// Refuses other schemes and a repeated header.
pub fn bearer_key(headers: &HeaderMap) -> Result<Option<Bytes>, RequestRefusal> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request("header authorization is given more than once"));
    }
    let bytes = value.as_bytes();
    let has_scheme = bytes.len() > BEARER_PREFIX.len()
        && bytes[..BEARER_PREFIX.len()].eq_ignore_ascii_case(BEARER_PREFIX);
    if !has_scheme {
        let message = "the key comes as 'Authorization: Bearer KEY'";
        return Err(RequestRefusal::new(RefusalCode::UnknownKey, message));
    }
    Ok(Some(Bytes::copy_from_slice(
        bytes[BEARER_PREFIX.len()..].trim_ascii(),
    )))
}

/// Parsed headers of a step request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepHeaders {
    /// The key of the attempt; without one the caller can't retry the attempt.
    pub attempt_key: Option<AttemptKey>,
    /// Digest of the history to which the caller adds the step.
    pub digest: Option<HistoryDigest>,
}

/// Parses the headers of a step request.
///
/// # Errors
///
/// Refuses malformed values.
pub fn step_headers(headers: &HeaderMap) -> Result<StepHeaders, RequestRefusal> {
    let mut step = StepHeaders::default();
    if let Some(value) = headers.get(ATTEMPT_HEADER) {
        let key = AttemptKey::new(Bytes::copy_from_slice(value.as_bytes()));
        step.attempt_key =
            Some(key.map_err(|error| bad_request(&format!("Attempt-Key: {error}")))?);
    }
    if let Some(value) = headers.get(DIGEST_HEADER) {
        let text = value.to_str().unwrap_or_default();
        let digest = text.parse();
        step.digest =
            Some(digest.map_err(|_| bad_request("History-Digest: not a history digest"))?);
    }
    Ok(step)
}
