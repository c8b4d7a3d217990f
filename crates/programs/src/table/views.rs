//! Read access to programs, for callers and operators.

use bytes::Bytes;
use ibisdale_core::{ProgramId, RequestRefusal, SlotId, StepNumber, WorkspaceName};

use crate::refusals;
use crate::result::{ProgramSummary, RecordedOutcome, StepExchange, StepView};
use crate::state::{AttemptState, ProgramState};
use crate::table::waiters::WaiterKind;
use crate::table::{ProgramKey, ProgramTable};

impl ProgramTable {
    /// Returns the summary of a program.
    ///
    /// # Errors
    ///
    /// Refuses when there is no such program in the workspace.
    pub fn summary(
        &self,
        program: ProgramId,
        workspace: &WorkspaceName,
    ) -> Result<ProgramSummary, RequestRefusal> {
        let key = self.find_in_workspace(program, workspace)?;
        Ok(self.summarize(key))
    }

    /// Returns the summary of a program in any workspace.
    ///
    /// # Errors
    ///
    /// Refuses when this daemon does not have the program.
    pub fn summary_in_any_workspace(
        &self,
        program: ProgramId,
    ) -> Result<ProgramSummary, RequestRefusal> {
        let key = self.find_in_any_workspace(program)?;
        Ok(self.summarize(key))
    }

    /// Returns the summaries of all programs of a slot.
    #[must_use]
    pub fn programs_of_slot(&self, slot: SlotId) -> Vec<ProgramSummary> {
        self.summaries(|program| program.slot() == slot)
    }

    /// Returns the summaries of all programs.
    #[must_use]
    pub fn all_programs(&self) -> Vec<ProgramSummary> {
        self.summaries(|_| true)
    }

    /// Returns the state of a step.
    ///
    /// # Errors
    ///
    /// Refuses when there is no such program in the workspace, or the step has no
    /// attempt and no waiting request.
    pub fn step_state(
        &self,
        program: ProgramId,
        workspace: &WorkspaceName,
        step: StepNumber,
    ) -> Result<StepView, RequestRefusal> {
        let key = self.find_in_workspace(program, workspace)?;
        let program = &self.programs[key];
        let attempt = program.step(step).and_then(|step| step.attempts.last());
        match attempt {
            Some(attempt) => Ok(step_view(attempt)),
            None if self.has_early_request(program, step) => Ok(StepView::Waiting),
            None => Err(refusals::unknown_step()),
        }
    }

    /// Returns, in step order, the completed exchanges that the next prompt starts
    /// with.
    ///
    /// # Errors
    ///
    /// Refuses when there is no such program in the workspace.
    pub fn history(
        &self,
        program: ProgramId,
        workspace: &WorkspaceName,
    ) -> Result<Vec<StepExchange>, RequestRefusal> {
        let key = self.find_in_workspace(program, workspace)?;
        let program = &self.programs[key];
        let attempts = program.steps.iter().filter_map(|step| step.attempts.last());
        Ok(attempts.filter_map(step_exchange).collect())
    }

    /// Returns whether an early request for this step is waiting.
    fn has_early_request(&self, program: &ProgramState, step: StepNumber) -> bool {
        program.early_waiters.iter().any(|waiter| {
            let state = self.waiters.get(*waiter);
            state.is_some_and(
                |state| matches!(&state.kind, WaiterKind::Early(request) if request.step == step),
            )
        })
    }

    fn summaries(&self, is_included: impl Fn(ProgramId) -> bool) -> Vec<ProgramSummary> {
        let mut summaries: Vec<_> = self
            .programs
            .iter()
            .filter(|(_, program)| is_included(program.id))
            .map(|(key, _)| self.summarize(key))
            .collect();
        summaries.sort_by_key(|summary| summary.id);
        summaries
    }

    fn summarize(&self, key: ProgramKey) -> ProgramSummary {
        let program = &self.programs[key];
        let tree = &self.trees[program.tree];
        let id_of = |key: &ProgramKey| self.programs[*key].id;
        ProgramSummary {
            id: program.id,
            workspace: program.workspace.clone(),
            name: lossy_name(&program.name),
            parent: program.parent.as_ref().map(id_of),
            children: program.children.iter().map(id_of).collect(),
            status: program.status,
            next_step: program.next_step(),
            is_busy: program.running().is_some(),
            digest: program.digest,
            deadline: program.deadline,
            budget: tree.budget,
            tree_steps: tree.counted_steps,
        }
    }
}

fn lossy_name(name: &Bytes) -> String {
    String::from_utf8_lossy(name).into_owned()
}

fn step_view(attempt: &AttemptState) -> StepView {
    match &attempt.record {
        Some(record) => StepView::Recorded(record.clone()),
        None => StepView::Running(attempt.key.clone()),
    }
}

fn step_exchange(attempt: &AttemptState) -> Option<StepExchange> {
    let record = attempt.record.as_ref()?;
    let RecordedOutcome::Completed {
        answer,
        tokens_used,
    } = &record.result
    else {
        return None;
    };
    Some(StepExchange {
        step: record.step,
        kind: attempt.kind,
        request: attempt.request.clone(),
        answer: answer.clone(),
        tokens_used: *tokens_used,
    })
}
