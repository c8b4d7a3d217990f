//! Progress of programs, agents and calls.

use ibisdale_core::TimeStamp;
use ibisdale_policy::{CallKey, InFlightKey, SharedPrefix};

/// Times a refused caller comes back before its program fails.
pub(crate) const COME_BACKS_MAX: u32 = 8;

/// Where a program stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgramState {
    Running,
    Finished { at_us: u64 },
    Failed,
}

#[derive(Clone, Debug)]
pub(crate) struct ProgramRun {
    pub(crate) daemon: usize,
    pub(crate) attained_tokens: u64,
    pub(crate) come_backs: u32,
    pub(crate) state: ProgramState,
    pub(crate) deadline: TimeStamp,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct AgentRun {
    pub(crate) turn: usize,
    /// Tokens of the agent's history, inherited ones included.
    pub(crate) context_tokens: u32,
    /// Tokens that a sub-agent shares with its parent.
    pub(crate) inherited_tokens: u32,
    pub(crate) pending_children: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct CallRun {
    pub(crate) agent: usize,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) reusable_tokens: u32,
    pub(crate) claims: Vec<SharedPrefix>,
    pub(crate) attempt: u32,
    pub(crate) replica: Option<usize>,
    pub(crate) flight: Option<InFlightKey>,
    pub(crate) waiting: Option<CallKey>,
    pub(crate) expected_tokens: u32,
    pub(crate) cached_tokens: u32,
    pub(crate) failed_at: Option<usize>,
}
