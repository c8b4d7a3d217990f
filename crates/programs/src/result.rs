//! Results that the program table returns.

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

/// Outcome of a call, as reported by the code that ran it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepOutcome {
    /// The complete answer was received.
    Completed {
        /// Payload of the answer.
        answer: Bytes,
        /// Prompt and answer tokens reported by the engine.
        tokens_used: u64,
    },
    /// The call failed; the refusal says whether it ran.
    Failed {
        /// The refusal that is returned to the caller.
        refusal: RequestRefusal,
    },
    /// The outcome of the call is unknown.
    Unknown,
}

impl StepOutcome {
    pub(crate) fn into_result(self) -> RecordedOutcome {
        match self {
            Self::Completed {
                answer,
                tokens_used,
            } => RecordedOutcome::Completed {
                answer,
                tokens_used,
            },
            Self::Failed { refusal } => RecordedOutcome::Refused(refusal),
            Self::Unknown => RecordedOutcome::Refused(refusals::outcome_unknown()),
        }
    }
}

/// Recorded outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedOutcome {
    /// The call completed.
    Completed {
        /// Payload of the answer.
        answer: Bytes,
        /// Prompt and answer tokens used.
        tokens_used: u64,
    },
    /// The call was refused or failed; the refusal says whether it ran.
    Refused(RequestRefusal),
}

impl RecordedOutcome {
    /// Returns whether the call is known not to have run.
    #[must_use]
    pub fn did_not_run(&self) -> bool {
        match self {
            Self::Completed { .. } => false,
            Self::Refused(refusal) => refusal.get_run_state() == RunState::NotRun,
        }
    }

    /// Returns whether the step is settled, so that new attempts are refused.
    pub(crate) fn is_settled(&self, kind: StepKind) -> bool {
        match self {
            Self::Completed { .. } => true,
            Self::Refused(_) => !kind.is_idempotent() && !self.did_not_run(),
        }
    }
}

/// Recorded outcome of an attempt with its digest, returned for each repeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedStep {
    /// Number of the step.
    pub step: StepNumber,
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// Outcome of the attempt.
    pub result: RecordedOutcome,
    /// The program's digest after the attempt.
    pub digest: HistoryDigest,
}

/// Permission to run one attempt. It must be finished exactly once.
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
    /// Returns the key of the running attempt, as listed in
    /// [`EndedProgram::running`].
    #[must_use]
    pub const fn get_run(&self) -> RunKey {
        self.run
    }

    /// Returns the program's identifier.
    #[must_use]
    pub const fn get_program(&self) -> ProgramId {
        self.program
    }

    /// Returns the step's number.
    #[must_use]
    pub const fn get_step(&self) -> StepNumber {
        self.step
    }

    /// Returns the attempt's key.
    #[must_use]
    pub const fn get_attempt(&self) -> &AttemptKey {
        &self.attempt
    }

    /// Returns the epoch of the owner that admitted the attempt.
    #[must_use]
    pub const fn get_epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the earliest of the request's deadline, the program's deadline and
    /// the end of the program's wall-clock limit.
    #[must_use]
    pub const fn get_deadline(&self) -> Option<TimeStamp> {
        self.deadline
    }

    /// Returns the records to store before the first byte of the call is sent.
    #[must_use]
    pub fn get_records(&self) -> &[ProgramRecord] {
        &self.records
    }

    /// Returns whether an intent must be committed to the journal of paid actions
    /// before the first byte of the call is sent.
    #[must_use]
    pub const fn is_intent_needed(&self) -> bool {
        !self.kind.is_idempotent()
    }
}

/// Result of admitting a step request.
#[derive(Debug, PartialEq, Eq)]
pub enum StepAdmission {
    /// The attempt must be run now.
    Run(StepTicket),
    /// The request waits for the preceding steps.
    Wait(WaiterKey),
    /// The same attempt is running; the request waits for its outcome.
    Join(WaiterKey),
    /// The attempt already has an outcome.
    Recorded(RecordedStep),
}

