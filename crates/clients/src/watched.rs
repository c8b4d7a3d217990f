//! Connections whose clients do not read.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

use crate::limiter::WriteWatch;

/// Stream of a connection that tells the limit of its listener while it can't be written, since
/// its client does not read.
#[derive(Debug)]
pub struct WatchedStream<S> {
    stream: S,
    watch: WriteWatch,
    is_blocked: bool,
}

impl<S> WatchedStream<S> {
    pub(crate) fn new(stream: S, watch: WriteWatch) -> Self {
        Self {
            stream,
            watch,
            is_blocked: false,
        }
    }

    fn record(&mut self, is_blocked: bool) {
        if self.is_blocked != is_blocked {
            self.is_blocked = is_blocked;
            self.watch.record(is_blocked);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, data);
        self.record(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
