//! Timers: ends of programs, timeouts of waiting requests and removal of ended
//! programs.

use std::time::Duration;

use ibisdale_core::{RequestRefusal, TimeStamp};

use crate::record::EndReason;
use crate::refusals;
use crate::result::{ExpiryReport, RemovedPrograms, WokenWaiter};
use crate::state::ProgramState;
use crate::table::waiters::WaiterKind;
use crate::table::{ProgramKey, ProgramTable, TreeKey, WaiterKey};

/// Minimum delay before a timer that has fired fires again.
///
/// With an idle timeout or a retention of zero, a timer set again for the same
/// time would make [`ProgramTable::expire`] loop forever.
const MIN_REARM_DELAY: Duration = Duration::from_millis(1);

/// What to check when a timer fires; it may have ended or been removed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerTarget {
    Program(ProgramKey),
    Waiter(WaiterKey),
    EndedTree(TreeKey),
}

/// A timer, ordered by its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerEntry {
    at: TimeStamp,
    target: TimerTarget,
}

impl ProgramTable {
    /// Returns when [`ProgramTable::expire`] is to be called next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<TimeStamp> {
        self.timers.first().map(|entry| entry.at)
    }

    /// Ends programs and waits that have expired, and removes ended programs after
    /// their retention.
    ///
    /// # Errors
    ///
    /// Fails when an end can't be recorded.
    pub fn expire(&mut self, now: TimeStamp) -> Result<ExpiryReport, RequestRefusal> {
        let mut report = ExpiryReport::default();
        while let Some(entry) = self.timers.first().copied() {
            if entry.at > now {
                break;
            }
            self.timers.pop_first();
            match entry.target {
                TimerTarget::Program(key) => self.expire_program(key, now, &mut report)?,
                TimerTarget::Waiter(key) => self.expire_waiter(key, now, &mut report),
                TimerTarget::EndedTree(key) => self.remove_ended_tree(key, now, &mut report),
            }
        }
        Ok(report)
    }

    pub(super) fn set_timer(&mut self, at: TimeStamp, target: TimerTarget) {
        self.timers.insert(TimerEntry { at, target });
    }

    /// Sets a fired timer again, at `at` but at least [`MIN_REARM_DELAY`] after
    /// `now`.
    fn rearm_timer(&mut self, at: TimeStamp, target: TimerTarget, now: TimeStamp) {
        self.set_timer(at.max(now.plus(MIN_REARM_DELAY)), target);
    }

    /// Sets the timer for the program's deadline, wall-clock limit or idle timeout,
    /// whichever comes first.
    pub(super) fn set_program_timer(&mut self, key: ProgramKey) {
        if let Some(at) = self.program_expiry(key) {
            self.set_timer(at, TimerTarget::Program(key));
        }
    }

    fn program_expiry(&self, key: ProgramKey) -> Option<TimeStamp> {
        let program = &self.programs[key];
        let idle_end = self.last_activity(key).plus(self.options.idle_timeout);
        let expiries = [program.deadline, program.wall_clock_end, Some(idle_end)];
        expiries.into_iter().flatten().min()
    }

    /// Returns the refusal for requests to a program that is past its own or an
    /// ancestor's deadline or wall-clock limit but has not been ended yet.
    pub(super) fn expiry_refusal(&self, key: ProgramKey, now: TimeStamp) -> Option<RequestRefusal> {
        let mut next = Some(key);
        while let Some(key) = next {
            let program = &self.programs[key];
            if Self::has_passed(program.deadline, now) {
                return Some(refusals::deadline_exceeded());
            }
            if Self::has_passed(program.wall_clock_end, now) {
                return Some(refusals::limit_reached("wall-clock"));
            }
            next = program.parent;
        }
        None
    }

    fn expire_program(
        &mut self,
        key: ProgramKey,
        now: TimeStamp,
        report: &mut ExpiryReport,
    ) -> Result<(), RequestRefusal> {
        if !self.programs.get(key).is_some_and(ProgramState::is_running) {
            return Ok(());
        }
        let Some(reason) = self.due_end_reason(key, now) else {
            self.postpone_program_timer(key, now);
            return Ok(());
        };
        report
            .ended
            .push(self.end_with_descendants(key, reason, now)?);
        Ok(())
    }

    /// Sets the program's timer again, later than `now`, and drops a pending
    /// end. A running step counts as activity.
    fn postpone_program_timer(&mut self, key: ProgramKey, now: TimeStamp) {
        let program = &mut self.programs[key];
        program.pending_end = None;
        if self.has_running_step(key) {
            let program = &mut self.programs[key];
            program.last_activity = program.last_activity.max(now);
        }
        if let Some(at) = self.program_expiry(key) {
            self.rearm_timer(at, TimerTarget::Program(key), now);
        }
    }

    /// Returns why the program must end now, if it must.
    fn due_end_reason(&self, key: ProgramKey, now: TimeStamp) -> Option<EndReason> {
        let program = &self.programs[key];
        if Self::has_passed(program.deadline, now) {
            return Some(EndReason::Deadline);
        }
        if Self::has_passed(program.wall_clock_end, now) {
            return Some(EndReason::WallClock);
        }
        if self.has_running_step(key) {
            return None;
        }
        if let Some(reason) = program.pending_end.filter(|_| self.is_exhausted(key)) {
            return Some(reason);
        }
        let idle_end = self.last_activity(key).plus(self.options.idle_timeout);
        (idle_end <= now).then_some(EndReason::Idle)
    }

    /// Returns whether a step limit or the token budget still leaves no room for
    /// another step.
    fn is_exhausted(&self, key: ProgramKey) -> bool {
        let program = &self.programs[key];
        let tree = &self.trees[program.tree];
        !program.is_below_step_limit()
            || !tree.is_below_step_limit()
            || tree.budget.tokens.remaining() == Some(0)
    }

    fn last_activity(&self, key: ProgramKey) -> TimeStamp {
        let own = self.programs[key].last_activity;
        self.descendants(key)
            .into_iter()
            .map(|child| self.programs[child].last_activity)
            .fold(own, TimeStamp::max)
    }

    fn expire_waiter(&mut self, key: WaiterKey, now: TimeStamp, report: &mut ExpiryReport) {
        let Some(state) = self
            .waiters
            .get(key)
            .filter(|state| state.expires_at <= now)
        else {
            return;
        };
        let refusal = match state.kind {
            WaiterKind::Early(_) => refusals::wrong_step(),
            WaiterKind::Joined(..) => refusals::same_attempt_running(),
        };
        self.remove_waiter(key);
        report.woken.push(WokenWaiter {
            key,
            result: Err(self.mark_unknown_if_uncertain(refusal)),
        });
    }

    fn remove_ended_tree(&mut self, key: TreeKey, now: TimeStamp, report: &mut ExpiryReport) {
        let Some(tree) = self.trees.get(key) else {
            return;
        };
        let is_in_use = tree.members.iter().any(|member| {
            let program = &self.programs[*member];
            program.is_running() || program.running().is_some() || !program.sessions.is_empty()
        });
        if is_in_use {
            let is_ended = !self.programs[tree.members[0]].is_running();
            if is_ended {
                let at = now.plus(self.options.ended_retention);
                self.rearm_timer(at, TimerTarget::EndedTree(key), now);
            }
            return;
        }
        report.removed.push(tree.root);
        let members = tree.members.clone();
        let mut removed = RemovedPrograms::default();
        for member in members {
            self.remove_program(member, &mut removed);
        }
        self.trees.remove(key);
    }
}