/// A request that has stopped waiting, with its answer.
#[derive(Debug, PartialEq, Eq)]
pub struct WokenWaiter {
    /// Key of the waiting request.
    pub key: WaiterKey,
    /// Its answer; never [`StepAdmission::Wait`] or [`StepAdmission::Join`].
    pub result: Result<StepAdmission, RequestRefusal>,
}

/// Result of starting a program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedProgram {
    /// Identifier of the program.
    pub id: ProgramId,
    /// Digest of its empty history.
    pub digest: HistoryDigest,
    /// Records to store before the caller is answered.
    pub records: Vec<ProgramRecord>,
}

/// Result of finishing an attempt at a step.
#[derive(Debug, PartialEq, Eq)]
pub struct FinishedStep {
    /// The outcome that repeats of the attempt receive.
    pub record: RecordedStep,
    /// The program's digest after the attempt.
    pub digest: HistoryDigest,
    /// Records to store before any caller is answered.
    pub records: Vec<ProgramRecord>,
    /// Requests that stop waiting, with their answers.
    pub woken: Vec<WokenWaiter>,
    /// Tokens reported by the engine in excess of the reserved worst case.
    pub overrun_tokens: u64,
}

/// Result of ending a program.
#[derive(Debug, PartialEq, Eq)]
pub struct EndedProgram {
    /// Identifier of the program.
    pub id: ProgramId,
    /// Reason for the end.
    pub reason: EndReason,
    /// Records to store.
    pub records: Vec<ProgramRecord>,
    /// Runs of the program and its sub-agents to cancel. Their tickets must still
    /// be finished.
    pub running: Vec<RunKey>,
    /// Requests that stop waiting, with their answers.
    pub woken: Vec<WokenWaiter>,
}

/// Result of [`ProgramTable::expire`](crate::ProgramTable::expire).
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ExpiryReport {
    /// Programs that ended.
    pub ended: Vec<EndedProgram>,
    /// Waiting requests whose wait expired.
    pub woken: Vec<WokenWaiter>,
    /// Root programs removed from the table, whose histories the holders may drop.
    pub removed: Vec<ProgramId>,
}

/// Programs removed from the table, for example with the slot they belong to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RemovedPrograms {
    /// Root programs of a released slot.
    pub programs: Vec<ProgramId>,
    /// Runs to cancel. Finishing their tickets is refused.
    pub running: Vec<RunKey>,
    /// Requests that stop waiting, with their answers.
    pub woken: Vec<WokenWaiter>,
}

/// Lifecycle state of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ProgramStatus {
    /// The program is running and accepts steps.
    Running,
    /// The program has ended and accepts no more steps.
    Ended {
        /// Reason for the end.
        reason: EndReason,
        /// Time of the end.
        at: TimeStamp,
    },
}

/// Summary of a program for callers and operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ProgramSummary {
    /// Identifier of the program.
    pub id: ProgramId,
    /// Its workspace.
    pub workspace: WorkspaceName,
    /// Its declared name.
    pub name: String,
    /// The program that started it.
    pub parent: Option<ProgramId>,
    /// Its sub-agents.
    pub children: Vec<ProgramId>,
    /// Its lifecycle state.
    pub status: ProgramStatus,
    /// Number of the next step.
    pub next_step: StepNumber,
    /// Whether an attempt at that step is running.
    pub is_busy: bool,
    /// Digest of its history.
    pub digest: HistoryDigest,
    /// Its deadline.
    pub deadline: Option<TimeStamp>,
    /// Budget usage of its root program and all sub-agents.
    pub budget: BudgetUsage,
    /// Attempts and sub-agent starts that count towards its root program's step
    /// limit.
    pub tree_steps: u32,
}

/// Current state of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepView {
    /// The attempt with this key is running.
    Running(AttemptKey),
    /// The last attempt has an outcome.
    Recorded(RecordedStep),
    /// A request for the step waits for the preceding steps.
    Waiting,
}

/// Request and answer of a completed step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepExchange {
    /// Number of the step.
    pub step: StepNumber,
    /// Kind of the call.
    pub kind: StepKind,
    /// Payload of the request.
    pub request: Bytes,
    /// Payload of the answer.
    pub answer: Bytes,
    /// Prompt and answer tokens used.
    pub tokens_used: u64,
}
