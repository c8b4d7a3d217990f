//! Incremental splitting of a server-sent event stream into events.

use bytes::{Bytes, BytesMut};

/// Largest buffer that is kept between events, in bytes.
const KEPT_BUFFER_BYTES: usize = 8 * 1_024;

/// A complete event as received, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Value of the `id` field; `None` if there is none or it is no number.
    pub id: Option<u64>,
    /// Whether there is an `id` field that is no number.
    pub has_invalid_id: bool,
    /// Bytes of the event as received.
    pub raw: Bytes,
}

impl StreamEvent {
    /// Returns whether the block holds nothing but comments, as servers send to keep a connection
    /// open.
    #[must_use]
    pub fn is_comment(&self) -> bool {
        let mut lines = self.raw.split(|byte| *byte == b'\n');
        lines.all(|line| matches!(line, [] | b"\r" | [b':', ..]))
    }
}

/// Buffers received bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of buffered bytes already searched for the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the memory of the buffer, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Releases the memory of a large buffer that is empty.
    pub fn shrink(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
    }

    /// Returns the size of the incomplete event in the buffer, in bytes.
    #[must_use]
    pub fn partial_size(&self) -> usize {
        self.buffer.len()
    }

    /// Discards all buffered bytes.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Removes and returns the next complete event, if the buffer holds one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.scanned = 0;
        let raw = self.buffer.split_to(end).freeze();
        let value = find_id(&raw);
        let id = value.and_then(parse_number);
        Some(StreamEvent {
            id,
            has_invalid_id: value.is_some() && id.is_none(),
            raw,
        })
    }

    fn find_end(&mut self) -> Option<usize> {
        // A separator of up to four bytes may begin in the bytes scanned before.
        let start = self.scanned.saturating_sub(3);
        let tail = &self.buffer[start..];
        let lf = tail.windows(2).position(|pair| pair == b"\n\n");
        let crlf = tail.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        self.scanned = self.buffer.len();
        match (lf, crlf) {
            (Some(lf), Some(crlf)) if crlf < lf => Some(start + crlf + 4),
            (Some(lf), _) => Some(start + lf + 2),
            (None, Some(crlf)) => Some(start + crlf + 4),
            (None, None) => None,
        }
    }
}

fn find_id(event: &[u8]) -> Option<&[u8]> {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.find_map(|line| line.strip_prefix(b"id:"))
}

fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
