//! The prompt of a model call: the program's history and the new messages.

use bytes::Bytes;
use ibisdale_core::{RefusalCode, RequestRefusal};
use ibisdale_entry::ChatBody;
use ibisdale_programs::{StepExchange, StepKind};
use serde_json::{Value, json};

/// Tokens that a message's frame may take beside its text.
const MESSAGE_FRAME_TOKENS: u64 = 16;
/// Answer tokens of a request that names no limit.
pub(super) const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// Returns the most tokens that the new messages can be.
///
/// A token is at least one byte of text, so the bytes are an upper bound.
pub(super) fn added_tokens_max(messages: &[Value]) -> u64 {
    let text = serde_json::to_vec(messages).unwrap_or_default().len() as u64;
    text + MESSAGE_FRAME_TOKENS * messages.len() as u64
}

/// Renders the new messages as the step's payload.
pub(super) fn render_payload(messages: &[Value]) -> Bytes {
    serde_json::to_vec(messages).unwrap_or_default().into()
}

/// Renders the engine's request: all messages, streamed and with usage.
pub(super) fn render_engine_body(
    body: &ChatBody,
    history: &[StepExchange],
    max_tokens: u32,
) -> Result<Bytes, RequestRefusal> {
    let mut messages = Vec::new();
    for exchange in history.iter().filter(|exchange| is_model(exchange)) {
        messages.append(&mut parse_messages(&exchange.request)?);
        messages.push(answer_message(&exchange.answer)?);
    }
    messages.extend(body.messages.iter().cloned());
    let mut fields = body.other.clone();
    fields.insert("model".to_owned(), Value::from(body.model.as_str()));
    fields.insert("messages".to_owned(), Value::Array(messages));
    fields.insert("max_tokens".to_owned(), Value::from(max_tokens));
    fields.insert("stream".to_owned(), Value::Bool(true));
    fields.insert("stream_options".to_owned(), json!({"include_usage": true}));
    Ok(serde_json::to_vec(&fields).unwrap_or_default().into())
}

fn is_model(exchange: &StepExchange) -> bool {
    matches!(exchange.kind, StepKind::Model { .. })
}

fn broken_history() -> RequestRefusal {
    RequestRefusal::new(RefusalCode::Internal, "the program's history can't be read")
}

fn parse_messages(payload: &[u8]) -> Result<Vec<Value>, RequestRefusal> {
    serde_json::from_slice(payload).map_err(|_| broken_history())
}

fn answer_message(answer: &[u8]) -> Result<Value, RequestRefusal> {
    let answer: Value = serde_json::from_slice(answer).map_err(|_| broken_history())?;
    answer
        .pointer("/choices/0/message")
        .cloned()
        .ok_or_else(broken_history)
}
