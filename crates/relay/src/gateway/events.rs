//! Splits an event stream into whole events.

use bytes::{Bytes, BytesMut};

/// A whole event as received, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Number of the event, where it has one.
    pub id: Option<u64>,
    /// Bytes of the event.
    pub data: Bytes,
}

/// Collects bytes and hands out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Adds received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Tells whether part of an event waits for its end.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops part of an event whose rest will not come.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.scanned = 0;
        let data = self.buffer.split_to(end).freeze();
        Some(StreamEvent {
            id: event_id(&data),
            data,
        })
    }

    fn find_end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        let tail = &self.buffer[start..];
        let short = tail.windows(2).position(|pair| pair == b"\n\n");
        let long = tail.windows(4).position(|four| four == b"\r\n\r\n");
        self.scanned = self.buffer.len();
        match (short, long) {
            (Some(short), Some(long)) if long < short => Some(start + long + 4),
            (Some(short), _) => Some(start + short + 2),
            (None, Some(long)) => Some(start + long + 4),
            (None, None) => None,
        }
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
