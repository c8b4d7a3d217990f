//! Response bodies with a read timeout, a deadline and a size limit.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::{FutureExt, Stream};
use http_body::Body;
use ibisdale_net::{FramedBody, NetError};
use smol::Timer;
use snafu::Snafu;

/// Error while reading a body.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum BodyError {
    #[snafu(display("{source}"))]
    Net { source: NetError },
    #[snafu(display("the deadline passed"))]
    Deadline,
}

/// Limits on reading one response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseLimits {
    pub(crate) read_timeout: Duration,
    pub(crate) deadline: Option<Instant>,
    pub(crate) max_bytes: usize,
}

/// Counts the bytes read since its last reset.
#[derive(Clone, Debug, Default)]
pub(crate) struct ByteCount(Arc<AtomicUsize>);

impl ByteCount {
    /// Resets the count to zero.
    pub(crate) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> usize {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes
    }
}

/// Stream of a body's chunks that fails when a limit is exceeded.
pub(crate) struct LimitedBody {
    body: FramedBody,
    limits: ResponseLimits,
    read_timer: Timer,
    deadline_timer: Timer,
    count: ByteCount,
}

impl LimitedBody {
    pub(crate) fn new(body: FramedBody, limits: ResponseLimits) -> Self {
        Self {
            body,
            limits,
            read_timer: Timer::after(limits.read_timeout),
            deadline_timer: limits.deadline.map_or_else(Timer::never, Timer::at),
            count: ByteCount::default(),
        }
    }

    /// Returns the byte count that is compared with the size limit.
    pub(crate) fn get_count(&self) -> ByteCount {
        self.count.clone()
    }

    fn accept_chunk(&mut self, chunk: Bytes) -> Result<Bytes, BodyError> {
        self.read_timer.set_after(self.limits.read_timeout);
        let limit = self.limits.max_bytes;
        if self.count.add(chunk.len()) > limit {
            return Err(NetError::TooLarge { limit }.into());
        }
        Ok(chunk)
    }

    fn poll_timeouts(&mut self, context: &mut Context<'_>) -> Poll<BodyError> {
        if self.deadline_timer.poll(context).is_ready() {
            return Poll::Ready(BodyError::Deadline);
        }
        if self.read_timer.poll(context).is_ready() {
            let limit = self.limits.read_timeout;
            return Poll::Ready(NetError::Stalled { timeout: limit }.into());
        }
        Poll::Pending
    }
}

impl From<NetError> for BodyError {
    fn from(source: NetError) -> Self {
        Self::Net { source }
    }
}

impl Stream for LimitedBody {
    type Item = Result<Bytes, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            match Pin::new(&mut self.body).poll_frame(context) {
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(Err(source))) => return Poll::Ready(Some(Err(source.into()))),
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(chunk) = frame.into_data() {
                        return Poll::Ready(Some(self.accept_chunk(chunk)));
                    }
                }
                Poll::Pending => return self.poll_timeouts(context).map(|error| Some(Err(error))),
            }
        }
    }
}
