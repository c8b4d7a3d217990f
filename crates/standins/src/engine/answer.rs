//! Answers made from the prompt and the model, the same at each run.

use super::message::PromptMessage;

/// Fewest tokens of an answer that is not cut by the call's limit.
const ANSWER_MIN_TOKENS: u64 = 8;
/// Answers differ in length by less than this many tokens.
const ANSWER_SPREAD_TOKENS: u64 = 25;
const HASH_SEED: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_PRIME: u64 = 0x0100_0000_01b3;
const WORDS: [&str; 16] = [
    "after", "book", "before", "crate", "delivery", "event", "first", "from", "hall", "ice",
    "later", "room", "session", "then", "truck", "with",
];

/// Returns the FNV-1a hash of `bytes`, continued from `hash`.
pub(crate) fn continue_hash(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(HASH_PRIME)
    })
}

/// Returns the hash that prompts start from.
pub(crate) fn start_hash(model: &str) -> u64 {
    continue_hash(HASH_SEED, model.as_bytes())
}

/// Splits a prompt into tokens; a token is a word, and each message's role one.
pub(crate) fn split_tokens(messages: &[PromptMessage]) -> Vec<String> {
    let mut tokens = Vec::new();
    for message in messages {
        tokens.push(format!("<{}>", message.role));
        let text = message.get_text();
        tokens.extend(text.split_whitespace().map(str::to_owned));
    }
    tokens
}

/// Returns the tokens of the answer to a prompt.
pub(crate) fn compose_tokens(
    model: &str,
    messages: &[PromptMessage],
    max_tokens: u32,
) -> Vec<&'static str> {
    let mut hash = start_hash(model);
    for token in split_tokens(messages) {
        hash = continue_hash(hash, token.as_bytes());
        hash = continue_hash(hash, b" ");
    }
    let length = ANSWER_MIN_TOKENS + hash % ANSWER_SPREAD_TOKENS;
    let length = length.min(u64::from(max_tokens));
    (0..length)
        .map(|index| {
            hash = continue_hash(hash, &index.to_be_bytes());
            WORDS[usize::from(hash.to_be_bytes()[0] % 16)]
        })
        .collect()
}

/// Returns the whole answer that an engine gives to a prompt.
///
/// ```
/// use ibisdale_standins::{PromptMessage, compose_answer};
///
/// let prompt = [PromptMessage::new("user", "Which hall is next?")];
/// assert_eq!(
///     compose_answer("small", &prompt, 256),
///     compose_answer("small", &prompt, 256),
/// );
/// ```
#[must_use]
pub fn compose_answer(model: &str, messages: &[PromptMessage], max_tokens: u32) -> String {
    compose_tokens(model, messages, max_tokens).join(" ")
}
