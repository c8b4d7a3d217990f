//! Programs that a daemon owns.

use serde::{Deserialize, Serialize};

use crate::{HistoryDigest, ProgramId, StepNumber, TimeStamp, WorkspaceName};

/// A program.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ProgramSummary {
    /// The program.
    pub id: ProgramId,
    /// The workspace that it runs for.
    pub workspace: WorkspaceName,
    /// The name that it is declared by.
    pub name: String,
    /// The program that started it, if it is a sub-agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<ProgramId>,
    /// `running`, or how it ended.
    pub state: String,
    /// The step that is next.
    pub next_step: StepNumber,
    /// Whether a step is running.
    pub is_busy: bool,
    /// The digest of its history.
    pub digest: HistoryDigest,
    /// When it must be done, since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<TimeStamp>,
    /// Tokens spent or reserved, sub-agents included.
    pub tokens_used: u64,
    /// Tokens that may be spent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_limit: Option<u64>,
    /// Paid actions spent or reserved, sub-agents included.
    pub paid_actions_used: u64,
    /// Paid actions that may be spent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub paid_actions_limit: Option<u64>,
}

/// The programs that a daemon owns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ProgramsReply {
    /// The programs.
    pub programs: Vec<ProgramSummary>,
}
