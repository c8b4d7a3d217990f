//! Run-time state of programs, agents and calls.

use ibisdale_core::TimeStamp;
use ibisdale_policy::{CallKey, InFlightKey, SharedPrefix};

/// Number of refusals after which a program still retries; the next one fails it.
pub(crate) const MAX_REFUSALS: u32 = 8;

/// Progress of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgramState {
    Running,
    Finished { at_us: u64 },
    Failed,
}

/// Run-time state of a program.
#[derive(Clone, Debug)]
pub(crate) struct ProgramRun {
    /// Daemon that receives all calls of the program.
    pub(crate) daemon: usize,
    /// Tokens used by the completed calls.
    pub(crate) attained_tokens: u64,
    /// Refusals so far, over all agents.
    pub(crate) refusals: u32,
    pub(crate) state: ProgramState,
    pub(crate) deadline: TimeStamp,
}

/// Run-time state of a program's root agent or of a sub-agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct AgentRun {
    /// Number of answered turns, which is the index of the first unanswered one.
    pub(crate) turn: usize,
    /// Tokens of the agent's context, including inherited ones.
    pub(crate) context_tokens: u32,
    /// Length of the prefix that a sub-agent shares with its parent, in tokens.
    pub(crate) inherited_tokens: u32,
    pub(crate) pending_children: usize,
}

/// Run-time state of a model call over all its attempts.
#[derive(Clone, Debug)]
pub(crate) struct CallRun {
    pub(crate) agent: usize,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    /// Prompt tokens that some engine has already computed.
    pub(crate) reusable_tokens: u32,
    /// Prefixes of the prompt that may be cached; the first is that of the agent's
    /// own session.
    pub(crate) prefixes: Vec<SharedPrefix>,
    /// Number of attempts sent, which identifies the current one.
    pub(crate) attempt: u32,
    pub(crate) replica: Option<usize>,
    pub(crate) in_flight_key: Option<InFlightKey>,
    pub(crate) queue_key: Option<CallKey>,
    /// Tokens assumed when the call was queued.
    pub(crate) expected_tokens: u32,
    pub(crate) cached_tokens: u32,
    /// Replica of the last failed attempt, avoided by the next one.
    pub(crate) failed_replica: Option<usize>,
}
