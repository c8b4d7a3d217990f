//! Bodies of HTTP messages: fixed, streamed through a channel, or read up to a limit.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_lite::Stream;
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Empty, Full};
use smol::channel::{Receiver, Sender, bounded};

use crate::error::NetError;

/// Maximum number of chunks buffered between the producer and the connection.
const CHANNEL_CAPACITY: usize = 16;

/// Type-erased body.
pub type BoxBody = http_body_util::combinators::BoxBody<Bytes, NetError>;

/// Creates a body that holds `data`.
#[must_use]
pub fn full_body(data: impl Into<Bytes>) -> BoxBody {
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Creates a body without data.
#[must_use]
pub fn empty_body() -> BoxBody {
    Empty::new().map_err(|never| match never {}).boxed()
}

enum ChannelItem {
    Data(Bytes),
    End,
}

/// Sending half of a body that is transmitted while it is produced.
///
/// Dropping every clone without [`BodySender::close`] aborts the message, so that a
/// truncated body never passes as complete.
#[derive(Clone, Debug)]
pub struct BodySender {
    sender: Sender<ChannelItem>,
}

impl std::fmt::Debug for ChannelItem {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Data(data) => write!(formatter, "Data({} bytes)", data.len()),
            Self::End => formatter.write_str("End"),
        }
    }
}

impl BodySender {
    /// Sends a chunk; waits while the buffer is full because the connection is slower
    /// than the producer.
    ///
    /// # Errors
    ///
    /// Fails with [`NetError::Abandoned`] when the body was dropped.
    pub async fn send(&self, data: Bytes) -> Result<(), NetError> {
        self.sender
            .send(ChannelItem::Data(data))
            .await
            .map_err(|_| NetError::Abandoned)
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    ///
    /// Fails with [`NetError::Abandoned`] when the body was dropped.
    pub async fn close(self) -> Result<(), NetError> {
        self.sender
            .send(ChannelItem::End)
            .await
            .map_err(|_| NetError::Abandoned)
    }

    /// Waits until the receiving body is dropped.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

struct ChannelBody {
    receiver: Pin<Box<Receiver<ChannelItem>>>,
    is_done: bool,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = NetError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, NetError>>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        match self.receiver.as_mut().poll_next(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(ChannelItem::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(ChannelItem::End)) => {
                self.is_done = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                self.is_done = true;
                Poll::Ready(Some(Err(NetError::Abandoned)))
            }
        }
    }
}

/// Creates a streamed body and its sender.
#[must_use]
pub fn body_channel() -> (BodySender, BoxBody) {
    let (sender, receiver) = bounded(CHANNEL_CAPACITY);
    let body = ChannelBody {
        receiver: Box::pin(receiver),
        is_done: false,
    };
    (BodySender { sender }, body.boxed())
}

/// Maximum number of bytes read and discarded beyond a body's limit; four times the
/// daemon's limit for a caller's body.
const DISCARD_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// Reads a complete body of at most `limit` bytes.
///
/// If the body is larger, up to 16 MiB beyond the limit are read and discarded: closing
/// a connection with unread data resets it, and the peer may lose the response that
/// reports the limit.
///
/// # Errors
///
/// Fails with [`NetError::TooLarge`] when the body exceeds the limit, and with the
/// body's own error when reading it fails.
pub async fn read_limited<B>(body: B, limit: usize) -> Result<Bytes, NetError>
where
    B: Body<Data = Bytes>,
    NetError: From<B::Error>,
{
    let mut is_too_large = body.size_hint().lower() > limit as u64;
    let mut body = std::pin::pin!(body);
    let mut data = BytesMut::new();
    let mut byte_count = 0;
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame?.into_data() else {
            continue;
        };
        byte_count += chunk.len();
        is_too_large |= byte_count > limit;
        if !is_too_large {
            data.extend_from_slice(&chunk);
        } else if byte_count > limit + DISCARD_MAX_BYTES {
            break;
        }
    }
    if is_too_large {
        return Err(NetError::TooLarge { limit });
    }
    Ok(data.freeze())
}

impl From<hyper::Error> for NetError {
    fn from(source: hyper::Error) -> Self {
        Self::Truncated { source }
    }
}

impl From<std::convert::Infallible> for NetError {
    fn from(never: std::convert::Infallible) -> Self {
        match never {}
    }
}
