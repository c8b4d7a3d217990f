//! Recording of the outcomes of attempts.

use ibisdale_core::{AttemptKey, RequestRefusal, StepNumber, TimeStamp};

use crate::record::{ProgramEvent, StepFinished};
use crate::refusals;
use crate::request::StepKind;
use crate::result::{
    FinishedStep, RecordedStep, StepAdmission, StepOutcome, StepTicket, WokenWaiter,
};
use crate::table::{ProgramKey, ProgramTable, WaiterKey};

impl ProgramTable {
    /// Records the outcome of an attempt, even if the program has ended.
    ///
    /// # Errors
    ///
    /// Returns `owner_unavailable` with run state `Unknown` when the slot is no
    /// longer owned under the ticket's epoch: the caller must not get the
    /// answer.
    pub fn finish_step(
        &mut self,
        ticket: StepTicket,
        outcome: StepOutcome,
        now: TimeStamp,
    ) -> Result<FinishedStep, RequestRefusal> {
        let StepTicket {
            run,
            program,
            step,
            attempt,
            kind,
            epoch,
            ..
        } = ticket;
        let run = self
            .runs
            .remove(run)
            .filter(|_| self.epoch(program.slot()) == Some(epoch))
            .ok_or_else(refusals::owner_unavailable)?;
        let key = run.program;
        let overrun_tokens = token_overrun(kind, &outcome);
        let joined = self.take_joined_waiters(key);
        let finished = StepFinished {
            step,
            attempt: attempt.clone(),
            result: outcome.into_result(),
        };
        let record = self.append_event(key, ProgramEvent::StepFinished(finished))?;
        let records = vec![record];
        let program = &mut self.programs[key];
        program.last_activity = program.last_activity.max(now);
        let record = self.recorded_outcome(key, step, &attempt)?;
        let mut woken = self.wake_joined_waiters(joined, &record);
        if self.programs[key].is_running() {
            woken.extend(self.wake_early_waiters(key, now));
        } else {
            self.queue_cleanup(key);
        }
        Ok(FinishedStep {
            digest: record.digest,
            record,
            records,
            woken,
            overrun_tokens,
        })
    }

    fn take_joined_waiters(&mut self, key: ProgramKey) -> Vec<WaiterKey> {
        let steps = &mut self.programs[key].steps;
        let attempt = steps.last_mut().and_then(|step| step.attempts.last_mut());
        attempt
            .map(|attempt| std::mem::take(&mut attempt.joined_waiters))
            .unwrap_or_default()
    }

    fn recorded_outcome(
        &self,
        key: ProgramKey,
        step: StepNumber,
        attempt: &AttemptKey,
    ) -> Result<RecordedStep, RequestRefusal> {
        self.programs[key]
            .step(step)
            .and_then(|step| step.attempt(attempt))
            .and_then(|attempt| attempt.record.clone())
            .ok_or_else(|| refusals::internal("the outcome was not recorded"))
    }

    fn wake_joined_waiters(
        &mut self,
        joined: Vec<WaiterKey>,
        record: &RecordedStep,
    ) -> Vec<WokenWaiter> {
        let mut woken = Vec::with_capacity(joined.len());
        for key in joined {
            if self.waiters.remove(key).is_none() {
                continue;
            }
            woken.push(WokenWaiter {
                key,
                result: Ok(StepAdmission::Recorded(record.clone())),
            });
        }
        woken
    }
}

/// Returns the tokens that the engine reported above the reserved worst case.
fn token_overrun(kind: StepKind, outcome: &StepOutcome) -> u64 {
    match (kind, outcome) {
        (StepKind::Model { .. }, StepOutcome::Completed { tokens_used, .. }) => {
            tokens_used.saturating_sub(kind.worst_case().tokens)
        }
        _ => 0,
    }
}
