//! State of programs, rebuilt by applying the events of their histories.

use std::collections::BTreeSet;

use bytes::Bytes;
use ibisdale_core::{AttemptKey, HistoryDigest, ProgramId, StepNumber, TimeStamp, WorkspaceName};
use snafu::Snafu;

use crate::account::{BudgetAmount, BudgetUsage, ProgramLimits};
use crate::record::{
    EndReason, EngineAddress, KeyLabel, ProgramEnded, ProgramRecord, ProgramStarted, RecordError,
    StepFinished, StepStarted,
};
use crate::request::StepKind;
use crate::result::{ProgramStatus, RecordedOutcome, RecordedStep};
use crate::table::{ProgramKey, RunKey, TreeKey, WaiterKey};

/// Why a history can't be imported, with the position of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("import failed at history record {sequence}: {fault}"))]
pub struct HistoryError {
    /// Position of the record in the history.
    pub sequence: u64,
    /// Why the import failed.
    pub fault: HistoryFault,
}

/// Reason why a history can't be imported or an event can't be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum HistoryFault {
    /// The history has no records.
    #[snafu(display("the history is empty"))]
    Empty,
    /// The record can't be decoded.
    #[snafu(display("{error}"))]
    Unreadable {
        /// The decoder's error.
        error: RecordError,
    },
    /// The record's sequence number is not the expected one: a record is missing
    /// or duplicated.
    #[snafu(display("unexpected sequence {found}"))]
    UnexpectedSequence {
        /// The record's sequence number.
        found: u64,
    },
    /// The record belongs to the history of another root program, or its program
    /// belongs to another slot.
    #[snafu(display(
        "the record belongs to the history of {root}, or its program to another slot"
    ))]
    WrongRoot {
        /// The root program of the record.
        root: ProgramId,
    },
    /// The record's epoch is below that of the previous record or above the epoch
    /// under which the slot is owned.
    #[snafu(display("epoch {epoch} is below the previous record's or above the owner's"))]
    InvalidEpoch {
        /// The record's epoch.
        epoch: u64,
    },
    /// The event is not allowed after the events before it.
    #[snafu(display("the event does not follow: {reason}"))]
    InvalidEvent {
        /// Why the event is not allowed.
        reason: &'static str,
    },
    /// The slot is not owned, or the program is already in the table.
    #[snafu(display("the program can't be imported: {reason}"))]
    NotImportable {
        /// Why the program can't be imported.
        reason: &'static str,
    },
}

pub(crate) type EventResult = Result<(), HistoryFault>;

pub(crate) const fn invalid_event(reason: &'static str) -> HistoryFault {
    HistoryFault::InvalidEvent { reason }
}

/// An attempt without a recorded outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenAttempt {
    /// Identifier of the program.
    pub program: ProgramId,
    /// Number of the step.
    pub step: StepNumber,
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// Kind of the call.
    pub kind: StepKind,
    /// Epoch of the owner that admitted it.
    pub epoch: u64,
}

/// State that a root program shares with its sub-agents.
#[derive(Debug)]
pub(crate) struct TreeState {
    pub(crate) root: ProgramId,
    pub(crate) budget: BudgetUsage,
    /// Attempts and sub-agent starts that count towards the step limit.
    pub(crate) counted_steps: u32,
    pub(crate) step_limit: Option<u32>,
    pub(crate) records: Vec<ProgramRecord>,
    pub(crate) members: Vec<ProgramKey>,
}

impl TreeState {
    pub(crate) fn new(root: ProgramId, started: &ProgramStarted) -> Self {
        Self {
            root,
            budget: BudgetUsage::new(started.budget),
            counted_steps: 0,
            step_limit: started.limits.steps,
            records: Vec::new(),
            members: Vec::new(),
        }
    }

    pub(crate) fn is_below_step_limit(&self) -> bool {
        self.step_limit
            .is_none_or(|limit| self.counted_steps < limit)
    }
}

