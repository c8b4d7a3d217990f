//! Waiting requests: early requests and repeats of a running attempt.

use ibisdale_core::{AttemptKey, StepNumber, TimeStamp};

use crate::request::StepRequest;
use crate::result::{StepAdmission, WokenWaiter};
use crate::table::expiry::TimerTarget;
use crate::table::{ProgramKey, ProgramTable, WaiterKey};

/// Kind of a waiting request.
#[derive(Debug)]
pub(super) enum WaiterKind {
    /// Waits for the completion of the steps before it.
    Early(Box<StepRequest>),
    /// Waits for the outcome of its attempt.
    Joined(StepNumber, AttemptKey),
}

/// State of a waiting request.
#[derive(Debug)]
pub(super) struct WaiterState {
    pub(super) program: ProgramKey,
    pub(super) expires_at: TimeStamp,
    pub(super) kind: WaiterKind,
}

impl ProgramTable {
    /// Adds a waiting request, or updates it under its earlier key.
    pub(super) fn add_waiter(
        &mut self,
        state: WaiterState,
        existing_key: Option<WaiterKey>,
    ) -> WaiterKey {
        let expires_at = state.expires_at;
        let key = match existing_key {
            Some(key) => {
                self.waiters[key] = state;
                key
            }
            None => self.waiters.insert(state),
        };
        self.set_timer(expires_at, TimerTarget::Waiter(key));
        key
    }

    /// Removes a waiting request whose caller has disconnected or whose wait has
    /// expired. An early request has not run; the attempt that a repeat waits for
    /// goes on.
    pub fn remove_waiter(&mut self, key: WaiterKey) {
        let Some(state) = self.waiters.remove(key) else {
            return;
        };
        let program = &mut self.programs[state.program];
        program.early_waiters.retain(|waiter| *waiter != key);
        if let WaiterKind::Joined(step, attempt) = state.kind {
            let attempts = program.step_mut(step).map(|step| &mut step.attempts);
            let attempt = attempts
                .into_iter()
                .flatten()
                .find(|state| state.key == attempt);
            if let Some(attempt) = attempt {
                attempt.joined_waiters.retain(|waiter| *waiter != key);
            }
        }
    }

    /// Admits early requests whose step is now the next one or already settled.
    pub(super) fn wake_early_waiters(
        &mut self,
        key: ProgramKey,
        now: TimeStamp,
    ) -> Vec<WokenWaiter> {
        let next = self.programs[key].next_step();
        let mut woken = Vec::new();
        for waiter in std::mem::take(&mut self.programs[key].early_waiters) {
            let Some(WaiterState {
                kind: WaiterKind::Early(request),
                ..
            }) = self.waiters.get(waiter)
            else {
                continue;
            };
            if request.step > next {
                self.programs[key].early_waiters.push(waiter);
                continue;
            }
            let request = (**request).clone();
            let result = self
                .admit(key, request, now, Some(waiter))
                .map_err(|refusal| self.mark_unknown_if_uncertain(refusal));
            if let Ok(StepAdmission::Wait(_) | StepAdmission::Join(_)) = result {
                continue;
            }
            self.waiters.remove(waiter);
            woken.push(WokenWaiter {
                key: waiter,
                result,
            });
        }
        woken
    }
}
