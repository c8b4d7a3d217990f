//! Where the body of an answer ends.

use bytes::{Buf, Bytes, BytesMut};
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

use super::error::ExchangeError;

/// Longest line of a chunk's size with its extensions, in bytes.
const CHUNK_LINE_MAX_BYTES: usize = 4_096;

/// How much of a body is still to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body is complete.
    Done,
    /// That many bytes are left.
    Length(u64),
    /// A chunk's size line is next.
    ChunkSize,
    /// That many bytes of a chunk are left.
    ChunkData(u64),
    /// The line end after a chunk is next.
    ChunkEnd,
    /// The trailer after the last chunk is next.
    Trailer,
    /// The body ends with the connection.
    UntilClose,
}

impl BodyFraming {
    /// Reads the framing from the head of an answer.
    ///
    /// # Errors
    ///
    /// Fails when the head announces two different lengths or an unknown coding.
    pub(crate) fn from_head(status: u16, headers: &HeaderMap) -> Result<Self, ExchangeError> {
        if status < 200 || status == 204 || status == 304 {
            return Ok(Self::Done);
        }
        if let Some(coding) = headers.get(TRANSFER_ENCODING) {
            let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if !is_chunked || headers.contains_key(CONTENT_LENGTH) {
                return Err(ExchangeError::Unreadable {
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
            return Err(ExchangeError::Unreadable {
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
            None => Err(ExchangeError::Unreadable {
                reason: "no number as length",
            }),
        }
    }

    /// Takes the next data out of `buffer`; `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails when the chunks are malformed.
    pub(crate) fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match *self {
                Self::Done => return Ok(None),
                Self::UntilClose => {
                    return Ok((!buffer.is_empty()).then(|| buffer.split().freeze()));
                }
                Self::Length(left) => return Ok(self.take_counted(buffer, left, Self::Length)),
                Self::ChunkData(left) => {
                    return Ok(self.take_counted(buffer, left, Self::ChunkData));
                }
                Self::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((line, size))) => {
                        buffer.advance(line);
                        *self = if size == 0 {
                            Self::Trailer
                        } else {
                            Self::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= CHUNK_LINE_MAX_BYTES => {
                        return Ok(None);
                    }
                    _ => {
                        return Err(ExchangeError::Unreadable {
                            reason: "chunk size",
                        });
                    }
                },
                Self::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(ExchangeError::Unreadable {
                            reason: "chunk end",
                        });
                    }
                    buffer.advance(2);
                    *self = Self::ChunkSize;
                }
                Self::Trailer => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if buffer.len() > CHUNK_LINE_MAX_BYTES {
                            return Err(ExchangeError::Unreadable { reason: "trailer" });
                        }
                        return Ok(None);
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        *self = Self::Done;
                    }
                }
            }
        }
    }

    fn take_counted(
        &mut self,
        buffer: &mut BytesMut,
        left: u64,
        rest: fn(u64) -> Self,
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
            _ => rest(left),
        };
        Some(data)
    }
}
