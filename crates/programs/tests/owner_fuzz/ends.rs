//! Takeovers by a new owner, ends of programs and expiry.

use std::time::Duration;

use ibisdale_core::{RefusalCode, RunState};
use ibisdale_programs::{EndReason, EndedProgram, HistoryCompleteness, ProgramEvent, StepOutcome};

use crate::Reply;
use crate::fakes::{attempt_key, program_id, slot, workspace};
use crate::oracle::{CallKind, Event, Outcome, STEPS, TOKENS};
use crate::owner::{
    CallStage, CallState, EndSource, Fixture, MAX_PROGRAMS, key_label, new_table, refusal,
    wrap_index,
};

impl Fixture {
    /// Replaces the owner by one with a higher epoch; the old one has crashed or, if
    /// `is_paused`, goes on as the previous owner.
    pub(crate) fn take_over(&mut self, is_paused: bool) {
        self.epoch += 1;
        self.holder.sealed_epoch = self.epoch;
        self.journal.sealed_epoch = self.epoch;
        let mut old = std::mem::replace(&mut self.table, new_table(self.epoch));
        self.calls
            .retain(|call| call.is_from_previous_owner != is_paused);
        if is_paused {
            old.set_ownership_certain(false);
            self.previous_owner = Some(old);
            self.calls
                .iter_mut()
                .for_each(|call| call.is_from_previous_owner = true);
        }
        self.waiters.clear();
        for index in 0..self.trees.len() {
            let root = self.trees[index].programs()[0];
            let journal = &self.journal;
            let was_not_sent = |program, step, attempt| {
                let is_paid = CallKind::of_attempt(attempt) == CallKind::Paid;
                is_paid && !journal.intents.contains(&(program, step, attempt))
            };
            let records = self.holder.read(program_id(root));
            let imported = self.table.import(
                &records,
                |open| {
                    let program =
                        (0..MAX_PROGRAMS).find(|index| program_id(*index) == open.program);
                    let attempt = (0..5).find(|attempt| attempt_key(*attempt) == open.attempt);
                    let (program, attempt) = (
                        program.expect("known program"),
                        attempt.expect("known program"),
                    );
                    if was_not_sent(program, open.step.get(), attempt) {
                        return StepOutcome::Failed {
                            refusal: refusal(RunState::NotRun),
                        };
                    }
                    StepOutcome::Unknown
                },
                self.now,
            );
            imported.expect("stored histories can be imported");
            self.trees[index].recover(|program, step, attempt| {
                if was_not_sent(program, step, attempt) {
                    Outcome::NotRun
                } else {
                    Outcome::Unknown
                }
            });
        }
        self.table.open_slot(slot(), HistoryCompleteness::Whole);
        self.store_all_records();
        self.advance_time(0);
    }

    pub(crate) fn end(&mut self, program: usize, source: EndSource) {
        let Some(program) = wrap_index(program, self.tree_of.len()) else {
            return;
        };
        let id = program_id(program);
        let tree = &self.trees[self.tree_of[program]];
        let ended = match source {
            EndSource::Caller => {
                let members = self.subtree(program);
                let is_busy = members.iter().any(|member| tree.running(*member).is_some());
                let is_refused = is_busy && !tree.is_ended(program);
                let result = self.table.end(id, &workspace("own"), self.now);
                assert_eq!(result.is_err(), is_refused, "{result:?}");
                result.into_iter().collect()
            }
            EndSource::Operator => vec![
                self.table
                    .cancel_in_any_workspace(id, self.now)
                    .expect("known program"),
            ],
            EndSource::KeyWithdrawal => {
                let ended = self.table.end_programs_of_key(
                    &workspace("own"),
                    &key_label(program),
                    self.now,
                );
                ended.expect("owned slot")
            }
        };
        let is_empty = ended.is_empty();
        for ended in ended {
            self.apply_ended(ended);
        }
        let is_ended = self.trees[self.tree_of[program]].is_ended(program);
        assert!(is_ended || is_empty, "the oracle knows the end");
    }

    fn apply_ended(&mut self, ended: EndedProgram) {
        let known = (0..MAX_PROGRAMS).find(|index| program_id(*index) == ended.id);
        let program = known.expect("known program");
        let tree = self.tree_of[program];
        let mut expected = self.subtree(program);
        expected.retain(|member| !self.trees[tree].is_ended(*member));
        expected.sort_unstable();
        let ids = ended.records.iter().map(|record| {
            assert!(matches!(record.event, ProgramEvent::ProgramEnded(_)));
            (0..MAX_PROGRAMS).find(|index| program_id(*index) == record.program)
        });
        let mut found: Vec<_> = ids.map(|index| index.expect("known program")).collect();
        found.sort_unstable();
        assert_eq!(found, expected, "the program ends with all its sub-agents");
        let events = found
            .into_iter()
            .map(|program| Event::ProgramEnded { program });
        self.trees[tree].events.extend(events);
        self.store_records(tree);
        self.apply_woken(ended.woken, &[RefusalCode::OutcomeUnknown]);
        for run in ended.running {
            let is_same_run =
                |call: &CallState| !call.is_from_previous_owner && call.ticket.get_run() == run;
            let index = self
                .calls
                .iter()
                .position(is_same_run)
                .expect("the call is running");
            if self.calls[index].stage < CallStage::Sent {
                self.finish_call(index, Reply::NotRun, true);
            }
        }
    }

    pub(crate) fn advance_time(&mut self, millis: u64) {
        self.now = self.now.plus(Duration::from_millis(millis));
        let report = self.table.expire(self.now).expect("owned slot");
        let also_allowed = [RefusalCode::WrongStep, RefusalCode::StepRunning];
        assert!(report.removed.is_empty());
        for ended in report.ended {
            self.check_end_reason(&ended);
            self.apply_ended(ended);
        }
        self.apply_woken(report.woken, &also_allowed);
        assert!(self.table.next_expiry().is_none_or(|next| next > self.now));
        for (program, deadline) in self.deadlines.iter().enumerate() {
            let is_past = deadline.is_some_and(|deadline| deadline <= self.now);
            assert!(!is_past || self.trees[self.tree_of[program]].is_ended(program));
        }
    }

    fn check_end_reason(&self, ended: &EndedProgram) {
        let known = (0..MAX_PROGRAMS).find(|index| program_id(*index) == ended.id);
        let program = known.expect("known program");
        let tree = &self.trees[self.tree_of[program]];
        let is_reason_correct = match ended.reason {
            EndReason::Deadline => self.deadlines[program].is_some_and(|at| at <= self.now),
            EndReason::StepLimit => tree.counted_steps() >= STEPS,
            EndReason::OutOfBudget => tree.used().0 >= TOKENS,
            EndReason::Idle => tree.running(program).is_none(),
            _ => false,
        };
        assert!(is_reason_correct, "{ended:?}");
    }
}
