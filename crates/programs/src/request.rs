//! Requests to start programs and run steps.

use std::time::Duration;

use bytes::Bytes;
use ibisdale_core::{AttemptKey, HistoryDigest, ProgramId, StepNumber, TimeStamp, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::account::{BudgetAmount, ProgramBudget, ProgramLimits};
use crate::record::KeyLabel;

/// Request to start a root program or a sub-agent.
#[derive(Clone, Debug)]
pub struct StartRequest {
    pub(crate) id: ProgramId,
    pub(crate) workspace: WorkspaceName,
    pub(crate) name: Bytes,
    pub(crate) key: Option<KeyLabel>,
    pub(crate) parent: Option<ProgramId>,
    pub(crate) deadline: Option<TimeStamp>,
    pub(crate) budget: ProgramBudget,
    pub(crate) limits: ProgramLimits,
}

impl StartRequest {
    /// Creates a request to start a root program without deadline, budget or
    /// limits.
    pub fn new(id: ProgramId, workspace: WorkspaceName, name: impl Into<Bytes>) -> Self {
        Self {
            id,
            workspace,
            name: name.into(),
            key: None,
            parent: None,
            deadline: None,
            budget: ProgramBudget::default(),
            limits: ProgramLimits::default(),
        }
    }

    /// Sets the label of the key that the program is started with.
    #[must_use]
    pub fn key(mut self, key: KeyLabel) -> Self {
        self.key = Some(key);
        self
    }

    /// Makes the program a sub-agent of `parent`, which shares the budget of its
    /// root program.
    #[must_use]
    pub fn parent(mut self, parent: ProgramId) -> Self {
        self.parent = Some(parent);
        self
    }

    /// Sets the deadline of the program.
    #[must_use]
    pub fn deadline(mut self, deadline: TimeStamp) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Sets the budget of a root program.
    #[must_use]
    pub fn budget(mut self, budget: ProgramBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Sets the limits of the program.
    #[must_use]
    pub fn limits(mut self, limits: ProgramLimits) -> Self {
        self.limits = limits;
        self
    }
}

/// Kind of call that a step makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// A call to a model engine, which may be repeated.
    Model {
        /// Upper bound of the prompt tokens. A request counts only its own
        /// messages; the table adds the tokens of the earlier history when it
        /// admits the step.
        prompt_tokens: u64,
        /// Upper bound of the answer tokens.
        max_tokens: u64,
    },
    /// A call to a service that is not a model engine.
    Call {
        /// Whether the call may be repeated.
        idempotent: bool,
    },
}

impl StepKind {
    /// Returns whether the call may be repeated.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Model { .. } => true,
            Self::Call { idempotent } => idempotent,
        }
    }

    /// Raises the prompt-token bound of a model call by the tokens of the history.
    pub(crate) const fn with_history(self, tokens: u64) -> Self {
        match self {
            Self::Model {
                prompt_tokens,
                max_tokens,
            } => Self::Model {
                prompt_tokens: prompt_tokens.saturating_add(tokens),
                max_tokens,
            },
            Self::Call { .. } => self,
        }
    }

    /// Returns whether a request of the other kind can be a repeat of this one.
    /// Prompt tokens are not compared, because the stored bound includes the
    /// tokens of the earlier history.
    pub(crate) fn is_same_call(self, other: Self) -> bool {
        match (self, other) {
            (
                Self::Model { max_tokens, .. },
                Self::Model {
                    max_tokens: other_max,
                    ..
                },
            ) => max_tokens == other_max,
            _ => self == other,
        }
    }

    /// Returns the maximum cost of the call.
    pub(crate) const fn worst_case(self) -> BudgetAmount {
        match self {
            Self::Model {
                prompt_tokens,
                max_tokens,
            } => BudgetAmount {
                tokens: prompt_tokens.saturating_add(max_tokens),
                paid_actions: 0,
            },
            Self::Call { idempotent } => BudgetAmount {
                tokens: 0,
                paid_actions: !idempotent as u64,
            },
        }
    }
}

/// A caller's request to run a step.
#[derive(Clone, Debug)]
pub struct StepRequest {
    pub(crate) program: ProgramId,
    pub(crate) workspace: WorkspaceName,
    pub(crate) step: StepNumber,
    pub(crate) attempt: AttemptKey,
    pub(crate) kind: StepKind,
    pub(crate) payload: Bytes,
    pub(crate) digest: Option<HistoryDigest>,
    pub(crate) deadline: Option<TimeStamp>,
}

impl StepRequest {
    /// Creates a request without an expected digest or a deadline.
    pub fn new(
        program: ProgramId,
        workspace: WorkspaceName,
        step: StepNumber,
        attempt: AttemptKey,
        kind: StepKind,
        payload: impl Into<Bytes>,
    ) -> Self {
        Self {
            program,
            workspace,
            step,
            attempt,
            kind,
            payload: payload.into(),
            digest: None,
            deadline: None,
        }
    }

    /// Sets the expected digest of the program's history.
    #[must_use]
    pub fn expect_digest(mut self, digest: HistoryDigest) -> Self {
        self.digest = Some(digest);
        self
    }

    /// Sets the time at which the caller stops waiting.
    #[must_use]
    pub fn deadline(mut self, deadline: TimeStamp) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Returns the identifier of the program.
    #[must_use]
    pub const fn get_program(&self) -> ProgramId {
        self.program
    }

    /// Returns the workspace of the key that the request was sent with.
    #[must_use]
    pub const fn get_workspace(&self) -> &WorkspaceName {
        &self.workspace
    }

    /// Returns the earlier of the caller's deadline and `now` plus the wait limit.
    pub(crate) fn wait_deadline(&self, now: TimeStamp, limit: Duration) -> TimeStamp {
        let bound = now.plus(limit);
        self.deadline.map_or(bound, |deadline| deadline.min(bound))
    }
}
