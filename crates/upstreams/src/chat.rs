//! Streamed responses to chat calls.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::{EventStream, EventStreamError, Eventsource};
use futures_lite::{FutureExt, StreamExt};
use ibisdale_core::RunState;
use ibisdale_net::ClientConnection;
use serde::Deserialize;
use smol::Timer;

use crate::error::{UpstreamError, UpstreamErrorKind};
use crate::exchange::{UpstreamResponse, body_error};
use crate::pool::UpstreamPool;
use crate::progress::{BodyError, ByteCount, LimitedBody};

/// Data of the event that ends a complete response.
const DONE_DATA: &str = "[DONE]";
/// Time limit for the end of the body after the last event.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Event of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChatEvent {
    /// A chunk other than a usage-only one, unmodified.
    Delta(Bytes),
    /// Token usage of the call.
    Usage {
        /// Tokens of the prompt, including cached ones.
        prompt: u64,
        /// Tokens of the prompt that the engine had in its cache.
        cached: u64,
        /// Tokens generated.
        completion: u64,
    },
    /// The response is complete.
    Done {
        /// Why the engine stopped, if it is known.
        finish_reason: Option<String>,
    },
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<UsageDetail>,
}

#[derive(Deserialize)]
struct UsageDetail {
    #[serde(default)]
    cached_tokens: Option<u64>,
}

/// Response to a chat call, read as a stream of events.
///
/// Dropping the stream, or [`ChatStream::close`], closes the connection, upon
/// which the engine cancels the call.
pub struct ChatStream {
    pool: UpstreamPool,
    // `None` once the stream has ended, completely or with an error.
    open: Option<OpenStream>,
    usage: Option<ChatEvent>,
    finish_reason: Option<String>,
    has_events: bool,
}

struct OpenStream {
    events: EventStream<LimitedBody>,
    count: ByteCount,
    connection: ClientConnection,
}

impl fmt::Debug for ChatStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ChatStream")
            .field("address", &self.pool.get_address())
            .field("is_open", &self.open.is_some())
            .finish_non_exhaustive()
    }
}

impl OpenStream {
    /// Reads the end of the body, so that the connection can be reused.
    async fn drain(mut self, pool: UpstreamPool) {
        let read = async { self.events.next().await.is_none() };
        let expire = async {
            Timer::after(END_TIMEOUT).await;
            false
        };
        if read.or(expire).await {
            pool.put_back(self.connection);
        }
    }
}

impl ChatStream {
    pub(crate) fn new(pool: UpstreamPool, response: UpstreamResponse) -> Self {
        let count = response.body.get_count();
        let open = OpenStream {
            events: response.body.eventsource(),
            count,
            connection: response.connection,
        };
        Self {
            pool,
            open: Some(open),
            usage: None,
            finish_reason: None,
            has_events: false,
        }
    }

    /// Returns the next event, or `None` after [`ChatEvent::Done`] or an error.
    ///
    /// This method is cancel-safe. A stream that ends without its final `[DONE]`
    /// event yields an error, never [`ChatEvent::Done`].
    pub async fn next(&mut self) -> Option<Result<ChatEvent, UpstreamError>> {
        if let Some(usage) = self.usage.take() {
            return Some(Ok(usage));
        }
        let open = self.open.as_mut()?;
        let event = open.events.next().await;
        open.count.reset();
        let result = match event {
            Some(Ok(event)) if event.data == DONE_DATA => Ok(self.finish()),
            Some(Ok(event)) => self.parse_chunk(event.data),
            Some(Err(error)) => Err(self.stream_error(&error)),
            None => Err(self.truncated_error()),
        };
        if result.is_err() {
            self.open = None;
        }
        Some(result)
    }

    /// Closes the connection of an unfinished stream, which cancels the call.
    pub fn close(self) {
        drop(self);
    }

    fn parse_chunk(&mut self, data: String) -> Result<ChatEvent, UpstreamError> {
        let chunk: Chunk = serde_json::from_str(&data)
            .map_err(|error| self.error(UpstreamErrorKind::Garbage, error.to_string()))?;
        if let Some(error) = chunk.error {
            return Err(self.error(UpstreamErrorKind::Failed, error.to_string()));
        }
        self.has_events = true;
        let reason = chunk
            .choices
            .iter()
            .find_map(|choice| choice.finish_reason.clone());
        self.finish_reason = reason.or(self.finish_reason.take());
        let usage = chunk.usage.map(Usage::into_event);
        match usage {
            Some(usage) if chunk.choices.is_empty() => Ok(usage),
            usage => {
                self.usage = usage;
                Ok(ChatEvent::Delta(Bytes::from(data)))
            }
        }
    }

    fn finish(&mut self) -> ChatEvent {
        if let Some(open) = self.open.take() {
            let drain = open.drain(self.pool.clone());
            self.pool.get_executor().spawn(drain).detach();
        }
        ChatEvent::Done {
            finish_reason: self.finish_reason.take(),
        }
    }

    fn truncated_error(&self) -> UpstreamError {
        let message = "the stream ended before its [DONE] event";
        self.error(UpstreamErrorKind::Truncated, message)
    }

    fn stream_error(&self, error: &EventStreamError<BodyError>) -> UpstreamError {
        match error {
            EventStreamError::Transport(error) => {
                let failure = body_error(self.pool.get_address(), error);
                failure.run_state(self.get_run_state())
            }
            error => self.error(UpstreamErrorKind::Garbage, error.to_string()),
        }
    }

    fn error(&self, kind: UpstreamErrorKind, message: impl Into<String>) -> UpstreamError {
        let error = UpstreamError::new(kind, self.pool.get_address(), message);
        error.run_state(self.get_run_state())
    }

    fn get_run_state(&self) -> RunState {
        if self.has_events {
            return RunState::Ran;
        }
        RunState::Unknown
    }
}

impl Usage {
    fn into_event(self) -> ChatEvent {
        let detail = self.prompt_tokens_details;
        ChatEvent::Usage {
            prompt: self.prompt_tokens,
            cached: detail.and_then(|detail| detail.cached_tokens).unwrap_or(0),
            completion: self.completion_tokens,
        }
    }
}
