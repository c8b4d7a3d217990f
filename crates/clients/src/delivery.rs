//! Responses on their way to clients.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::account::ClientAccount;
use crate::limiter::{OpenConnection, RequestProgress};
use crate::yielding::ResponseKey;

/// Largest part of a response that is handed to its connection at a time, in bytes. The connection
/// copies it, and takes the next one only when it has sent most of those before.
const PIECE_BYTES: usize = 8 * 1_024;

/// Error that ends a response whose client does not read it while memory is short; its connection
/// is closed before the response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseEvicted;

impl fmt::Display for ResponseEvicted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the response is read too slowly while memory is short")
    }
}

impl std::error::Error for ResponseEvicted {}

/// What a response holds in the account; released when dropped.
#[derive(Debug)]
struct HeldResponse {
    account: ClientAccount,
    key: ResponseKey,
    /// Whether data waits in the account.
    is_waiting: bool,
}

impl HeldResponse {
    /// Lets data wait in the account; if there is no memory for it, the response is evicted.
    fn deliver(&mut self, data: Bytes) {
        self.is_waiting = true;
        if self.account.deliver(self.key, data).is_err() {
            self.account.remove_response(self.key);
        }
    }

    /// Takes the next piece of the data that waits; an empty one if none is left.
    fn take_piece(&mut self) -> Result<Bytes, ResponseEvicted> {
        let piece = self.account.take_piece(self.key, PIECE_BYTES);
        piece.ok_or(ResponseEvicted)
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        self.account.remove_response(self.key);
    }
}

/// Body of a response that counts in the account until its client has taken it; its connection is
/// busy until then.
#[derive(Debug)]
pub struct DeliveredBody<B> {
    body: B,
    size_hint: SizeHint,
    held: HeldResponse,
    _progress: RequestProgress,
}

impl<B> DeliveredBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: From<ResponseEvicted>,
{
    /// Wraps the body of a response on a connection.
    ///
    /// A large body that is complete counts from now on, since its connection takes it only once
    /// the responses before it are sent.
    #[must_use]
    pub fn new(body: B, open: &OpenConnection, progress: RequestProgress) -> Self {
        let account = open.account().clone();
        let held = HeldResponse {
            key: account.begin_delivery(open.closer()),
            account,
            is_waiting: false,
        };
        let mut delivered = Self {
            size_hint: body.size_hint(),
            body,
            held,
            _progress: progress,
        };
        let size = delivered.size_hint.exact().unwrap_or(0);
        if size > PIECE_BYTES as u64 {
            delivered.take_complete();
        }
        delivered
    }

    /// Takes a complete body into the account.
    fn take_complete(&mut self) {
        // A body that is not ready is polled again by the connection.
        let mut context = Context::from_waker(Waker::noop());
        if let Poll::Ready(Some(Ok(frame))) = Pin::new(&mut self.body).poll_frame(&mut context)
            && let Ok(data) = frame.into_data()
        {
            self.held.deliver(data);
        }
    }
}

impl<B> Body for DeliveredBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: From<ResponseEvicted>,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let this = self.get_mut();
        let held = &mut this.held;
        if held.is_waiting {
            let piece = held.take_piece()?;
            if !piece.is_empty() {
                return Poll::Ready(Some(Ok(Frame::data(piece))));
            }
            held.is_waiting = false;
        }
        held.account.record_handed(held.key, 0);
        let frame = ready!(Pin::new(&mut this.body).poll_frame(context)?);
        let Some(frame) = frame else {
            return Poll::Ready(None);
        };
        let data = match frame.into_data() {
            Ok(data) if data.len() > PIECE_BYTES => {
                held.deliver(data);
                held.take_piece()?
            }
            Ok(data) => {
                held.account.record_handed(held.key, data.len());
                data
            }
            Err(frame) => return Poll::Ready(Some(Ok(frame))),
        };
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        !self.held.is_waiting && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.size_hint
    }
}
