//! Bodies of responses to callers.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Body, Frame, SizeHint};
use ibisdale_clients::ResponseEvicted;

/// Error that ends the body of a response that can't be completed.
///
/// The connection is closed before the body is complete, so that the caller does not
/// take the response for complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseAborted;

impl fmt::Display for ResponseAborted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the response was aborted")
    }
}

impl std::error::Error for ResponseAborted {}

impl From<ResponseEvicted> for ResponseAborted {
    fn from(_: ResponseEvicted) -> Self {
        Self
    }
}

type DataStream = Pin<Box<dyn Stream<Item = Result<Bytes, ResponseAborted>>>>;

/// Body of a response, either complete or streamed.
pub enum ResponseBody {
    /// The complete body; `None` when it is empty or has been sent.
    Whole(Option<Bytes>),
    /// Data that is sent as it arrives.
    Stream(DataStream),
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Whole(_) => "Whole",
            Self::Stream(_) => "Stream",
        })
    }
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn whole(data: impl Into<Bytes>) -> Self {
        let data = data.into();
        Self::Whole((!data.is_empty()).then_some(data))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match &mut *self {
            Self::Whole(data) => Poll::Ready(data.take().map(|data| Ok(Frame::data(data)))),
            Self::Stream(stream) => stream
                .as_mut()
                .poll_next(context)
                .map(|item| item.map(|data| data.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(data) => {
                SizeHint::with_exact(data.as_ref().map_or(0, |data| data.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
