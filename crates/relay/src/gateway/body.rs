//! Bodies of answers to callers.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Body, Frame, SizeHint};

/// Tells that an answer is broken off and must not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbortedAnswer;

impl fmt::Display for AbortedAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer is broken off")
    }
}

impl std::error::Error for AbortedAnswer {}

type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, AbortedAnswer>>>>;

/// A body that is whole or comes as it is produced.
pub enum AnswerBody {
    /// The whole body.
    Whole(Option<Bytes>),
    /// Data as it arrives.
    Stream(EventStream),
}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Whole(_) => "Whole",
            Self::Stream(_) => "Stream",
        })
    }
}

impl AnswerBody {
    pub(crate) fn whole(data: impl Into<Bytes>) -> Self {
        let data = data.into();
        Self::Whole((!data.is_empty()).then_some(data))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AbortedAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedAnswer>>> {
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
