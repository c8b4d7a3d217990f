//! Where the answer of a model call goes.

use async_channel::Sender;
use bytes::Bytes;
use ibisdale_core::{ProgramId, RequestId, RequestRefusal};
use ibisdale_entry::{event_bytes, refusal_event};
use ibisdale_net::BodySender;
use ibisdale_programs::RecordedStep;

use super::chat::stream_end;

/// Where the answer goes.
pub(super) enum AnswerSink {
    /// To the caller while it comes in; `begin` tells that it has begun, or the
    /// refusal.
    Stream {
        begin: Sender<Result<(), RequestRefusal>>,
        sender: BodySender,
    },
    /// To the caller when it is whole.
    Whole {
        sender: Sender<Result<RecordedStep, RequestRefusal>>,
    },
}

impl AnswerSink {
    /// Waits until the caller is gone.
    pub(super) async fn caller_gone(&self) {
        match self {
            Self::Stream { sender, .. } => sender.closed().await,
            Self::Whole { sender } => sender.closed().await,
        }
    }

    /// Passes a chunk on to a caller that wants a stream.
    pub(super) async fn send_chunk(&self, chunk: &Bytes) {
        if let Self::Stream { begin, sender } = self {
            let _ = begin.try_send(Ok(()));
            // A caller that is gone is noticed by the run.
            let _ = sender.send(event_bytes(chunk)).await;
        }
    }

    /// Answers with the step's outcome.
    pub(super) async fn finish(
        self,
        request: RequestId,
        program: ProgramId,
        result: Result<RecordedStep, RequestRefusal>,
    ) {
        match self {
            Self::Whole { sender } => {
                let _ = sender.try_send(result);
            }
            Self::Stream { begin, sender } => match result {
                Ok(record) => end_whole(program, &record, &begin, sender).await,
                Err(refusal) => end_refused(request, refusal, &begin, sender).await,
            },
        }
    }
}

async fn end_whole(
    program: ProgramId,
    record: &RecordedStep,
    begin: &Sender<Result<(), RequestRefusal>>,
    sender: BodySender,
) {
    let _ = begin.try_send(Ok(()));
    let end = stream_end(program, record.step, record.digest);
    // A caller that is gone finds the answer recorded.
    let _ = sender.send(end).await;
    let _ = sender.close().await;
}

/// Before the first chunk the refusal is the whole answer; after it, the last
/// event of a stream that has no end mark.
async fn end_refused(
    request: RequestId,
    refusal: RequestRefusal,
    begin: &Sender<Result<(), RequestRefusal>>,
    sender: BodySender,
) {
    if begin.try_send(Err(refusal.clone())).is_err() {
        let _ = sender.send(refusal_event(request, &refusal)).await;
        let _ = sender.close().await;
    }
}
