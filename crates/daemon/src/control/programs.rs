//! Requests about programs.

use std::rc::Rc;

use ibisdale_core::{ProgramId, RefusalCode, RequestRefusal, WorkspaceName};
use ibisdale_programs::{
    FinishedStep, KeyLabel, ProgramSummary, RecordedStep, StartRequest, StartedProgram,
    StepExchange, StepKind, StepOutcome, StepRequest, StepTicket,
};

use super::history::stored;
use super::message::{AdmittedStep, NewProgram, ReplySender};
use super::run::{ControlTasks, SharedState};
use super::state::{ControlState, WaitingStep, answer};
use crate::clock::unix_now;
use crate::history::StoreResult;

/// A program with its records on the way to the holders.
pub(super) struct PendingStart {
    started: StartedProgram,
    result: async_channel::Receiver<StoreResult>,
}

/// A finished step with its records on the way to the holders.
pub(super) struct PendingFinish {
    finished: FinishedStep,
    result: async_channel::Receiver<StoreResult>,
}

/// Answers once the records are stored.
pub(super) fn answer_started(
    tasks: &ControlTasks,
    pending: Result<PendingStart, RequestRefusal>,
    reply: ReplySender<Result<StartedProgram, RequestRefusal>>,
) {
    let pending = match pending {
        Ok(pending) => pending,
        Err(refusal) => return answer(&reply, Err(refusal)),
    };
    let task = async move {
        let result = stored(pending.result).await.map(|()| pending.started);
        answer(&reply, result);
    };
    tasks.spawn(task).detach();
}

/// Answers once records are stored.
pub(super) fn answer_stored(
    tasks: &ControlTasks,
    pending: Result<async_channel::Receiver<StoreResult>, RequestRefusal>,
    reply: ReplySender<Result<(), RequestRefusal>>,
) {
    match pending {
        Ok(result) => {
            let task = async move { answer(&reply, stored(result).await) };
            tasks.spawn(task).detach();
        }
        Err(refusal) => answer(&reply, Err(refusal)),
    }
}

/// Answers, and wakes who waits, once the records are stored.
pub(super) fn answer_finished(
    tasks: &ControlTasks,
    shared: &SharedState,
    pending: Result<PendingFinish, RequestRefusal>,
    reply: ReplySender<Result<RecordedStep, RequestRefusal>>,
) {
    let pending = match pending {
        Ok(pending) => pending,
        Err(refusal) => return answer(&reply, Err(refusal)),
    };
    let shared = Rc::clone(shared);
    let task = async move {
        let result = stored(pending.result).await;
        let finished = pending.finished;
        answer(&reply, result.map(|()| finished.record));
        shared.borrow_mut().wake(finished.woken);
    };
    tasks.spawn(task).detach();
}

fn no_slot() -> RequestRefusal {
    let message = "this daemon owns no slots yet";
    RequestRefusal::new(RefusalCode::OwnerUnavailable, message).retry_after(SLOT_RETRY_DELAY)
}

/// Time after which a daemon without slots is worth another try.
const SLOT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_secs(1);

impl ControlState {
    pub(super) fn start_program(
        &mut self,
        new: NewProgram,
    ) -> Result<PendingStart, RequestRefusal> {
        let slot = match new.parent {
            Some(parent) => parent.slot(),
            None => self.pick_slot().ok_or_else(no_slot)?,
        };
        let id = ProgramId::generate(slot, &mut self.random);
        let mut start = StartRequest::new(id, new.workspace, new.name)
            .budget(new.budget)
            .limits(new.limits);
        if let Some(key) = new.key {
            start = start.key(key);
        }
        if let Some(parent) = new.parent {
            start = start.parent(parent);
        }
        if let Some(deadline) = new.deadline {
            start = start.deadline(deadline);
        }
        let started = self.table.start(start, unix_now())?;
        let result = self.append(started.records.clone());
        Ok(PendingStart { started, result })
    }