/// State of one attempt at a step.
#[derive(Debug)]
pub(crate) struct AttemptState {
    pub(crate) key: AttemptKey,
    pub(crate) kind: StepKind,
    pub(crate) request: Bytes,
    pub(crate) epoch: u64,
    pub(crate) record: Option<RecordedStep>,
    pub(crate) run: Option<RunKey>,
    pub(crate) joined_waiters: Vec<WaiterKey>,
}

impl AttemptState {
    /// Returns the tokens used by a model call that completed.
    fn model_tokens_used(&self) -> Option<u64> {
        let record = self.record.as_ref()?;
        match (self.kind, &record.result) {
            (StepKind::Model { .. }, RecordedOutcome::Completed { tokens_used, .. }) => {
                Some(*tokens_used)
            }
            _ => None,
        }
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.record
            .as_ref()
            .is_some_and(|record| record.result.is_settled(self.kind))
    }
}

/// State of one step: its attempts, oldest first.
#[derive(Debug, Default)]
pub(crate) struct StepState {
    pub(crate) attempts: Vec<AttemptState>,
}

impl StepState {
    pub(crate) fn is_settled(&self) -> bool {
        self.attempts.last().is_some_and(AttemptState::is_settled)
    }

    pub(crate) fn attempt(&self, key: &AttemptKey) -> Option<&AttemptState> {
        self.attempts.iter().find(|attempt| attempt.key == *key)
    }

    pub(crate) fn running(&self) -> Option<&AttemptState> {
        self.attempts
            .last()
            .filter(|attempt| attempt.record.is_none())
    }
}

/// State of one program, which is a root or a sub-agent.
#[derive(Debug)]
pub(crate) struct ProgramState {
    pub(crate) id: ProgramId,
    pub(crate) tree: TreeKey,
    pub(crate) parent: Option<ProgramKey>,
    pub(crate) children: Vec<ProgramKey>,
    pub(crate) workspace: WorkspaceName,
    pub(crate) name: Bytes,
    pub(crate) key_label: Option<KeyLabel>,
    pub(crate) deadline: Option<TimeStamp>,
    pub(crate) wall_clock_end: Option<TimeStamp>,
    pub(crate) limits: ProgramLimits,
    pub(crate) steps: Vec<StepState>,
    /// Attempts, including a running one, that count towards the step limit.
    pub(crate) attempt_count: u32,
    pub(crate) digest: HistoryDigest,
    pub(crate) status: ProgramStatus,
    pub(crate) sessions: BTreeSet<EngineAddress>,
    pub(crate) early_waiters: Vec<WaiterKey>,
    pub(crate) last_activity: TimeStamp,
    pub(crate) pending_end: Option<EndReason>,
}

