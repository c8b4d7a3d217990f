//! Parsing of response heads and serialization of requests.

use std::ops::RangeInclusive;

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use super::error::ExchangeError;
use super::framing::BodyDecoder;

/// Maximum size of a response head, in bytes.
const HEAD_MAX_BYTES: usize = 32 * 1_024;
/// Maximum number of header fields in a response.
const HEAD_MAX_HEADERS: usize = 64;

/// Status codes of the protocol.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// A parsed response head.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Header fields as received.
    pub headers: HeaderMap,
    /// Decoder of the body that follows.
    pub decoder: BodyDecoder,
    /// Whether the connection can carry another request after this response.
    pub is_keep_alive: bool,
}

/// Parses and removes a response head from `buffer`; returns `None` if it is incomplete.
pub(crate) fn parse_head(buffer: &mut BytesMut) -> Result<Option<ResponseHead>, ExchangeError> {
    let mut fields = [httparse::EMPTY_HEADER; HEAD_MAX_HEADERS];
    let mut response = httparse::Response::new(&mut fields);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= HEAD_MAX_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => {
            return Err(ExchangeError::InvalidResponse {
                reason: "large head",
            });
        }
        Err(_) => return Err(ExchangeError::InvalidResponse { reason: "head" }),
    };
    let status = response.code.unwrap_or_default();
    if !STATUSES.contains(&status) {
        return Err(ExchangeError::InvalidResponse { reason: "status" });
    }
    let is_http11 = response.version == Some(1);
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for field in response.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(ExchangeError::InvalidResponse { reason: "field" });
        };
        headers.append(name, value);
    }
    buffer.advance(length);
    let decoder = BodyDecoder::from_head(status, &headers)?;
    let is_closing = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    Ok(Some(ResponseHead {
        status,
        is_keep_alive: is_http11 && !is_closing && decoder != BodyDecoder::UntilClose,
        headers,
        decoder,
    }))
}

/// Largest body that is sent in one write with its head, in bytes.
const INLINE_BODY_MAX: usize = 16 * 1_024;

/// Serializes a request with its entire body.
///
/// `headers` must not contain `Content-Length` or `Transfer-Encoding`: the length is
/// set here and the body is not chunked.
#[must_use]
pub fn serialize_request(
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    body: &Bytes,
) -> Bytes {
    let mut message = serialize_head(method, target, headers, body.len());
    message.extend_from_slice(body);
    Bytes::from(message)
}

/// Serializes a request in two parts to send one after the other; a large body is the second
/// part and is not copied.
#[must_use]
pub fn serialize_parts(
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    body: &Bytes,
) -> [Bytes; 2] {
    if body.len() <= INLINE_BODY_MAX {
        return [
            serialize_request(method, target, headers, body),
            Bytes::new(),
        ];
    }
    let head = serialize_head(method, target, headers, body.len());
    [Bytes::from(head), body.clone()]
}

fn serialize_head(
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    body_length: usize,
) -> Vec<u8> {
    let mut message = Vec::with_capacity(512 + body_length.min(INLINE_BODY_MAX));
    message.extend_from_slice(method.as_str().as_bytes());
    message.push(b' ');
    message.extend_from_slice(target.as_bytes());
    message.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in headers {
        message.extend_from_slice(name.as_str().as_bytes());
        message.extend_from_slice(b": ");
        message.extend_from_slice(value.as_bytes());
        message.extend_from_slice(b"\r\n");
    }
    let sends_length = body_length > 0 || !matches!(*method, Method::GET | Method::HEAD);
    if sends_length {
        message.extend_from_slice(format!("content-length: {body_length}\r\n").as_bytes());
    }
    message.extend_from_slice(b"\r\n");
    message
}
