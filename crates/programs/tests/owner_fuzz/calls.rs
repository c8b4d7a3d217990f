//! Admission, progress and completion of calls to upstreams.

use ibisdale_core::{RequestRefusal, RunState};
use ibisdale_programs::{RecordedStep, StepAdmission, StepOutcome};

use crate::Reply;
use crate::fakes::{DeliveredAnswers, answer, engine, program_id, workspace};
use crate::oracle::{CallKind, Event, Outcome};
use crate::owner::{CallStage, CallState, Fixture, outcome_of, refusal, request, wrap_index};

impl Fixture {
    /// Sends a request to the paused owner, which does not know its successor.
    pub(crate) fn request_previous_owner(&mut self, program: usize, step_offset: i8, attempt: u8) {
        let (Some(program), Some(previous)) = (
            wrap_index(program, self.tree_of.len()),
            &mut self.previous_owner,
        ) else {
            return;
        };
        let Ok(summary) = previous.summary_in_any_workspace(program_id(program)) else {
            return;
        };
        let next = summary
            .next_step
            .get()
            .checked_add_signed(i32::from(step_offset));
        let Some(step) = next.filter(|step| *step > 0) else {
            return;
        };
        let id = (program, step, attempt);
        let result = previous.admit_step(request(id, "own"), self.now);
        match result {
            Ok(StepAdmission::Run(ticket)) => self.calls.push(CallState {
                ticket,
                id,
                stage: CallStage::Admitted,
                is_from_previous_owner: true,
            }),
            Ok(_) => {}
            Err(refusal) => self.check_not_run(id, &refusal),
        }
    }

    /// Advances a call by one stage, until its first byte is sent.
    pub(crate) fn advance_call(&mut self, index: usize) {
        let Some(index) = wrap_index(index, self.calls.len()) else {
            return;
        };
        let CallState {
            id,
            stage,
            is_from_previous_owner,
            ..
        } = self.calls[index];
        let epoch = self.calls[index].ticket.get_epoch();
        let call = CallKind::of_attempt(id.2);
        assert_eq!(
            self.calls[index].ticket.is_intent_needed(),
            call == CallKind::Paid
        );
        let next = match stage {
            CallStage::Admitted if is_from_previous_owner => {
                let previous = self.previous_owner.as_ref().expect("previous owner exists");
                let records = previous.records_from(program_id(self.root_of(id.0)), 0);
                assert!(
                    !self.holder.append(epoch, records.expect("known program")),
                    "fenced"
                );
                return self.abandon_fenced_call(index);
            }
            CallStage::Admitted => {
                if call == CallKind::Model {
                    let opened = self.table.record_session(program_id(id.0), engine());
                    opened.expect("known program");
                }
                self.store_records(self.tree_of[id.0]);
                CallStage::Stored
            }
            CallStage::Stored if call == CallKind::Paid => {
                if !self.journal.commit(epoch, id) {
                    return self.abandon_fenced_call(index);
                }
                CallStage::Committed
            }
            CallStage::Stored | CallStage::Committed => {
                if !self.upstreams.run(id, epoch) {
                    return self.abandon_fenced_call(index);
                }
                CallStage::Sent
            }
            CallStage::Sent => return,
        };
        self.calls[index].stage = next;
    }

    /// Removes a call of a previous owner, whose epoch was rejected.
    pub(crate) fn abandon_fenced_call(&mut self, index: usize) {
        let call = self.calls.swap_remove(index);
        assert!(
            call.is_from_previous_owner,
            "only a previous owner is fenced"
        );
    }

    pub(crate) fn finish(&mut self, index: usize, reply: Reply, is_stored: bool) {
        if let Some(index) = wrap_index(index, self.calls.len()) {
            self.finish_call(index, reply, is_stored);
        }
    }

    pub(crate) fn finish_call(&mut self, index: usize, reply: Reply, is_stored: bool) {
        let CallState {
            ticket,
            id,
            stage,
            is_from_previous_owner,
        } = self.calls.swap_remove(index);
        let is_model = CallKind::of_attempt(id.2) == CallKind::Model;
        if stage == CallStage::Sent {
            self.upstreams.finish(id, ticket.get_epoch());
        }
        let outcome = match reply {
            _ if stage < CallStage::Sent => StepOutcome::Failed {
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
        if is_from_previous_owner {
            let previous = self.previous_owner.as_mut().expect("previous owner exists");
            let epoch = ticket.get_epoch();
            let finished = previous.finish_step(ticket, outcome, self.now);
            let finished = finished.expect("the previous owner still records outcomes");
            let refusals = finished
                .woken
                .iter()
                .filter_map(|woken| woken.result.as_ref().err());
            let mut states = refusals.map(RequestRefusal::get_run_state);
            assert!(
                states.all(|state| state != RunState::NotRun),
                "the previous owner can't prove that a call did not run"
            );
            assert!(
                !self.holder.append(epoch, &finished.records),
                "the previous owner is fenced"
            );
            return;
        }
        let finished = self
            .table
            .finish_step(ticket, outcome, self.now)
            .expect("owned slot");
        assert_eq!(finished.overrun_tokens, 0);
        let tree = self.tree_of[id.0];
        let outcome = outcome_of(&finished.record.result);
        self.trees[tree].events.push(Event::AttemptFinished {
            program: id.0,
            outcome,
        });
        self.check_record(id, &finished.record);
        // A woken request may have started an attempt, whose start is stored as well.
        self.apply_woken(finished.woken, &[]);
        if is_stored {
            self.store_records(tree);
        }
        if let (true, Outcome::Answer(_)) = (is_stored, outcome) {
            self.deliver(id.0, &finished.record);
        }
    }

    /// Delivers an answer and its digest to the caller.
    pub(crate) fn deliver(&mut self, program: usize, record: &RecordedStep) {
        let id = program_id(program);
        let history = self
            .table
            .history(id, &workspace("own"))
            .expect("known program");
        let exchanges = history
            .into_iter()
            .map(|exchange| (exchange.request, exchange.answer));
        let exchanges: Vec<_> = exchanges.collect();
        assert_eq!(record.digest, DeliveredAnswers::digest(&exchanges));
        self.delivered[program].exchanges = exchanges;
    }
}
