//! What the program table answers.

use bytes::Bytes;
use ibisdale_core::{
    AttemptKey, HistoryDigest, ProgramId, RequestRefusal, RunState, StepNumber, TimeStamp,
    WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::account::BudgetUsage;
use crate::record::{EndReason, ProgramRecord};
use crate::refusals;
use crate::request::StepKind;
use crate::table::{RunKey, WaiterKey};

/// What became of a call, as its runner saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepOutcome {
    /// The whole answer has come.
    Completed {
        /// The answer.
        answer: Bytes,
        /// Prompt and answer tokens that the engine reported.
        tokens_used: u64,
    },
    /// The call failed; the refusal says whether it ran.
    Failed {
        /// The refusal that callers get.
        refusal: RequestRefusal,
    },
    /// Nothing is known of what became of the call.
    Unknown,
}

impl StepOutcome {
    pub(crate) fn into_result(self) -> StepResult {
        match self {
            Self::Completed {
                answer,
                tokens_used,
            } => StepResult::Completed {
                answer,
                tokens_used,
            },
            Self::Failed { refusal } => StepResult::Refused(refusal),
            Self::Unknown => StepResult::Refused(refusals::outcome_unknown()),
        }
    }
}

/// Recorded outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StepResult {
    /// The whole answer.
    Completed {
        /// The answer.
        answer: Bytes,
        /// Prompt and answer tokens used.
        tokens_used: u64,
    },
    /// The refusal, which says whether the call ran.
    Refused(RequestRefusal),
}

impl StepResult {
    /// Tells whether the call is proven not to have run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Completed { .. } => false,
            Self::Refused(refusal) => refusal.get_run_state() == RunState::NotRun,
        }
    }

    /// Tells whether the step is over: a new attempt at it is refused.
    pub(crate) fn is_settled(&self, kind: StepKind) -> bool {
        match self {
            Self::Completed { .. } => true,
            Self::Refused(_) => !kind.is_idempotent() && !self.is_not_run(),
        }
    }
}

/// What a step's attempt came to, given again to each repeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepRecord {
    /// The step.
    pub step: StepNumber,
    /// The attempt.
    pub attempt: AttemptKey,
    /// The outcome.
    pub result: StepResult,
    /// The program's digest after the attempt.
    pub digest: HistoryDigest,
}

/// Permission to run one attempt, to be finished exactly once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a ticket holds budget until it is finished"]
pub struct StepTicket {
    pub(crate) run: RunKey,
    pub(crate) program: ProgramId,
    pub(crate) step: StepNumber,
    pub(crate) attempt: AttemptKey,
    pub(crate) kind: StepKind,
    pub(crate) epoch: u64,
    pub(crate) deadline: Option<TimeStamp>,
    pub(crate) records: Vec<ProgramRecord>,
}

impl StepTicket {
    /// Returns the key that names the run, as in [`EndedProgram::running`].
    #[must_use]
    pub const fn get_run(&self) -> RunKey {
        self.run
    }

    /// Returns the program.
    #[must_use]
    pub const fn get_program(&self) -> ProgramId {
        self.program
    }

    /// Returns the step.
    #[must_use]
    pub const fn get_step(&self) -> StepNumber {
        self.step
    }

    /// Returns the attempt.
    #[must_use]
    pub const fn get_attempt(&self) -> &AttemptKey {
        &self.attempt
    }

    /// Returns the owner's epoch under which the attempt was admitted.
    #[must_use]
    pub const fn get_epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the earliest of the request's and the program's deadlines.
    #[must_use]
    pub const fn get_deadline(&self) -> Option<TimeStamp> {
        self.deadline
    }

    /// Returns the records to store before the first byte leaves.
    #[must_use]
    pub fn get_records(&self) -> &[ProgramRecord] {
        &self.records
    }

    /// Tells whether an intent must be committed before the first byte leaves.
    #[must_use]
    pub const fn is_intent_needed(&self) -> bool {
        !self.kind.is_idempotent()
    }
}

