//! Admission of steps: order, repeated requests, budget and limits.

use ibisdale_core::{RequestRefusal, RunState, TimeStamp};

use crate::record::{EndReason, ProgramEvent, StepStarted};
use crate::refusals;
use crate::request::StepRequest;
use crate::result::{StepAdmission, StepTicket};
use crate::state::AttemptState;
use crate::table::expiry::TimerTarget;
use crate::table::waiters::{WaiterKind, WaiterState};
use crate::table::{
    ActiveRun, MAX_ATTEMPTS_PER_STEP, MAX_STEPS_AHEAD, MAX_WAITERS_PER_PROGRAM, ProgramKey,
    ProgramTable, WaiterKey,
};

impl ProgramTable {
    /// Admits a request to run a step.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the order of steps, the digest, a limit, the budget or
    /// the program's end does not allow the request, its attempt key was used for
    /// another request, or too many requests wait. The run state is
    /// [`RunState::NotRun`], or [`RunState::Unknown`] if the attempt is running, the
    /// program's history is not available or ownership is uncertain.
    pub fn admit_step(
        &mut self,
        request: StepRequest,
        now: TimeStamp,
    ) -> Result<StepAdmission, RequestRefusal> {
        let key = self
            .find_in_workspace(request.program, &request.workspace)
            .map_err(|refusal| refusal.run_state(RunState::Unknown))?;
        self.admit(key, request, now, None)
            .map_err(|refusal| self.mark_unknown_if_uncertain(refusal))
    }

    /// Admits a request; `waiter` is its key if it has waited before.
    pub(super) fn admit(
        &mut self,
        key: ProgramKey,
        request: StepRequest,
        now: TimeStamp,
        waiter: Option<WaiterKey>,
    ) -> Result<StepAdmission, RequestRefusal> {
        let step = self.programs[key].step(request.step);
        if let Some(attempt) = step.and_then(|step| step.attempt(&request.attempt)) {
            check_same_request(attempt, &request)?;
            return match &attempt.record {
                Some(record) => Ok(StepAdmission::Recorded(record.clone())),
                None => self.join_attempt(key, &request, now, waiter),
            };
        }
        self.check_not_ended_or_expired(key, &request, now)?;
        if request.step > self.programs[key].next_step() {
            return self.add_early_waiter(key, request, now, waiter);
        }
        self.check_step_and_digest(key, &request)?;
        let request = StepRequest {
            kind: request
                .kind
                .with_history(self.programs[key].history_tokens()),
            ..request
        };
        self.enforce_limits(key, &request, now)?;
        self.start_attempt(key, request, now)
    }

    fn join_attempt(
        &mut self,
        key: ProgramKey,
        request: &StepRequest,
        now: TimeStamp,
        waiter: Option<WaiterKey>,
    ) -> Result<StepAdmission, RequestRefusal> {
        let waiter_count = self.programs[key]
            .running()
            .map_or(0, |attempt| attempt.joined_waiters.len());
        if waiter_count >= MAX_WAITERS_PER_PROGRAM {
            return Err(refusals::same_attempt_running());
        }
        let state = WaiterState {
            program: key,
            expires_at: request.wait_deadline(now, self.options.repeat_timeout),
            kind: WaiterKind::Joined(request.step, request.attempt.clone()),
        };
        let waiter = self.add_waiter(state, waiter);
        let step = self.programs[key].step_mut(request.step);
        if let Some(attempt) = step.and_then(|step| step.attempts.last_mut()) {
            attempt.joined_waiters.push(waiter);
        }
        Ok(StepAdmission::Join(waiter))
    }

    fn add_early_waiter(
        &mut self,
        key: ProgramKey,
        request: StepRequest,
        now: TimeStamp,
        waiter: Option<WaiterKey>,
    ) -> Result<StepAdmission, RequestRefusal> {
        let program = &self.programs[key];
        let steps_ahead = request.step.get() - program.next_step().get();
        if steps_ahead > MAX_STEPS_AHEAD {
            return Err(refusals::wrong_step());
        }
        if program.early_waiters.len() >= MAX_WAITERS_PER_PROGRAM {
            return Err(refusals::overloaded(
                "too many requests wait for this program",
            ));
        }
        let state = WaiterState {
            program: key,
            expires_at: request.wait_deadline(now, self.options.early_step_timeout),
            kind: WaiterKind::Early(Box::new(request)),
        };
        let waiter = self.add_waiter(state, waiter);
        self.programs[key].early_waiters.push(waiter);
        Ok(StepAdmission::Wait(waiter))
    }

