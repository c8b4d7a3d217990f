//! Bodies that the engine reads and writes.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Tokens generated at most when a call sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// One message of a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct PromptMessage {
    /// Who speaks: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// What is said, as text or as a list of parts.
    pub content: Value,
}

impl PromptMessage {
    /// Creates a message with text.
    #[must_use]
    pub fn new(role: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            role: role.into(),
            content: Value::String(text.into()),
        }
    }

    /// Returns the message's text; parts are given as JSON.
    #[must_use]
    pub fn get_text(&self) -> String {
        match &self.content {
            Value::String(text) => text.clone(),
            Value::Null => String::new(),
            parts => parts.to_string(),
        }
    }
}

/// The body of a chat call.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(crate) struct ChatBody {
    pub(crate) model: String,
    pub(crate) messages: Vec<PromptMessage>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
}

impl ChatBody {
    /// Returns the most tokens that may be generated.
    pub(crate) fn get_max_tokens(&self) -> u32 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Tokens that a call took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct UsageBody {
    pub(crate) prompt_tokens: u64,
    pub(crate) completion_tokens: u64,
    pub(crate) total_tokens: u64,
    pub(crate) prompt_tokens_details: UsageDetail,
}

/// The part of the prompt that was in the cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct UsageDetail {
    pub(crate) cached_tokens: u64,
}

impl UsageBody {
    pub(crate) fn new(prompt: u64, cached: u64, completion: u64) -> Self {
        Self {
            prompt_tokens: prompt,
            completion_tokens: completion,
            total_tokens: prompt + completion,
            prompt_tokens_details: UsageDetail {
                cached_tokens: cached,
            },
        }
    }
}

/// One chunk of a streamed answer.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct ChunkBody<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'a str,
    pub(crate) created: u64,
    pub(crate) model: &'a str,
    pub(crate) choices: Vec<ChoiceBody<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) usage: Option<UsageBody>,
}

/// One choice of an answer, whole or in part.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct ChoiceBody<'a> {
    pub(crate) index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) delta: Option<TextBody<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) message: Option<TextBody<'a>>,
    pub(crate) finish_reason: Option<&'a str>,
}

/// Generated text.
#[derive(Debug, Default)]
#[derive(Serialize)]
pub(crate) struct TextBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) role: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) content: Option<&'a str>,
}
