//! Bodies that another part of the process buffers, counted while they pass.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::account::ClientAccount;
use crate::body::{BodyRefusal, HeldBody};

/// Body of a request that is passed on to a reader that buffers it; fails when it loses its memory.
pub struct CountedBody<B> {
    body: B,
    held: Arc<HeldBody>,
    size: usize,
    /// Ends when the body has lost its memory; `None` once it has failed for that.
    eviction: Option<Pin<Box<dyn Future<Output = BodyRefusal> + Send + Sync>>>,
}

impl<B> fmt::Debug for CountedBody<B> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CountedBody")
    }
}

impl<B> CountedBody<B> {
    /// Wraps a body of at most `limit` bytes; returns its guard as well, which keeps what has been
    /// read counted until it is dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the body can't be counted.
    pub fn begin(
        account: &ClientAccount,
        body: B,
        limit: usize,
    ) -> Result<(Self, Arc<HeldBody>), BodyRefusal> {
        let held = Arc::new(HeldBody::begin(account, 0, limit, None)?);
        let waiting = Arc::clone(&held);
        let counted = Self {
            body,
            held: Arc::clone(&held),
            size: 0,
            eviction: Some(Box::pin(async move { waiting.wait_for_eviction().await })),
        };
        Ok((counted, held))
    }
}

impl<B> Body for CountedBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = self.get_mut();
        let Some(eviction) = &mut this.eviction else {
            return Poll::Ready(None);
        };
        if let Poll::Ready(refusal) = eviction.as_mut().poll(context) {
            this.eviction = None;
            return Poll::Ready(Some(Err(refusal.into())));
        }
        let frame = ready!(Pin::new(&mut this.body).poll_frame(context));
        let frame = frame.transpose().map_err(Into::into)?;
        if let Some(data) = frame.as_ref().and_then(Frame::data_ref) {
            this.size += data.len();
            this.held.count(data.len(), this.size)?;
        }
        if frame.is_none() || this.body.is_end_stream() {
            this.held.finish(this.size);
        }
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