impl ProgramState {
    pub(crate) fn new(
        id: ProgramId,
        tree: TreeKey,
        parent: Option<ProgramKey>,
        started: &ProgramStarted,
    ) -> Self {
        let wall_clock = started.limits.wall_clock_ms;
        Self {
            id,
            tree,
            parent,
            children: Vec::new(),
            workspace: started.workspace.clone(),
            name: started.name.clone(),
            key_label: started.key.clone(),
            deadline: started.deadline,
            wall_clock_end: wall_clock
                .map(|limit| TimeStamp::from_millis(started.at.as_millis().saturating_add(limit))),
            limits: started.limits,
            steps: Vec::new(),
            attempt_count: 0,
            digest: HistoryDigest::EMPTY,
            status: ProgramStatus::Running,
            sessions: BTreeSet::new(),
            early_waiters: Vec::new(),
            last_activity: started.at,
            pending_end: None,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        self.status == ProgramStatus::Running
    }

    /// Returns the prompt and answer tokens of the last completed model call,
    /// whose prompt and answer make up the history that the next prompt begins
    /// with.
    pub(crate) fn history_tokens(&self) -> u64 {
        let steps = self.steps.iter().rev();
        let mut attempts = steps.filter_map(|step| step.attempts.last());
        attempts
            .find_map(AttemptState::model_tokens_used)
            .unwrap_or(0)
    }

    pub(crate) fn is_below_step_limit(&self) -> bool {
        self.limits
            .steps
            .is_none_or(|limit| self.attempt_count < limit)
    }

    /// Returns the running step or, if none is running, the step that may run
    /// next.
    pub(crate) fn next_step(&self) -> StepNumber {
        let count = u32::try_from(self.steps.len()).unwrap_or(u32::MAX);
        let is_last_settled = self.steps.last().is_none_or(StepState::is_settled);
        StepNumber::new(count.saturating_add(u32::from(is_last_settled)))
    }

    pub(crate) fn step(&self, number: StepNumber) -> Option<&StepState> {
        self.steps.get(step_index(number)?)
    }

    pub(crate) fn step_mut(&mut self, number: StepNumber) -> Option<&mut StepState> {
        self.steps.get_mut(step_index(number)?)
    }

    pub(crate) fn running(&self) -> Option<&AttemptState> {
        self.steps.last().and_then(StepState::running)
    }

    /// Applies the start of an attempt: reserves its worst case and counts it.
    pub(crate) fn apply_started(
        &mut self,
        tree: &mut TreeState,
        started: &StepStarted,
        epoch: u64,
    ) -> EventResult {
        if !self.is_running() {
            return Err(invalid_event("a step started after the program's end"));
        }
        if started.step != self.next_step() || self.running().is_some() {
            return Err(invalid_event("a step started out of order"));
        }
        if self.step(started.step).is_none() {
            self.steps.push(StepState::default());
        }
        let step = self.steps.last_mut().ok_or(invalid_event("no step"))?;
        if step.attempt(&started.attempt).is_some() {
            return Err(invalid_event("an attempt started twice"));
        }
        step.attempts.push(AttemptState {
            key: started.attempt.clone(),
            kind: started.kind,
            request: started.request.clone(),
            epoch,
            record: None,
            run: None,
            joined_waiters: Vec::new(),
        });
        self.attempt_count = self.attempt_count.saturating_add(1);
        self.last_activity = self.last_activity.max(started.at);
        tree.counted_steps = tree.counted_steps.saturating_add(1);
        tree.budget.reserve(started.kind.worst_case());
        Ok(())
    }

    /// Applies the outcome of the running attempt: extends the digest and settles
    /// the budget. An attempt that did not run no longer counts.
    pub(crate) fn apply_finished(
        &mut self,
        tree: &mut TreeState,
        finished: &StepFinished,
    ) -> EventResult {
        let mut digest = self.digest;
        let attempt = self
            .step_mut(finished.step)
            .and_then(|step| step.attempts.last_mut())
            .filter(|attempt| attempt.key == finished.attempt && attempt.record.is_none())
            .ok_or(invalid_event("an outcome without a running attempt"))?;
        if let RecordedOutcome::Completed { answer, .. } = &finished.result {
            digest = digest.append(&attempt.request).append(answer);
        }
        attempt.record = Some(RecordedStep {
            step: finished.step,
            attempt: finished.attempt.clone(),
            result: finished.result.clone(),
            digest,
        });
        let kind = attempt.kind;
        self.digest = digest;
        if finished.result.did_not_run() {
            self.attempt_count = self.attempt_count.saturating_sub(1);
            tree.counted_steps = tree.counted_steps.saturating_sub(1);
        }
        tree.budget
            .settle(kind.worst_case(), used_amount(kind, &finished.result));
        Ok(())
    }

    pub(crate) fn apply_ended(&mut self, ended: ProgramEnded) -> EventResult {
        if !self.is_running() {
            return Err(invalid_event("the program ended twice"));
        }
        self.status = ProgramStatus::Ended {
            reason: ended.reason,
            at: ended.at,
        };
        Ok(())
    }
}

fn step_index(number: StepNumber) -> Option<usize> {
    usize::try_from(number.get().checked_sub(1)?).ok()
}

fn used_amount(kind: StepKind, result: &RecordedOutcome) -> BudgetAmount {
    if result.did_not_run() {
        return BudgetAmount::default();
    }
    let worst_case = kind.worst_case();
    match (kind, result) {
        (StepKind::Model { .. }, RecordedOutcome::Completed { tokens_used, .. }) => BudgetAmount {
            tokens: *tokens_used,
            paid_actions: 0,
        },
        _ => worst_case,
    }
}
