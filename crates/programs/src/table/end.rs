//! Ending and cancellation of programs.

use ibisdale_core::{ProgramId, RequestRefusal, TimeStamp, WorkspaceName};

use crate::record::{EndReason, KeyLabel, ProgramEnded, ProgramEvent};
use crate::refusals;
use crate::result::{EndedProgram, ProgramStatus, WokenWaiter};
use crate::state::ProgramState;
use crate::table::expiry::TimerTarget;
use crate::table::{ProgramKey, ProgramTable, WaiterKey};

impl ProgramTable {
    /// Ends a program and its sub-agents at the caller's request.
    ///
    /// A repeated call returns the reason of the first end, without records.
    ///
    /// # Errors
    ///
    /// Refuses when there is no such program in the workspace, or a step of it
    /// or of a sub-agent is running.
    pub fn end(
        &mut self,
        program: ProgramId,
        workspace: &WorkspaceName,
        now: TimeStamp,
    ) -> Result<EndedProgram, RequestRefusal> {
        let key = self.find_in_workspace(program, workspace)?;
        if self.programs[key].is_running() && self.has_running_step(key) {
            return Err(refusals::other_attempt_running());
        }
        self.end_with_descendants(key, EndReason::Finished, now)
    }

    /// Cancels a program and its sub-agents, including their running steps.
    ///
    /// # Errors
    ///
    /// Refuses when there is no such program in the workspace.
    pub fn cancel(
        &mut self,
        program: ProgramId,
        workspace: &WorkspaceName,
        now: TimeStamp,
    ) -> Result<EndedProgram, RequestRefusal> {
        let key = self.find_in_workspace(program, workspace)?;
        self.end_with_descendants(key, EndReason::Cancelled, now)
    }

    /// Cancels a program in any workspace, at an operator's request.
    ///
    /// # Errors
    ///
    /// Refuses when this daemon does not have the program.
    pub fn cancel_in_any_workspace(
        &mut self,
        program: ProgramId,
        now: TimeStamp,
    ) -> Result<EndedProgram, RequestRefusal> {
        self.check_slot(program.slot())?;
        let key = self.find_in_any_workspace(program)?;
        self.end_with_descendants(key, EndReason::Cancelled, now)
    }

    /// Ends the programs that were started with an API key that is now withdrawn.
    ///
    /// # Errors
    ///
    /// Fails when an end can't be recorded.
    pub fn end_programs_of_key(
        &mut self,
        workspace: &WorkspaceName,
        label: &KeyLabel,
        now: TimeStamp,
    ) -> Result<Vec<EndedProgram>, RequestRefusal> {
        let is_affected = |program: &ProgramState| {
            program.is_running()
                && program.workspace == *workspace
                && program.key_label.as_ref() == Some(label)
        };
        let matching: Vec<_> = self
            .programs
            .iter()
            .filter(|(_, program)| is_affected(program))
            .map(|(key, _)| key)
            .collect();
        let mut ended = Vec::with_capacity(matching.len());
        for key in matching {
            if self.programs[key].is_running() {
                ended.push(self.end_with_descendants(key, EndReason::KeyWithdrawn, now)?);
            }
        }
        Ok(ended)
    }

    /// Ends a program and all its descendants; does nothing if it has ended.
    pub(super) fn end_with_descendants(
        &mut self,
        key: ProgramKey,
        reason: EndReason,
        now: TimeStamp,
    ) -> Result<EndedProgram, RequestRefusal> {
        let program = &self.programs[key];
        let mut ended = EndedProgram {
            id: program.id,
            reason,
            records: Vec::new(),
            running: Vec::new(),
            woken: Vec::new(),
        };
        if let ProgramStatus::Ended { reason, .. } = program.status {
            ended.reason = reason;
            return Ok(ended);
        }
        self.end_one(key, reason, now, &mut ended)?;
        for child in self.descendants(key) {
            if self.programs[child].is_running() {
                self.end_one(child, EndReason::ParentEnded, now, &mut ended)?;
            }
        }
        Ok(ended)
    }

    fn end_one(
        &mut self,
        key: ProgramKey,
        reason: EndReason,
        now: TimeStamp,
        ended: &mut EndedProgram,
    ) -> Result<(), RequestRefusal> {
        let event = ProgramEvent::ProgramEnded(ProgramEnded { reason, at: now });
        ended.records.push(self.append_event(key, event)?);
        let program = &mut self.programs[key];
        let early = std::mem::take(&mut program.early_waiters);
        let attempt = program
            .steps
            .last_mut()
            .and_then(|step| step.attempts.last_mut())
            .filter(|attempt| attempt.record.is_none());
        let mut joined = Vec::new();
        if let Some(attempt) = attempt {
            joined = std::mem::take(&mut attempt.joined_waiters);
            ended.running.extend(attempt.run);
        }
        let tree = program.tree;
        self.refuse_waiters(early, &refusals::program_ended(), &mut ended.woken);
        self.refuse_waiters(joined, &refusals::outcome_unknown(), &mut ended.woken);
        self.queue_cleanup(key);
        self.set_timer(
            now.plus(self.options.ended_retention),
            TimerTarget::EndedTree(tree),
        );
        Ok(())
    }

    fn refuse_waiters(
        &mut self,
        waiters: Vec<WaiterKey>,
        refusal: &RequestRefusal,
        woken: &mut Vec<WokenWaiter>,
    ) {
        for key in waiters {
            self.waiters.remove(key);
            woken.push(WokenWaiter {
                key,
                result: Err(self.mark_unknown_if_uncertain(refusal.clone())),
            });
        }
    }

    /// Returns the sub-agents that a program started directly or indirectly.
    pub(super) fn descendants(&self, key: ProgramKey) -> Vec<ProgramKey> {
        let mut found = self.programs[key].children.clone();
        let mut index = 0;
        while let Some(child) = found.get(index).copied() {
            found.extend_from_slice(&self.programs[child].children);
            index += 1;
        }
        found
    }

    /// Returns whether a step of the program or of a descendant is running.
    pub(super) fn has_running_step(&self, key: ProgramKey) -> bool {
        let mut members = self.descendants(key);
        members.push(key);
        members
            .into_iter()
            .any(|member| self.programs[member].running().is_some())
    }
}
