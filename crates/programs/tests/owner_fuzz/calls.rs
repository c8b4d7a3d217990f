//! Calls on their way to upstreams and back.

use ibisdale_core::{RequestRefusal, RunState};
use ibisdale_programs::{RecordedStep, StepAdmission, StepOutcome};

use crate::Reply;
use crate::oracle::{Call, Event, Outcome};
use crate::owner::{CallState, Fixture, Stage, outcome_of, pick, refusal, request};
use crate::world::{Delivered, answer, engine, program_id, workspace};

impl Fixture {
    /// Asks the owner that was paused and does not know of its successor.
    pub(crate) fn request_stale(&mut self, program: usize, ahead: i8, attempt: u8) {
        let (Some(program), Some(stale)) = (pick(program, self.tree_of.len()), &mut self.stale)
        else {
            return;
        };
        let Ok(summary) = stale.summary_in_any_workspace(program_id(program)) else {
            return;
        };
        let next = summary.next_step.get().checked_add_signed(i32::from(ahead));
        let Some(step) = next.filter(|step| *step > 0) else {
            return;
        };
        let id = (program, step, attempt);
        let result = stale.admit_step(request(id, "own"), self.now);
        match result {
            Ok(StepAdmission::Run(ticket)) => self.calls.push(CallState {
                ticket,
                id,
                stage: Stage::Admitted,
                is_stale: true,
            }),
            Ok(_) => {}
            Err(refusal) => self.check_not_run(id, &refusal),
        }
    }

    /// Takes a call one stage further, up to its first byte.
    pub(crate) fn advance(&mut self, index: usize) {
        let Some(index) = pick(index, self.calls.len()) else {
            return;
        };
        let CallState {
            id,
            stage,
            is_stale,
            ..
        } = self.calls[index];
        let epoch = self.calls[index].ticket.get_epoch();
        let call = Call::of(id.2);
        assert_eq!(
            self.calls[index].ticket.is_intent_needed(),
            call == Call::Paid
        );
        let next = match stage {
            Stage::Admitted if is_stale => {
                let stale = self.stale.as_ref().expect("a stale owner");
                let records = stale.records_from(program_id(self.root_of(id.0)), 0);
                assert!(!self.holder.append(epoch, records.expect("held")), "fenced");
                return self.fail(index);
            }
            Stage::Admitted => {
                if call == Call::Model {
                    let opened = self.table.record_session(program_id(id.0), engine());
                    opened.expect("the program is held");
                }
                self.flush(self.tree_of[id.0]);
                Stage::Stored
            }
            Stage::Stored if call == Call::Paid => {
                if !self.journal.commit(epoch, id) {
                    return self.fail(index);
                }
                Stage::Committed
            }
            Stage::Stored | Stage::Committed => {
                if !self.upstreams.run(id, epoch) {
                    return self.fail(index);
                }
                Stage::Sent
            }
            Stage::Sent => return,
        };
        self.calls[index].stage = next;
    }

    /// Gives up a call of an owner that was fenced off.
    pub(crate) fn fail(&mut self, index: usize) {
        let call = self.calls.swap_remove(index);
        assert!(call.is_stale, "only a stale owner is fenced off");
    }

    pub(crate) fn finish(&mut self, index: usize, reply: Reply, is_stored: bool) {
        if let Some(index) = pick(index, self.calls.len()) {
            self.finish_call(index, reply, is_stored);
        }
    }

    pub(crate) fn finish_call(&mut self, index: usize, reply: Reply, is_stored: bool) {
        let CallState {
            ticket,
            id,
            stage,
            is_stale,
        } = self.calls.swap_remove(index);
        let is_model = Call::of(id.2) == Call::Model;
        if stage == Stage::Sent {
            self.upstreams.finish(id, ticket.get_epoch());
        }
        let outcome = match reply {
            _ if stage < Stage::Sent => StepOutcome::Failed {
                refusal: refusal(RunState::NotRun),
            },
            Reply::Answer(tokens) => StepOutcome::Completed {
                answer: answer(id),
                tokens_used: if is_model { u64::from(tokens) } else { 0 },
            },
            Reply::Ran => StepOutcome::Failed {
                refusal: refusal(RunState::Ran),
            },
            Reply::NotRun | Reply::Unknown => StepOutcome::Unknown,
        };
        if is_stale {
            let stale = self.stale.as_mut().expect("a stale owner");
            let epoch = ticket.get_epoch();
            let finished = stale.finish_step(ticket, outcome, self.now);
            let finished = finished.expect("it does not know");
            let refusals = finished
                .woken
                .iter()
                .filter_map(|woken| woken.result.as_ref().err());
            let mut states = refusals.map(RequestRefusal::get_run_state);
            assert!(
                states.all(|state| state != RunState::NotRun),
                "it can't know"
            );
            assert!(
                !self.holder.append(epoch, &finished.records),
                "a stale owner is fenced off"
            );
            return;
        }
        let finished = self
            .table
            .finish_step(ticket, outcome, self.now)
            .expect("owned");
        assert_eq!(finished.overrun_tokens, 0);
        let tree = self.tree_of[id.0];
        let outcome = outcome_of(&finished.record.result);
        self.trees[tree].events.push(Event::Done {
            program: id.0,
            outcome,
        });
        self.check_record(id, &finished.record);
        // What is woken may have started already: its start is flushed as well.
        self.wake(finished.woken, &[]);
        if is_stored {
            self.flush(tree);
        }
        if let (true, Outcome::Answer(_)) = (is_stored, outcome) {
            self.deliver(id.0, &finished.record);
        }
    }

    /// Gives an answer and its digest to the caller.
    pub(crate) fn deliver(&mut self, program: usize, record: &RecordedStep) {
        let id = program_id(program);
        let history = self.table.history(id, &workspace("own")).expect("known");
        let exchanges = history
            .into_iter()
            .map(|exchange| (exchange.request, exchange.answer));
        let exchanges: Vec<_> = exchanges.collect();
        assert_eq!(record.digest, Delivered::digest(&exchanges));
        self.delivered[program].exchanges = exchanges;
    }
}
