//! Builds the whole answer of a model call from its streamed parts.

use bytes::Bytes;
use ibisdale_core::{HistoryDigest, ProgramId, StepNumber};
use serde::Deserialize;
use serde_json::{Map, Value, json};

/// What a model call took, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TokenUsage {
    pub(super) prompt: u64,
    pub(super) cached: u64,
    pub(super) completion: u64,
}

impl TokenUsage {
    /// Returns prompt and answer together.
    pub(super) fn total(self) -> u64 {
        self.prompt.saturating_add(self.completion)
    }

    fn render(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.total(),
            "prompt_tokens_details": {"cached_tokens": self.cached},
        })
    }
}

#[derive(Deserialize)]
struct ChunkBody {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Map<String, Value>,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// Collects the parts of one answer.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerBuilder {
    message: Map<String, Value>,
    finish_reason: Option<String>,
    usage: TokenUsage,
    is_begun: bool,
}

impl AnswerBuilder {
    /// Takes in one chunk; returns `false` when it can't be read.
    pub(super) fn add_chunk(&mut self, chunk: &[u8]) -> bool {
        let Ok(body) = serde_json::from_slice::<ChunkBody>(chunk) else {
            return false;
        };
        let Some(choice) = body.choices.into_iter().next() else {
            return true;
        };
        self.is_begun = true;
        for (name, value) in choice.delta {
            merge_field(&mut self.message, name, value);
        }
        if choice.finish_reason.is_some() {
            self.finish_reason = choice.finish_reason;
        }
        true
    }

    pub(super) fn set_usage(&mut self, usage: TokenUsage) {
        self.usage = usage;
    }

    pub(super) fn get_usage(&self) -> TokenUsage {
        self.usage
    }

    /// Tells whether any part has come.
    pub(super) fn is_begun(&self) -> bool {
        self.is_begun
    }

    /// Renders the whole answer.
    pub(super) fn render(&self, model: &str) -> Bytes {
        let mut message = self.message.clone();
        message
            .entry("role")
            .or_insert_with(|| Value::from("assistant"));
        message.entry("content").or_insert(Value::Null);
        let answer = json!({
            "object": "chat.completion",
            "model": model,
            "choices": [{
                "index": 0,
                "message": message,
                "finish_reason": self.finish_reason,
            }],
            "usage": self.usage.render(),
        });
        serde_json::to_vec(&answer).unwrap_or_default().into()
    }
}

/// Merges a streamed field: text is appended, lists of calls merge by index.
fn merge_field(target: &mut Map<String, Value>, name: String, value: Value) {
    match (target.get_mut(&name), value) {
        (Some(Value::String(known)), Value::String(more)) if name != "role" => {
            known.push_str(&more);
        }
        (Some(Value::Object(known)), Value::Object(more)) => {
            for (field, part) in more {
                merge_field(known, field, part);
            }
        }
        (Some(Value::Array(known)), Value::Array(more)) => merge_items(known, more),
        (Some(_), Value::Null) => {}
        (_, value) => {
            target.insert(name, value);
        }
    }
}

fn merge_items(known: &mut Vec<Value>, more: Vec<Value>) {
    for item in more {
        let index = item.get("index").cloned();
        let same = known
            .iter_mut()
            .find(|other| other.get("index") == index.as_ref());
        match (same, item) {
            (Some(Value::Object(target)), Value::Object(parts)) => {
                for (field, part) in parts.into_iter().filter(|(field, _)| field != "index") {
                    merge_field(target, field, part);
                }
            }
            (_, item) => known.push(item),
        }
    }
}

/// Renders the event that carries the new digest, before the end of a stream.
pub(super) fn digest_event(program: ProgramId, step: StepNumber, digest: HistoryDigest) -> Bytes {
    let event = json!({
        "object": "chat.completion.chunk",
        "choices": [],
        "ibisdale": {"program": program, "step": step, "digest": digest},
    });
    serde_json::to_vec(&event).unwrap_or_default().into()
}

/// Renders a recorded answer as one chunk, for a repeat that asks for a stream.
pub(super) fn answer_chunk(answer: &[u8]) -> Bytes {
    let mut chunk: Value = serde_json::from_slice(answer).unwrap_or_default();
    chunk["object"] = Value::from("chat.completion.chunk");
    if let Some(choice) = chunk
        .pointer_mut("/choices/0")
        .and_then(Value::as_object_mut)
        && let Some(message) = choice.remove("message")
    {
        choice.insert("delta".to_owned(), message);
    }
    serde_json::to_vec(&chunk).unwrap_or_default().into()
}
