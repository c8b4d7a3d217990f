//! Heads of requests and answers.

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use super::error::ExchangeError;
use super::framing::BodyFraming;

/// Largest head of an answer, in bytes.
const HEAD_MAX_BYTES: usize = 32 * 1_024;
/// Most header fields of an answer.
const HEAD_MAX_FIELDS: usize = 64;

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header fields as received.
    pub headers: HeaderMap,
    /// Framing of the body that follows.
    pub framing: BodyFraming,
    /// Tells whether the connection can carry another request afterwards.
    pub is_kept: bool,
}

/// Takes a head out of `buffer`; `None` when more bytes are needed.
pub(crate) fn take_head(buffer: &mut BytesMut) -> Result<Option<ResponseHead>, ExchangeError> {
    let mut fields = [httparse::EMPTY_HEADER; HEAD_MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= HEAD_MAX_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => {
            return Err(ExchangeError::Unreadable {
                reason: "large head",
            });
        }
        Err(_) => return Err(ExchangeError::Unreadable { reason: "head" }),
    };
    let status = response.code.unwrap_or_default();
    let is_http11 = response.version == Some(1);
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for field in response.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(ExchangeError::Unreadable { reason: "field" });
        };
        headers.append(name, value);
    }
    buffer.advance(length);
    let framing = BodyFraming::from_head(status, &headers)?;
    let is_closing = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    Ok(Some(ResponseHead {
        status,
        is_kept: is_http11 && !is_closing && framing != BodyFraming::UntilClose,
        headers,
        framing,
    }))
}

/// Writes a request with its whole body.
///
/// `headers` must not hold a length or a transfer coding: both are set here.
#[must_use]
pub fn write_request(method: &Method, target: &str, headers: &HeaderMap, body: &Bytes) -> Bytes {
    let mut message = Vec::with_capacity(512 + body.len());
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
    let has_body = !body.is_empty() || !matches!(*method, Method::GET | Method::HEAD);
    if has_body {
        message.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    message.extend_from_slice(b"\r\n");
    message.extend_from_slice(body);
    Bytes::from(message)
}