    pub(super) fn admit_step(
        &mut self,
        request: StepRequest,
        reply: ReplySender<Result<AdmittedStep, RequestRefusal>>,
    ) {
        let waiting = WaitingStep {
            program: request.get_program(),
            workspace: request.get_workspace().clone(),
            reply,
        };
        match self.table.admit_step(request, unix_now()) {
            Ok(admission) => self.answer_admission(admission, waiting),
            Err(refusal) => answer(&waiting.reply, Err(refusal)),
        }
    }

    /// Lets an admitted step run.
    pub(super) fn run_step(&mut self, ticket: StepTicket, waiting: &WaitingStep) {
        let history = self
            .table
            .history(waiting.program, &waiting.workspace)
            .unwrap_or_default();
        let (sender, cancel) = async_channel::bounded(1);
        self.runs.insert(ticket.get_run(), sender);
        let stored = self.append(ticket.get_records().to_vec());
        let admitted = AdmittedStep::Run {
            ticket: Box::new(ticket),
            stored,
            cancel,
            history,
        };
        if let Err(error) = waiting.reply.try_send(Ok(admitted)) {
            self.take_back(error.into_inner());
        }
    }

    /// Finishes a run whose requester is gone, since nothing of it was sent.
    fn take_back(&mut self, unsent: Result<AdmittedStep, RequestRefusal>) {
        let Ok(AdmittedStep::Run { ticket, .. }) = unsent else {
            return;
        };
        let refusal = RequestRefusal::new(RefusalCode::DeadlineExceeded, "the caller is gone");
        match self.finish_step(*ticket, StepOutcome::Failed { refusal }) {
            Ok(pending) => self.wake(pending.finished.woken),
            Err(refusal) => log::warn!("a step was not taken back: {}", refusal.get_message()),
        }
    }

    pub(super) fn finish_step(
        &mut self,
        ticket: StepTicket,
        outcome: StepOutcome,
    ) -> Result<PendingFinish, RequestRefusal> {
        self.runs.remove(ticket.get_run());
        let finished = self.table.finish_step(ticket, outcome, unix_now())?;
        let result = self.append(finished.records.clone());
        Ok(PendingFinish { finished, result })
    }

    pub(super) fn end_program(
        &mut self,
        program: ProgramId,
        workspace: &WorkspaceName,
    ) -> Result<ProgramSummary, RequestRefusal> {
        let ended = self.table.end(program, workspace, unix_now())?;
        self.apply_end(ended);
        self.table.summary(program, workspace)
    }

    pub(super) fn cancel_program(
        &mut self,
        program: ProgramId,
        workspace: Option<&WorkspaceName>,
    ) -> Result<ProgramSummary, RequestRefusal> {
        let ended = match workspace {
            Some(workspace) => self.table.cancel(program, workspace, unix_now())?,
            None => self.table.cancel_in_any_workspace(program, unix_now())?,
        };
        self.apply_end(ended);
        self.table.summary_in_any_workspace(program)
    }

    pub(super) fn summarize(
        &self,
        program: ProgramId,
        workspace: Option<&WorkspaceName>,
    ) -> Result<ProgramSummary, RequestRefusal> {
        match workspace {
            Some(workspace) => self.table.summary(program, workspace),
            None => self.table.summary_in_any_workspace(program),
        }
    }

    pub(super) fn end_withdrawn(&mut self, workspace: &WorkspaceName, key: &KeyLabel) {
        match self.table.end_programs_of_key(workspace, key, unix_now()) {
            Ok(ended) => ended
                .into_iter()
                .for_each(|program| self.apply_end(program)),
            Err(refusal) => log::warn!("programs not ended: {}", refusal.get_message()),
        }
    }
}

/// Returns the tokens of prompt and answer that the last model call used.
pub(crate) fn known_tokens(history: &[StepExchange]) -> u64 {
    let is_model = |exchange: &&StepExchange| matches!(exchange.kind, StepKind::Model { .. });
    let last = history.iter().rev().find(is_model);
    last.map_or(0, |exchange| exchange.tokens_used)
}