    fn check_not_ended_or_expired(
        &self,
        key: ProgramKey,
        request: &StepRequest,
        now: TimeStamp,
    ) -> Result<(), RequestRefusal> {
        if !self.programs[key].is_running() {
            return Err(refusals::program_ended());
        }
        if Self::has_passed(request.deadline, now) {
            return Err(refusals::deadline_exceeded());
        }
        self.expiry_refusal(key, now).map_or(Ok(()), Err)
    }

    fn check_step_and_digest(
        &self,
        key: ProgramKey,
        request: &StepRequest,
    ) -> Result<(), RequestRefusal> {
        let program = &self.programs[key];
        if request.step.get() == 0 {
            return Err(refusals::bad_request("steps are numbered from 1"));
        }
        if request.step < program.next_step() {
            return Err(refusals::attempt_mismatch(
                "the step was settled by another attempt",
            ));
        }
        if program.running().is_some() {
            return Err(refusals::other_attempt_running());
        }
        if request
            .digest
            .is_some_and(|digest| digest != program.digest)
        {
            return Err(refusals::history_mismatch());
        }
        Ok(())
    }

    fn enforce_limits(
        &mut self,
        key: ProgramKey,
        request: &StepRequest,
        now: TimeStamp,
    ) -> Result<(), RequestRefusal> {
        let program = &self.programs[key];
        let tree = &self.trees[program.tree];
        if !program.is_below_step_limit() {
            self.schedule_end(key, EndReason::StepLimit, now);
            return Err(refusals::limit_reached("step"));
        }
        if !tree.is_below_step_limit() {
            let root = tree.members[0];
            self.schedule_end(root, EndReason::StepLimit, now);
            return Err(refusals::limit_reached("step"));
        }
        let attempt_count = program
            .step(request.step)
            .map_or(0, |step| step.attempts.len());
        if attempt_count >= MAX_ATTEMPTS_PER_STEP {
            return Err(refusals::limit_reached("attempt"));
        }
        if tree.budget.can_reserve(request.kind.worst_case()) {
            return Ok(());
        }
        let tokens = &tree.budget.tokens;
        if tokens.reserved == 0 && tokens.remaining() == Some(0) {
            let root = tree.members[0];
            self.schedule_end(root, EndReason::OutOfBudget, now);
        }
        Err(refusals::budget_exceeded())
    }

    fn start_attempt(
        &mut self,
        key: ProgramKey,
        request: StepRequest,
        now: TimeStamp,
    ) -> Result<StepAdmission, RequestRefusal> {
        let started = StepStarted {
            step: request.step,
            attempt: request.attempt.clone(),
            kind: request.kind,
            request: request.payload,
            at: now,
        };
        let record = self.append_event(key, ProgramEvent::StepStarted(started))?;
        let run = self.runs.insert(ActiveRun { program: key });
        let program = &mut self.programs[key];
        if let Some(attempt) = program
            .step_mut(request.step)
            .and_then(|step| step.attempts.last_mut())
        {
            attempt.run = Some(run);
        }
        let deadlines = [request.deadline, program.deadline, program.wall_clock_end];
        Ok(StepAdmission::Run(StepTicket {
            run,
            program: request.program,
            step: request.step,
            attempt: request.attempt,
            kind: request.kind,
            epoch: record.epoch,
            deadline: deadlines.into_iter().flatten().min(),
            records: vec![record],
        }))
    }

    /// Makes the next [`ProgramTable::expire`] end the program, unless a step is
    /// running or the limit is no longer reached by then.
    fn schedule_end(&mut self, key: ProgramKey, reason: EndReason, now: TimeStamp) {
        self.programs[key].pending_end.get_or_insert(reason);
        self.set_timer(now, TimerTarget::Program(key));
    }
}

fn check_same_request(attempt: &AttemptState, request: &StepRequest) -> Result<(), RequestRefusal> {
    if attempt.kind.is_same_call(request.kind) && attempt.request == request.payload {
        return Ok(());
    }
    Err(refusals::attempt_mismatch(
        "the attempt key was used for another request",
    ))
}
