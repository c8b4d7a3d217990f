//! Test fixture: the owner under test, with its callers and fakes.

use std::collections::BTreeMap;
use std::time::Duration;

use ibisdale_core::{RefusalCode, RequestRefusal, RunState, StepNumber, TimeStamp};
use ibisdale_programs::{
    HistoryCompleteness, KeyLabel, ProgramBudget, ProgramLimits, ProgramTable, RecordedOutcome,
    RecordedStep, StartRequest, StepAdmission, StepRequest, StepTicket, TableOptions, WaiterKey,
    WokenWaiter,
};

use crate::Reply;
use crate::fakes::{
    AttemptId, DeliveredAnswers, FakeHolder, FakeJournal, FakeUpstreams, answer, attempt_key, kind,
    payload, program_id, slot, workspace,
};
use crate::oracle::{Event, Expected, Outcome, PAID_ACTIONS, ProgramTree, STEPS, TOKENS};

pub(crate) const MAX_PROGRAMS: usize = 8;
const DEADLINE: Duration = Duration::from_mins(1);
const IDLE_TIMEOUT: Duration = Duration::from_mins(3);
const ENDED_RETENTION: Duration = Duration::from_hours(24);

/// Source of a request to end a program.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EndSource {
    Caller,
    Operator,
    KeyWithdrawal,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallStage {
    Admitted,
    Stored,
    Committed,
    Sent,
}

#[derive(Debug)]
pub(crate) struct CallState {
    pub(crate) ticket: StepTicket,
    pub(crate) id: AttemptId,
    pub(crate) stage: CallStage,
    pub(crate) is_from_previous_owner: bool,
}

#[derive(Debug)]
pub(crate) struct Fixture {
    pub(crate) now: TimeStamp,
    pub(crate) epoch: u64,
    pub(crate) table: ProgramTable,
    pub(crate) previous_owner: Option<ProgramTable>,
    pub(crate) holder: FakeHolder,
    pub(crate) journal: FakeJournal,
    pub(crate) upstreams: FakeUpstreams,
    pub(crate) trees: Vec<ProgramTree>,
    pub(crate) tree_of: Vec<usize>,
    pub(crate) deadlines: Vec<Option<TimeStamp>>,
    pub(crate) calls: Vec<CallState>,
    pub(crate) waiters: BTreeMap<WaiterKey, (AttemptId, bool)>,
    pub(crate) delivered: Vec<DeliveredAnswers>,
}

pub(crate) fn wrap_index(index: usize, length: usize) -> Option<usize> {
    (length > 0).then(|| index % length)
}

pub(crate) fn new_table(epoch: u64) -> ProgramTable {
    let options = TableOptions::default()
        .idle_timeout(IDLE_TIMEOUT)
        .ended_retention(ENDED_RETENTION);
    let mut table = ProgramTable::new(options);
    table.acquire_slot(slot(), epoch);
    table
}

pub(crate) fn refusal(state: RunState) -> RequestRefusal {
    RequestRefusal::new(RefusalCode::UpstreamFailed, "failed").run_state(state)
}

pub(crate) fn outcome_of(result: &RecordedOutcome) -> Outcome {
    match result {
        RecordedOutcome::Completed { tokens_used, .. } => Outcome::Answer(*tokens_used),
        RecordedOutcome::Refused(refusal) => match refusal.get_run_state() {
            RunState::NotRun => Outcome::NotRun,
            RunState::Ran => Outcome::Ran,
            RunState::Unknown => Outcome::Unknown,
        },
    }
}

impl Fixture {
    pub(crate) fn new() -> Self {
        let mut table = new_table(1);
        table.open_slot(slot(), HistoryCompleteness::Whole);
        Self {
            now: TimeStamp::from_millis(1_000_000),
            epoch: 1,
            table,
            previous_owner: None,
            holder: FakeHolder {
                sealed_epoch: 1,
                ..FakeHolder::default()
            },
            journal: FakeJournal {
                sealed_epoch: 1,
                ..FakeJournal::default()
            },
            upstreams: FakeUpstreams::default(),
            trees: Vec::new(),
            tree_of: Vec::new(),
            deadlines: Vec::new(),
            calls: Vec::new(),
            waiters: BTreeMap::new(),
            delivered: Vec::new(),
        }
    }

