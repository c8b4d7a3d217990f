//! Programs that a daemon owns.

use serde::{Deserialize, Serialize};

use crate::{HistoryDigest, ProgramId, StepNumber, TimeStamp, WorkspaceName};

/// Summary of a program for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ProgramSummary {
    /// Identifier of the program.
    pub id: ProgramId,
    /// The workspace that the program runs for.
    pub workspace: WorkspaceName,
    /// Name under which the settings declare the program.
    pub name: String,
    /// The program that started this one, if it is a sub-agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<ProgramId>,
    /// `running`, or the reason why the program ended.
    pub state: String,
    /// Number of the next step.
    pub next_step: StepNumber,
    /// Whether an attempt at a step is running.
    pub is_busy: bool,
    /// Digest of the program's history.
    pub digest: HistoryDigest,
    /// Deadline of the program, relative to the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<TimeStamp>,
    /// Tokens spent or reserved, including those of sub-agents.
    pub tokens_used: u64,
    /// Maximum number of tokens that may be spent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_limit: Option<u64>,
    /// Paid actions (non-idempotent calls) made or reserved, including those of
    /// sub-agents.
    pub paid_actions_used: u64,
    /// Maximum number of paid actions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub paid_actions_limit: Option<u64>,
}

/// The programs that a daemon owns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ProgramsReply {
    /// The programs, ordered by identifier.
    pub programs: Vec<ProgramSummary>,
}
