//! Counters of the traffic sent on connections between daemons.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

/// Traffic sent since the counters were last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentTraffic {
    /// Number of gRPC requests and replies; a streamed reply counts as one.
    pub messages: u64,
    /// Bytes written to sockets, including HTTP/2 framing and keep-alive pings.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct TrafficCounters {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// Counters of the traffic that one daemon sends to others; clones share them.
#[derive(Clone, Debug, Default)]
pub struct LinkCounters {
    counters: Arc<TrafficCounters>,
}

impl LinkCounters {
    /// Returns the traffic sent since the last call and resets the counters to zero.
    #[must_use]
    pub fn take(&self) -> SentTraffic {
        SentTraffic {
            messages: self.counters.messages.swap(0, Ordering::Relaxed),
            bytes: self.counters.bytes.swap(0, Ordering::Relaxed),
        }
    }

    pub(crate) fn count_message(&self) {
        self.counters.messages.fetch_add(1, Ordering::Relaxed);
    }

    fn count_bytes(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.counters.bytes.fetch_add(count, Ordering::Relaxed);
    }
}

/// Stream wrapper that counts the bytes written.
#[derive(Debug)]
pub(crate) struct CountingStream<S> {
    stream: S,
    traffic: LinkCounters,
}

impl<S> CountingStream<S> {
    pub(crate) fn new(stream: S, traffic: LinkCounters) -> Self {
        Self { stream, traffic }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(count)) = &result {
            self.traffic.count_bytes(*count);
        }
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        if let Poll::Ready(Ok(count)) = &result {
            self.traffic.count_bytes(*count);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