    pub(crate) fn start(&mut self, parent: Option<usize>) {
        let program = self.tree_of.len();
        let parent = parent.and_then(|index| wrap_index(index, program));
        if program == MAX_PROGRAMS {
            return;
        }
        let mut start = StartRequest::new(program_id(program), workspace("own"), "planner")
            .key(key_label(program));
        let mut deadline = (program % 3 == 1).then(|| self.now.plus(DEADLINE));
        if let Some(deadline) = deadline {
            start = start.deadline(deadline);
        }
        let tree = if let Some(parent) = parent {
            start = start.parent(program_id(parent));
            deadline = [deadline, self.deadlines[parent]]
                .into_iter()
                .flatten()
                .min();
            self.tree_of[parent]
        } else {
            let (tokens, paid_actions) = (Some(TOKENS), Some(PAID_ACTIONS));
            let steps = Some(STEPS);
            start = start
                .budget(ProgramBudget {
                    tokens,
                    paid_actions,
                })
                .limits(ProgramLimits {
                    steps,
                    wall_clock_ms: None,
                });
            self.trees.len()
        };
        let is_allowed = parent.is_none_or(|parent| {
            !self.trees[tree].is_ended(parent) && self.trees[tree].counted_steps() < STEPS
        });
        let result = self.table.start(start, self.now);
        assert_eq!(result.is_ok(), is_allowed, "{result:?}");
        if !is_allowed {
            return;
        }
        if parent.is_none() {
            self.trees.push(ProgramTree::default());
        }
        self.trees[tree]
            .events
            .push(Event::ProgramStarted { program, parent });
        self.tree_of.push(tree);
        self.deadlines.push(deadline);
        self.delivered.push(DeliveredAnswers::default());
        self.store_records(tree);
    }

    pub(crate) fn request(
        &mut self,
        program: usize,
        step_offset: i8,
        attempt: u8,
        digest: Option<bool>,
    ) {
        let Some(program) = wrap_index(program, self.tree_of.len()) else {
            return;
        };
        let next = self.trees[self.tree_of[program]].next_step(program);
        let Some(step) = next
            .checked_add_signed(i32::from(step_offset))
            .filter(|step| *step > 0)
        else {
            return;
        };
        let id = (program, step, attempt);
        let is_digest_wrong = digest == Some(false);
        let mut request = request(id, "own");
        // An early request can't know the digest after the steps before it.
        if let Some(is_correct) = digest.filter(|is_correct| step_offset <= 0 || !is_correct) {
            let summary = self
                .table
                .summary_in_any_workspace(program_id(program))
                .expect("known program");
            let correct = summary.digest;
            request = request.expect_digest(if is_correct {
                correct
            } else {
                correct.append(b"x")
            });
        }
        let expected =
            self.trees[self.tree_of[program]].predict(program, step, attempt, is_digest_wrong);
        let result = self.table.admit_step(request, self.now);
        self.apply_admission(id, is_digest_wrong, expected, result, &[]);
    }

    pub(crate) fn request_from_other_workspace(&mut self, program: usize) {
        let Some(program) = wrap_index(program, self.tree_of.len()) else {
            return;
        };
        let result = self
            .table
            .admit_step(request((program, 1, 0), "other"), self.now);
        let code = result
            .expect_err("the program belongs to another workspace")
            .get_code();
        assert_eq!(code, RefusalCode::UnknownProgram);
    }

    /// Compares an answer with the oracle's and applies it to the fixture.
    pub(crate) fn apply_admission(
        &mut self,
        id: AttemptId,
        is_digest_wrong: bool,
        expected: Expected,
        result: Result<StepAdmission, RequestRefusal>,
        also_allowed: &[RefusalCode],
    ) {
        let (program, step, attempt) = id;
        let found = match &result {
            Ok(StepAdmission::Run(_)) => Expected::Run,
            Ok(StepAdmission::Wait(_)) => Expected::Wait,
            Ok(StepAdmission::Join(_)) => Expected::Join,
            Ok(StepAdmission::Recorded(record)) => Expected::Recorded(outcome_of(&record.result)),
            Err(refusal) => Expected::Refused(refusal.get_code()),
        };
        let is_also_allowed =
            matches!(found, Expected::Refused(code) if also_allowed.contains(&code));
        assert!(
            found == expected || is_also_allowed,
            "{id:?}: {found:?}, not {expected:?}"
        );
        match result {
            Ok(StepAdmission::Run(ticket)) => {
                let tree = &mut self.trees[self.tree_of[program]];
                tree.events.push(Event::AttemptStarted {
                    program,
                    step,
                    attempt,
                });
                let (stage, is_from_previous_owner) = (CallStage::Admitted, false);
                self.calls.push(CallState {
                    ticket,
                    id,
                    stage,
                    is_from_previous_owner,
                });
            }
            Ok(StepAdmission::Wait(key) | StepAdmission::Join(key)) => {
                self.waiters.insert(key, (id, is_digest_wrong));
            }
            Ok(StepAdmission::Recorded(record)) => self.check_record(id, &record),
            Err(refusal) => {
                let is_proven = refusal.get_run_state() == RunState::NotRun;
                assert!(
                    is_proven || is_also_allowed,
                    "{id:?}: the run state must be not run"
                );
                self.check_not_run(id, &refusal);
            }
        }
    }

