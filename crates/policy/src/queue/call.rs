//! Queue entries, queue settings and their errors.

use ibisdale_core::TimeStamp;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use snafu::Snafu;

use super::workspace::WorkspaceKey;

new_key_type! {
    /// Identifies a waiting call.
    pub struct CallKey;
}

/// Settings of the order and size of a queue.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct QueueSettings {
    /// Maximum number of waiting calls.
    pub call_limit: usize,
    /// Maximum number of waiting calls of one workspace.
    pub workspace_call_limit: usize,
    /// Maximum number of calls of each workspace that are tried when the calls ahead
    /// of them cannot be sent yet.
    pub tries_per_workspace: usize,
    /// Delay in queue order for each 1,000 tokens that the call's program has been
    /// served, in milliseconds.
    pub attained_ms_per_kilotoken: f64,
    /// Delay in queue order for a call whose program has not been served any tokens, in
    /// milliseconds.
    pub new_program_ms: u64,
    /// Delay in queue order for each step of lower priority, in milliseconds.
    pub priority_ms: u64,
}

impl Default for QueueSettings {
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

/// A call to add to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRequest {
    pub(crate) workspace: WorkspaceKey,
    pub(crate) expected_tokens: u32,
    pub(crate) attained_tokens: u64,
    pub(crate) priority: u8,
    pub(crate) latest_start: Option<TimeStamp>,
}

impl CallRequest {
    /// Creates a request for a call of `workspace`.
    #[must_use]
    pub const fn new(workspace: WorkspaceKey) -> Self {
        Self {
            workspace,
            expected_tokens: 0,
            attained_tokens: 0,
            priority: 0,
            latest_start: None,
        }
    }

    /// Sets the number of tokens that the call is expected to consume.
    #[must_use]
    pub const fn expected_tokens(mut self, tokens: u32) -> Self {
        self.expected_tokens = tokens;
        self
    }

    /// Sets the number of tokens that the call's program has been served so far.
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

    /// Returns the key of the call's workspace.
    #[must_use]
    pub const fn get_workspace(&self) -> WorkspaceKey {
        self.workspace
    }

    /// Returns the number of tokens that the call is expected to consume.
    #[must_use]
    pub const fn get_expected_tokens(&self) -> u32 {
        self.expected_tokens
    }
}

/// Reason why a call cannot be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum PushError {
    /// The workspace has reached its limit of waiting calls.
    #[snafu(display("the workspace has as many calls waiting as it may"))]
    WorkspaceFull,
    /// The queue is full and no other workspace has a larger backlog per weight.
    #[snafu(display("the queue is full"))]
    QueueFull,
    /// The workspace was not added to the queue or has been removed.
    #[snafu(display("the workspace is not known to the queue"))]
    UnknownWorkspace,
}

/// Result of queueing a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushOutcome {
    /// The queued call.
    pub call: CallKey,
    /// Call removed to make room, from the workspace with the largest backlog per
    /// weight; it has not run.
    pub evicted: Option<CallKey>,
}

/// A call in the queue, or one removed from it to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// Key of the call in the queue.
    pub call: CallKey,
    /// The request that was queued.
    pub request: CallRequest,
    /// Time at which the call was queued.
    pub queued_at: TimeStamp,
    /// Whether the workspace is over its share; passed on to
    /// [`RoutingRequest::over_share`](crate::RoutingRequest::over_share).
    pub is_over_share: bool,
}
