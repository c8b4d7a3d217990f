//! Input and result of a routing decision.

use std::time::Duration;

use ibisdale_core::{ProgramId, TimeStamp};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::prefix::SharedPrefix;
use super::replica::ReplicaKey;
use super::set::DomainKey;

/// A call that needs a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingRequest {
    pub(crate) program: Option<ProgramId>,
    pub(crate) prompt_tokens: u32,
    pub(crate) shared_prefixes: Vec<SharedPrefix>,
    pub(crate) priority: u8,
    pub(crate) domain: Option<DomainKey>,
    pub(crate) first_token_deadline: Option<TimeStamp>,
    pub(crate) avoided: Option<ReplicaKey>,
    pub(crate) is_over_share: bool,
}

impl RoutingRequest {
    /// Creates a request without a prompt, as for a call to a service that is not a model.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the program that the call belongs to.
    #[must_use]
    pub fn program(mut self, program: ProgramId) -> Self {
        self.program = Some(program);
        self
    }

    /// Sets the length of the complete prompt, in tokens.
    #[must_use]
    pub fn prompt_tokens(mut self, tokens: u32) -> Self {
        self.prompt_tokens = tokens;
        self
    }

    /// Adds a prefix that the prompt has in common with a session.
    ///
    /// The first one added is assumed to be that of the program's own session; see
    /// [`ReplicaSet::begin_call`](crate::ReplicaSet::begin_call).
    #[must_use]
    pub fn shared_prefix(mut self, prefix: SharedPrefix) -> Self {
        self.shared_prefixes.push(prefix);
        self
    }

    /// Sets the priority passed to the engine; zero is the most urgent.
    #[must_use]
    pub fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the failure domain that the call is sent from.
    #[must_use]
    pub fn domain(mut self, domain: DomainKey) -> Self {
        self.domain = Some(domain);
        self
    }

    /// Sets the time by which the first token is needed.
    #[must_use]
    pub fn first_token_deadline(mut self, deadline: TimeStamp) -> Self {
        self.first_token_deadline = Some(deadline);
        self
    }

    /// Sets a replica that is used only when there is no other, as after a failed
    /// attempt there.
    #[must_use]
    pub fn avoid(mut self, replica: ReplicaKey) -> Self {
        self.avoided = Some(replica);
        self
    }

    /// Sets whether the call's workspace is over its share; such calls leave part of
    /// each replica's capacity free.
    #[must_use]
    pub fn over_share(mut self, is_over_share: bool) -> Self {
        self.is_over_share = is_over_share;
        self
    }

    /// Returns the program, if one was set.
    #[must_use]
    pub fn get_program(&self) -> Option<ProgramId> {
        self.program
    }

    /// Returns the priority passed to the engine.
    #[must_use]
    pub fn get_priority(&self) -> u8 {
        self.priority
    }
}

/// The replica chosen for a call, with the expected time to the first token and cache use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingDecision {
    /// The chosen replica.
    pub replica: ReplicaKey,
    /// Expected time to the first token, in milliseconds.
    pub expected_first_token_ms: u64,
    /// Number of prompt tokens expected to be in the replica's cache.
    pub expected_cached_tokens: u32,
    /// Whether the call is a probe of an ejected replica.
    pub is_probe: bool,
}

/// Reason why no replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The set holds no live replica.
    NoReplica,
    /// Every live replica is ejected after failures.
    AllFailing,
    /// No available replica has room for this call, running or waiting.
    AllBusy,
    /// Waiting for a busy replica with the cached prefix costs less than using another.
    PrefixBusy,
    /// The first token is not expected before the deadline.
    DeadlineTooClose,
}

/// Error returned when no replica was chosen; the call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("no replica was chosen: {reason:?}"))]
pub struct RoutingRefusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Delay after which a new attempt may succeed.
    pub retry_after: Duration,
}
