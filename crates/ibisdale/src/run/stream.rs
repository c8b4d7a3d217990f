//! Reads an answer that comes as server-sent events.

use std::net::SocketAddr;

use bytes::Bytes;
use eventsource_stream::{EventStreamError, Eventsource};
use futures_lite::StreamExt;
use http_body_util::{BodyDataStream, BodyExt};
use ibisdale_core::HistoryDigest;
use ibisdale_net::{FramedBody, NetError};
use serde_json::{Value, json};

use crate::error::CommandError;
use crate::operator::exchange_error;

const END_MARK: &str = "[DONE]";

/// A whole streamed answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamedAnswer {
    text: String,
    /// The history digest, if an event carried it.
    pub(crate) digest: Option<HistoryDigest>,
    /// The refusal that ended the stream, as received.
    pub(crate) refusal: Option<Value>,
}

impl StreamedAnswer {
    /// Returns the answer in the shape of one that was not streamed.
    pub(crate) fn answer(&self) -> Value {
        json!({ "choices": [{ "message": { "role": "assistant", "content": self.text } }] })
    }

    fn take(&mut self, event: &Value) {
        if event.get("error").is_some() {
            self.refusal = Some(event.clone());
        }
        let digest = event.pointer("/ibisdale/digest").and_then(Value::as_str);
        if let Some(digest) = digest.and_then(|text| text.parse().ok()) {
            self.digest = Some(digest);
        }
        let delta = event.pointer("/choices/0/delta/content");
        self.text
            .push_str(delta.and_then(Value::as_str).unwrap_or_default());
    }
}

/// Reads events up to the end mark; a stream without it is a lost answer.
pub(crate) async fn read_stream(
    body: FramedBody,
    address: SocketAddr,
    what: &'static str,
) -> Result<StreamedAnswer, CommandError> {
    let data: BodyDataStream<_> = body.into_data_stream();
    let mut events = Box::pin(
        data.map(|chunk: Result<Bytes, NetError>| chunk)
            .eventsource(),
    );
    let mut answer = StreamedAnswer::default();
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| stream_error(address, what, error))?;
        if event.data == END_MARK {
            return Ok(answer);
        }
        if let Ok(value) = serde_json::from_str(&event.data) {
            answer.take(&value);
        }
        if answer.refusal.is_some() {
            return Ok(answer);
        }
    }
    Err(exchange_error(address, what, NetError::Abandoned))
}

fn stream_error(
    address: SocketAddr,
    what: &'static str,
    error: EventStreamError<NetError>,
) -> CommandError {
    let source = match error {
        EventStreamError::Transport(source) => source,
        EventStreamError::Utf8(_) | EventStreamError::Parser(_) => NetError::Abandoned,
    };
    exchange_error(address, what, source)
}