/// Answer to a request to run a step.
#[derive(Debug, PartialEq, Eq)]
pub enum StepAdmission {
    /// The request runs now.
    Run(StepTicket),
    /// The request came before its turn and waits.
    Wait(WaiterKey),
    /// The same attempt is running; the request waits for its outcome.
    Join(WaiterKey),
    /// The attempt has an outcome already.
    Recorded(StepRecord),
}

/// A waiting request that has its answer.
#[derive(Debug, PartialEq, Eq)]
pub struct WokenWaiter {
    /// The waiting request.
    pub key: WaiterKey,
    /// Its answer; never [`StepAdmission::Wait`] or [`StepAdmission::Join`].
    pub result: Result<StepAdmission, RequestRefusal>,
}

/// A program that has just been started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedProgram {
    /// The program.
    pub id: ProgramId,
    /// Digest of its empty history.
    pub digest: HistoryDigest,
    /// Records to store before the caller is answered.
    pub records: Vec<ProgramRecord>,
}

/// A step's attempt that has just finished.
#[derive(Debug, PartialEq, Eq)]
pub struct FinishedStep {
    /// The outcome, as repeats of the attempt will get it.
    pub record: StepRecord,
    /// The program's digest now.
    pub digest: HistoryDigest,
    /// Records to store before anyone is answered.
    pub records: Vec<ProgramRecord>,
    /// Waiting requests that have their answer now.
    pub woken: Vec<WokenWaiter>,
    /// Tokens that the engine reported over the reserved worst case.
    pub overrun_tokens: u64,
}

/// A program that has ended.
#[derive(Debug, PartialEq, Eq)]
pub struct EndedProgram {
    /// The program.
    pub id: ProgramId,
    /// Why it ended.
    pub reason: EndReason,
    /// Records to store.
    pub records: Vec<ProgramRecord>,
    /// Runs of it and its sub-agents to cancel; their tickets are still
    /// finished.
    pub running: Vec<RunKey>,
    /// Waiting requests that have their answer now.
    pub woken: Vec<WokenWaiter>,
}

/// What the passing of time has brought.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ExpiryReport {
    /// Programs that ended.
    pub ended: Vec<EndedProgram>,
    /// Waiting requests whose time is up.
    pub woken: Vec<WokenWaiter>,
    /// Root programs whose history the holders may drop.
    pub dropped: Vec<ProgramId>,
}

/// A slot that is no longer owned.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LostSlot {
    /// Root programs that were held.
    pub programs: Vec<ProgramId>,
    /// Runs to cancel; finishing their tickets is refused.
    pub running: Vec<RunKey>,
    /// Waiting requests that have their answer now.
    pub woken: Vec<WokenWaiter>,
}

/// Life of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ProgramStatus {
    /// Steps may run.
    Running,
    /// No more steps run.
    Ended {
        /// Why.
        reason: EndReason,
        /// When.
        at: TimeStamp,
    },
}

/// State of a program, for callers and operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ProgramSummary {
    /// The program.
    pub id: ProgramId,
    /// Its workspace.
    pub workspace: WorkspaceName,
    /// Its declared name.
    pub name: String,
    /// The program that started it.
    pub parent: Option<ProgramId>,
    /// Its sub-agents.
    pub children: Vec<ProgramId>,
    /// Its life.
    pub status: ProgramStatus,
    /// The step that is next.
    pub next_step: StepNumber,
    /// Whether an attempt at that step is running.
    pub is_busy: bool,
    /// Digest of its history.
    pub digest: HistoryDigest,
    /// When it must be done.
    pub deadline: Option<TimeStamp>,
    /// Budget of its root program and all sub-agents.
    pub budget: BudgetUsage,
    /// Steps counted against its root program's limit.
    pub tree_steps: u32,
}

/// What became of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepView {
    /// An attempt is running.
    Running(AttemptKey),
    /// The last attempt has an outcome.
    Recorded(StepRecord),
    /// A request for the step waits for its turn.
    Waiting,
}

/// A request of a program with its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepExchange {
    /// The step.
    pub step: StepNumber,
    /// What kind of call it was.
    pub kind: StepKind,
    /// The request's payload.
    pub request: Bytes,
    /// The answer.
    pub answer: Bytes,
    /// Prompt and answer tokens used.
    pub tokens_used: u64,
}
