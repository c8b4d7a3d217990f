//! Question and answer of a routing decision.

use std::time::Duration;

use ibisdale_core::{ProgramId, TimeStamp};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::prefix::PrefixClaim;
use super::replica::ReplicaKey;
use super::set::DomainKey;

/// Describes a call that needs a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChoiceRequest {
    pub(crate) program: Option<ProgramId>,
    pub(crate) prompt_tokens: u32,
    pub(crate) claims: Vec<PrefixClaim>,
    pub(crate) priority: u8,
    pub(crate) domain: Option<DomainKey>,
    pub(crate) deadline: Option<TimeStamp>,
    pub(crate) avoided: Option<ReplicaKey>,
    pub(crate) is_over_share: bool,
}

impl ChoiceRequest {
    /// Creates a request without a prompt; suits a call to a plain service.
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

    /// Sets the length of the whole prompt, in tokens.
    #[must_use]
    pub fn prompt_tokens(mut self, tokens: u32) -> Self {
        self.prompt_tokens = tokens;
        self
    }

    /// Adds a session whose first tokens the prompt begins with.
    #[must_use]
    pub fn claim(mut self, claim: PrefixClaim) -> Self {
        self.claims.push(claim);
        self
    }

    /// Sets the priority that the engine gets; zero is the most urgent.
    #[must_use]
    pub fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the failure domain that the call comes from.
    #[must_use]
    pub fn domain(mut self, domain: DomainKey) -> Self {
        self.domain = Some(domain);
        self
    }

    /// Sets the time by which the first token is needed.
    #[must_use]
    pub fn deadline(mut self, deadline: TimeStamp) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Sets a replica that is taken only when there is no other, as after a
    /// failed attempt there.
    #[must_use]
    pub fn avoid(mut self, replica: ReplicaKey) -> Self {
        self.avoided = Some(replica);
        self
    }

    /// Sets whether the call's workspace is over its share; such calls leave a
    /// part of each replica's places free.
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

    /// Returns the priority for the engine.
    #[must_use]
    pub fn get_priority(&self) -> u8 {
        self.priority
    }
}

/// The replica chosen for a call, and what is expected of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingDecision {
    /// The chosen replica.
    pub replica: ReplicaKey,
    /// Expected time until the first token, in milliseconds.
    pub expected_wait_ms: u64,
    /// Prompt tokens expected to be in the replica's cache.
    pub expected_cached_tokens: u32,
    /// Tells that the call probes a replica that was avoided.
    pub is_probe: bool,
}

/// Tells why no replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The set holds no live replica.
    NoReplica,
    /// Every live replica is avoided after failures.
    AllFailing,
    /// Every live replica holds as many calls as it should.
    AllBusy,
    /// Waiting for the replica with the cached prefix costs less than going elsewhere.
    PrefixBusy,
    /// No replica is expected to answer before the deadline.
    DeadlineTooClose,
}

/// Says that no replica was chosen; the call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("no replica was chosen: {reason:?}"))]
pub struct RoutingRefusal {
    /// Why none was chosen.
    pub reason: RefusalReason,
    /// When a new attempt is worth it.
    pub retry_after: Duration,
}
