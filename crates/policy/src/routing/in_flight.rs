//! Calls in flight from this daemon, and their results.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use super::prefix::SharedPrefix;
use super::replica::ReplicaKey;

new_key_type! {
    /// Identifies a call in flight.
    pub struct InFlightKey;
}

/// Outcome of a call sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The complete response was received.
    Succeeded,
    /// The replica failed, timed out or closed the connection.
    Failed,
    /// No connection to the replica could be opened.
    Unreachable,
    /// The caller cancelled the call; this is no evidence about the replica.
    Cancelled,
}

/// Result of a call, used to update what is known about the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallReport {
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// Number of prompt tokens that the engine reported as cached.
    pub cached_tokens: Option<u32>,
    /// Number of tokens, prompt and response, that the engine now holds for the
    /// program's own session.
    pub context_tokens: u32,
}

impl CallReport {
    /// Creates a report with the given outcome.
    #[must_use]
    pub const fn new(outcome: CallOutcome) -> Self {
        Self {
            outcome,
            cached_tokens: None,
            context_tokens: 0,
        }
    }

    /// Sets the number of prompt tokens that the engine reported as cached.
    #[must_use]
    pub const fn cached_tokens(mut self, tokens: u32) -> Self {
        self.cached_tokens = Some(tokens);
        self
    }

    /// Sets the number of tokens of prompt and response together.
    #[must_use]
    pub const fn context_tokens(mut self, tokens: u32) -> Self {
        self.context_tokens = tokens;
        self
    }
}

/// A call in flight from this daemon.
#[derive(Clone, Debug)]
pub(crate) struct InFlightCall {
    pub(crate) replica: ReplicaKey,
    pub(crate) started_at: TimeStamp,
    pub(crate) shared_prefixes: Vec<SharedPrefix>,
    pub(crate) prompt_tokens: u32,
    pub(crate) expected_cached_tokens: u32,
    pub(crate) expected_first_token: Duration,
    /// Uncached prompt tokens; zero once the first token has arrived.
    pub(crate) prefill_tokens: u32,
}