    /// Checks that an answer is the answer to the caller's own request.
    pub(crate) fn check_record(&self, id: AttemptId, record: &RecordedStep) {
        assert_eq!(
            (record.step.get(), &record.attempt),
            (id.1, &attempt_key(id.2))
        );
        match &record.result {
            RecordedOutcome::Completed { answer: found, .. } => assert_eq!(*found, answer(id)),
            RecordedOutcome::Refused(refusal) => self.check_not_run(id, refusal),
        }
    }

    /// Checks that an attempt refused as not run has not run and can't run later.
    pub(crate) fn check_not_run(&self, id: AttemptId, refusal: &RequestRefusal) {
        if refusal.get_run_state() != RunState::NotRun {
            return;
        }
        assert_eq!(self.upstreams.count(id), 0, "{id:?} ran: {refusal:?}");
        let may_run = |call: &&CallState| {
            call.id == id && (!call.is_from_previous_owner || call.stage >= CallStage::Committed)
        };
        assert!(
            self.calls.iter().find(may_run).is_none(),
            "{id:?} may still run: {refusal:?}"
        );
    }

    pub(crate) fn apply_woken(&mut self, woken: Vec<WokenWaiter>, also_allowed: &[RefusalCode]) {
        for WokenWaiter { key, result } in woken {
            let (id, is_digest_wrong) = self.waiters.remove(&key).expect("known waiter");
            let tree = &self.trees[self.tree_of[id.0]];
            let expected = tree.predict(id.0, id.1, id.2, is_digest_wrong);
            self.apply_admission(id, is_digest_wrong, expected, result, also_allowed);
        }
    }

    pub(crate) fn disconnect_waiter(&mut self, index: usize) {
        if let Some(index) = wrap_index(index, self.waiters.len()) {
            let key = *self.waiters.keys().nth(index).expect("in range");
            self.waiters.remove(&key);
            self.table.remove_waiter(key);
        }
    }

    pub(crate) fn confirm_cleanup(&mut self, index: usize) {
        let requests: Vec<_> = self.table.cleanup_requests().collect();
        let Some(index) = wrap_index(index, requests.len()) else {
            return;
        };
        let (key, request) = requests[index];
        assert_eq!(request.epoch, self.epoch);
        let known = (0..MAX_PROGRAMS).find(|index| program_id(*index) == request.program);
        self.upstreams
            .release(known.expect("known program"), request.epoch);
        self.table.confirm_cleanup(key).expect("owned slot");
    }

    pub(crate) fn store_all_records(&mut self) {
        (0..self.trees.len()).for_each(|tree| self.store_records(tree));
    }

    /// Stores the records of one history that are not stored yet.
    pub(crate) fn store_records(&mut self, tree: usize) {
        let root = program_id(self.trees[tree].programs()[0]);
        let stored = self.holder.stored.get(&root).map_or(0, Vec::len);
        let records = self
            .table
            .records_from(root, stored as u64)
            .expect("known program");
        assert!(self.holder.append(self.epoch, records));
        let count = self.holder.stored[&root].len() as u64;
        assert_eq!(self.table.record_count(root), Some(count));
        self.trees[tree].stored_count = self.trees[tree].events.len();
    }

    pub(crate) fn root_of(&self, program: usize) -> usize {
        self.trees[self.tree_of[program]].programs()[0]
    }

    pub(crate) fn subtree(&self, program: usize) -> Vec<usize> {
        let mut members = vec![program];
        for event in &self.trees[self.tree_of[program]].events {
            if let Event::ProgramStarted {
                program,
                parent: Some(parent),
            } = event
                && members.contains(parent)
            {
                members.push(*program);
            }
        }
        members
    }

    /// Ends all programs and checks that the engine holds no session afterwards.
    pub(crate) fn end_all(mut self) {
        self.calls.retain(|call| !call.is_from_previous_owner);
        for program in 0..self.tree_of.len() {
            self.end(program, EndSource::Operator);
        }
        while !self.calls.is_empty() {
            self.finish_call(0, Reply::Unknown, true);
        }
        while self.table.cleanup_requests().next().is_some() {
            self.confirm_cleanup(0);
        }
        assert!(
            self.upstreams.sessions.is_empty(),
            "the engine still holds sessions"
        );
        assert!(self.waiters.is_empty(), "a request still waits");
    }
}

pub(crate) fn key_label(program: usize) -> KeyLabel {
    KeyLabel::new(format!("key-{}", program % 4))
}

pub(crate) fn request(id: AttemptId, name: &'static str) -> StepRequest {
    let (program, step, attempt) = id;
    StepRequest::new(
        program_id(program),
        workspace(name),
        StepNumber::new(step),
        attempt_key(attempt),
        kind(attempt),
        payload(id),
    )
}
