//! Ends: of an owner, of programs, and by time.

use std::time::Duration;

use ibisdale_core::{RefusalCode, RunState};
use ibisdale_programs::{EndReason, EndedProgram, HistoryCompleteness, ProgramEvent, StepOutcome};

use crate::Reply;
use crate::oracle::{Call, Event, Outcome, STEPS, TOKENS};
use crate::owner::{
    CallState, Fixture, PROGRAMS_MAX, Source, Stage, label, new_table, pick, refusal,
};
use crate::world::{attempt_key, program_id, slot, workspace};

impl Fixture {
    /// Lets a new owner take over; the old one is dead or merely paused.
    pub(crate) fn take_over(&mut self, is_paused: bool) {
        self.epoch += 1;
        self.holder.sealed = self.epoch;
        self.journal.sealed = self.epoch;
        let mut old = std::mem::replace(&mut self.table, new_table(self.epoch));
        self.calls.retain(|call| call.is_stale != is_paused);
        if is_paused {
            old.set_ownership_certain(false);
            self.stale = Some(old);
            self.calls.iter_mut().for_each(|call| call.is_stale = true);
        }
        self.waiters.clear();
        for index in 0..self.trees.len() {
            let root = self.trees[index].programs()[0];
            let journal = &self.journal;
            let is_unrun = |program, step, attempt| {
                let is_paid = Call::of(attempt) == Call::Paid;
                is_paid && !journal.intents.contains(&(program, step, attempt))
            };
            let records = self.holder.read(program_id(root));
            let imported = self.table.import(
                &records,
                |open| {
                    let program =
                        (0..PROGRAMS_MAX).find(|index| program_id(*index) == open.program);
                    let attempt = (0..5).find(|attempt| attempt_key(*attempt) == open.attempt);
                    let (program, attempt) = (program.expect("known"), attempt.expect("known"));
                    if is_unrun(program, open.step.get(), attempt) {
                        return StepOutcome::Failed {
                            refusal: refusal(RunState::NotRun),
                        };
                    }
                    StepOutcome::Unknown
                },
                self.now,
            );
            imported.expect("what was stored can be read");
            self.trees[index].crash(|program, step, attempt| {
                if is_unrun(program, step, attempt) {
                    Outcome::NotRun
                } else {
                    Outcome::Unknown
                }
            });
        }
        self.table.open_slot(slot(), HistoryCompleteness::Whole);
        self.flush_all();
        self.wait(0);
    }

    pub(crate) fn end(&mut self, program: usize, source: Source) {
        let Some(program) = pick(program, self.tree_of.len()) else {
            return;
        };
        let id = program_id(program);
        let tree = &self.trees[self.tree_of[program]];
        let ended = match source {
            Source::Caller => {
                let members = self.subtree(program);
                let is_busy = members.iter().any(|member| tree.running(*member).is_some());
                let is_refused = is_busy && !tree.is_ended(program);
                let result = self.table.end(id, &workspace("own"), self.now);
                assert_eq!(result.is_err(), is_refused, "{result:?}");
                result.into_iter().collect()
            }
            Source::Operator => vec![
                self.table
                    .cancel_in_any_workspace(id, self.now)
                    .expect("known"),
            ],
            Source::KeyWithdrawal => {
                let ended =
                    self.table
                        .end_programs_of_key(&workspace("own"), &label(program), self.now);
                ended.expect("owned")
            }
        };
        let is_empty = ended.is_empty();
        for ended in ended {
            self.take_ended(ended);
        }
        let is_ended = self.trees[self.tree_of[program]].is_ended(program);
        assert!(is_ended || is_empty, "an ended program is recorded as such");
    }

    fn take_ended(&mut self, ended: EndedProgram) {
        let known = (0..PROGRAMS_MAX).find(|index| program_id(*index) == ended.id);
        let program = known.expect("a known program");
        let tree = self.tree_of[program];
        let mut expected = self.subtree(program);
        expected.retain(|member| !self.trees[tree].is_ended(*member));
        expected.sort_unstable();
        let ids = ended.records.iter().map(|record| {
            assert!(matches!(record.event, ProgramEvent::ProgramEnded(_)));
            (0..PROGRAMS_MAX).find(|index| program_id(*index) == record.program)
        });
        let mut found: Vec<_> = ids.map(|index| index.expect("known")).collect();
        found.sort_unstable();
        assert_eq!(found, expected, "the program ends with all its sub-agents");
        let events = found.into_iter().map(|program| Event::Ended { program });
        self.trees[tree].events.extend(events);
        self.flush(tree);
        self.wake(ended.woken, &[RefusalCode::OutcomeUnknown]);
        for run in ended.running {
            let is_run = |call: &CallState| !call.is_stale && call.ticket.get_run() == run;
            let index = self.calls.iter().position(is_run).expect("it runs");
            if self.calls[index].stage < Stage::Sent {
                self.finish_call(index, Reply::NotRun, true);
            }
        }
    }

    pub(crate) fn wait(&mut self, millis: u64) {
        self.now = self.now.plus(Duration::from_millis(millis));
        let report = self.table.expire(self.now).expect("owned");
        let also = [RefusalCode::WrongStep, RefusalCode::StepRunning];
        assert!(report.removed.is_empty());
        for ended in report.ended {
            self.check_reason(&ended);
            self.take_ended(ended);
        }
        self.wake(report.woken, &also);
        assert!(self.table.next_expiry().is_none_or(|next| next > self.now));
        for (program, deadline) in self.deadlines.iter().enumerate() {
            let is_past = deadline.is_some_and(|deadline| deadline <= self.now);
            assert!(!is_past || self.trees[self.tree_of[program]].is_ended(program));
        }
    }

    fn check_reason(&self, ended: &EndedProgram) {
        let known = (0..PROGRAMS_MAX).find(|index| program_id(*index) == ended.id);
        let program = known.expect("a known program");
        let tree = &self.trees[self.tree_of[program]];
        let is_right = match ended.reason {
            EndReason::Deadline => self.deadlines[program].is_some_and(|at| at <= self.now),
            EndReason::StepLimit => tree.steps() >= STEPS,
            EndReason::OutOfBudget => tree.used().0 >= TOKENS,
            EndReason::Idle => tree.running(program).is_none(),
            _ => false,
        };
        assert!(is_right, "{ended:?}");
    }
}
