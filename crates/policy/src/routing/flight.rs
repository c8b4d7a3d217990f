//! Own calls that a replica is working on.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use super::prefix::PrefixClaim;
use super::replica::ReplicaKey;

new_key_type! {
    /// Names an own call in flight.
    pub struct FlightKey;
}

/// How a call at a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FlightOutcome {
    /// The whole answer came.
    Succeeded,
    /// The replica failed, timed out or broke the connection.
    Failed,
    /// No connection to the replica could be opened.
    Unreachable,
    /// The caller gave up; says nothing about the replica.
    Cancelled,
}

/// What the end of a call showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlightReport {
    /// How it ended.
    pub outcome: FlightOutcome,
    /// Prompt tokens that the engine says it found cached.
    pub cached_tokens: Option<u32>,
    /// Tokens of prompt and answer that the engine now has for the program's
    /// own session.
    pub context_tokens: u32,
}

impl FlightReport {
    /// Creates the report of a call that ended with `outcome`.
    #[must_use]
    pub const fn new(outcome: FlightOutcome) -> Self {
        Self {
            outcome,
            cached_tokens: None,
            context_tokens: 0,
        }
    }

    /// Sets the prompt tokens that the engine found cached.
    #[must_use]
    pub const fn cached_tokens(mut self, tokens: u32) -> Self {
        self.cached_tokens = Some(tokens);
        self
    }

    /// Sets the tokens of prompt and answer together.
    #[must_use]
    pub const fn context_tokens(mut self, tokens: u32) -> Self {
        self.context_tokens = tokens;
        self
    }
}

/// An own call in flight.
#[derive(Clone, Debug)]
pub(crate) struct FlightState {
    pub(crate) replica: ReplicaKey,
    pub(crate) begun: TimeStamp,
    pub(crate) claims: Vec<PrefixClaim>,
    pub(crate) prompt_tokens: u32,
    pub(crate) expected_cached_tokens: u32,
    pub(crate) expected_wait: Duration,
    /// Prompt tokens not yet known to be computed.
    pub(crate) prefill_tokens: u32,
}
