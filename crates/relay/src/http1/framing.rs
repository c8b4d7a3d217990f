//! Framing of response bodies.

use bytes::{Buf, Bytes, BytesMut};
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

use super::error::ExchangeError;

/// Maximum length of a chunk size line with extensions or of a trailer line, in bytes.
const CHUNK_LINE_MAX_BYTES: usize = 4_096;

/// Maximum length of a trailer section, in bytes.
const TRAILER_MAX_BYTES: usize = 32 * 1_024;

/// Decoder of a response body; the variant identifies the next part of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyDecoder {
    /// The body is complete.
    Done,
    /// This many bytes of a body with `Content-Length` remain.
    Length(u64),
    /// The size line of a chunk is next.
    ChunkSize,
    /// This many bytes of the current chunk remain.
    ChunkData(u64),
    /// The CRLF after the chunk data is next.
    ChunkEnd,
    /// A line of the trailer section after the last chunk is next; that many bytes of the
    /// section have been read.
    Trailer(usize),
    /// The body extends to the end of the connection.
    UntilClose,
}

impl BodyDecoder {
    /// Creates the decoder for the body framing given by a response head.
    ///
    /// # Errors
    ///
    /// Fails if the head has an invalid `Content-Length`, conflicting lengths, a
    /// transfer coding other than `chunked`, or both a coding and a length.
    pub(crate) fn from_head(status: u16, headers: &HeaderMap) -> Result<Self, ExchangeError> {
        if status < 200 || status == 204 || status == 304 {
            return Ok(Self::Done);
        }
        if let Some(coding) = headers.get(TRANSFER_ENCODING) {
            let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if !is_chunked || headers.contains_key(CONTENT_LENGTH) {
                return Err(ExchangeError::InvalidResponse {
                    reason: "unclear transfer coding",
                });
            }
            return Ok(Self::ChunkSize);
        }
        let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
        let Some(first) = lengths.next() else {
            return Ok(Self::UntilClose);
        };
        if lengths.any(|other| other != first) {
            return Err(ExchangeError::InvalidResponse {
                reason: "two lengths",
            });
        }
        let digits = first
            .to_str()
            .ok()
            .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        match digits.and_then(|text| text.parse().ok()) {
            Some(0) => Ok(Self::Done),
            Some(length) => Ok(Self::Length(length)),
            None => Err(ExchangeError::InvalidResponse {
                reason: "no number as length",
            }),
        }
    }

    /// Decodes the next body data from `buffer`; returns `None` if more bytes are
    /// needed or the body is complete.
    ///
    /// # Errors
    ///
    /// Fails if the chunked coding is malformed.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match *self {
                Self::Done => return Ok(None),
                Self::UntilClose => {
                    return Ok((!buffer.is_empty()).then(|| buffer.split().freeze()));
                }
                Self::Length(left) => return Ok(self.take_data(buffer, left, Self::Length)),
                Self::ChunkData(left) => {
                    return Ok(self.take_data(buffer, left, Self::ChunkData));
                }
                Self::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((line_length, size))) => {
                        buffer.advance(line_length);
                        *self = if size == 0 {
                            Self::Trailer(0)
                        } else {
                            Self::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= CHUNK_LINE_MAX_BYTES => {
                        return Ok(None);
                    }
                    _ => {
                        return Err(ExchangeError::InvalidResponse {
                            reason: "chunk size",
                        });
                    }
                },
                Self::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(ExchangeError::InvalidResponse {
                            reason: "chunk end",
                        });
                    }
                    buffer.advance(2);
                    *self = Self::ChunkSize;
                }
                Self::Trailer(read) => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if buffer.len() > CHUNK_LINE_MAX_BYTES {
                            return Err(ExchangeError::InvalidResponse { reason: "trailer" });
                        }
                        return Ok(None);
                    };
                    buffer.advance(end + 2);
                    let read = read + end + 2;
                    if read > TRAILER_MAX_BYTES {
                        return Err(ExchangeError::InvalidResponse { reason: "trailer" });
                    }
                    *self = if end == 0 {
                        Self::Done
                    } else {
                        Self::Trailer(read)
                    };
                }
            }
        }
    }

    fn take_data(
        &mut self,
        buffer: &mut BytesMut,
        left: u64,
        with_remaining: fn(u64) -> Self,
    ) -> Option<Bytes> {
        if buffer.is_empty() {
            return None;
        }
        let size = usize::try_from(left).map_or(buffer.len(), |left| left.min(buffer.len()));
        let data = buffer.split_to(size).freeze();
        let left = left - size as u64;
        *self = match (left, *self) {
            (0, Self::Length(_)) => Self::Done,
            (0, _) => Self::ChunkEnd,
            _ => with_remaining(left),
        };
        Some(data)
    }
}
