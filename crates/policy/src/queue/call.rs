//! Calls that wait, and the weights of their order.

use ibisdale_core::TimeStamp;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use snafu::Snafu;

use super::share::ShareKey;

new_key_type! {
    /// Names a waiting call.
    pub struct CallKey;
}

/// Tunes the order and the bounds of a queue.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct QueueWeights {
    /// Calls that wait at most.
    pub call_limit: usize,
    /// Calls of one workspace that wait at most.
    pub workspace_call_limit: usize,
    /// Calls of each workspace that are tried when those before them wait for
    /// one replica.
    pub tries_per_workspace: usize,
    /// Time that a call is put back for each 1,000 tokens its program was
    /// served, in milliseconds.
    pub attained_ms_per_kilotoken: f64,
    /// Time that the first call of a program is put back, in milliseconds.
    pub new_program_ms: u64,
    /// Time that a call is put back for each step of lower priority, in milliseconds.
    pub priority_ms: u64,
}

impl Default for QueueWeights {
    fn default() -> Self {
        Self {
            call_limit: 4_096,
            workspace_call_limit: 1_024,
            tries_per_workspace: 8,
            attained_ms_per_kilotoken: 200.0,
            new_program_ms: 600_000,
            priority_ms: 2_000,
        }
    }
}

/// Describes a call that is to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRequest {
    pub(crate) share: ShareKey,
    pub(crate) expected_tokens: u32,
    pub(crate) attained_tokens: u64,
    pub(crate) priority: u8,
    pub(crate) latest_start: Option<TimeStamp>,
}

impl CallRequest {
    /// Creates a call of a workspace.
    #[must_use]
    pub const fn new(share: ShareKey) -> Self {
        Self {
            share,
            expected_tokens: 0,
            attained_tokens: 0,
            priority: 0,
            latest_start: None,
        }
    }

    /// Sets the tokens that the call is expected to be served.
    #[must_use]
    pub const fn expected_tokens(mut self, tokens: u32) -> Self {
        self.expected_tokens = tokens;
        self
    }

    /// Sets the tokens that the call's program has been served so far.
    #[must_use]
    pub const fn attained_tokens(mut self, tokens: u64) -> Self {
        self.attained_tokens = tokens;
        self
    }

    /// Sets the priority; zero is the most urgent.
    #[must_use]
    pub const fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the time by which the call must start to meet its deadline.
    #[must_use]
    pub const fn latest_start(mut self, time: TimeStamp) -> Self {
        self.latest_start = Some(time);
        self
    }

    /// Returns the workspace's key.
    #[must_use]
    pub const fn get_share(&self) -> ShareKey {
        self.share
    }

    /// Returns the tokens that the call is expected to be served.
    #[must_use]
    pub const fn get_expected_tokens(&self) -> u32 {
        self.expected_tokens
    }
}

/// Tells why a call may not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum PushError {
    /// The workspace has as many calls waiting as it may.
    #[snafu(display("the workspace has as many calls waiting as it may"))]
    WorkspaceFull,
    /// The queue is full and the workspace has its part of it.
    #[snafu(display("the queue is full"))]
    QueueFull,
    /// The workspace is not known to the queue.
    #[snafu(display("the workspace is not known to the queue"))]
    UnknownWorkspace,
}

/// The place of a call that now waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushOutcome {
    /// The waiting call.
    pub call: CallKey,
    /// A call of the workspace with most calls waiting that lost its place; it
    /// has not run.
    pub displaced: Option<CallKey>,
}

/// A call whose turn has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoppedCall {
    /// The call, no longer waiting.
    pub call: CallKey,
    /// What it asked for.
    pub request: CallRequest,
    /// When it began to wait.
    pub queued_at: TimeStamp,
    /// Whether its workspace is over its share, for
    /// [`ChoiceRequest::over_share`](crate::ChoiceRequest::over_share).
    pub is_over_share: bool,
}
