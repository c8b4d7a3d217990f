//! The owner under test, between its callers and its surroundings.

use std::collections::BTreeMap;
use std::time::Duration;

use ibisdale_core::{RefusalCode, RequestRefusal, RunState, StepNumber, TimeStamp};
use ibisdale_programs::{
    HistoryCompleteness, KeyLabel, ProgramBudget, ProgramLimits, ProgramTable, RecordedOutcome,
    RecordedStep, StartRequest, StepAdmission, StepRequest, StepTicket, TableOptions, WaiterKey,
    WokenWaiter,
};

use crate::Reply;
use crate::oracle::{Event, Expected, Outcome, PAID_ACTIONS, STEPS, TOKENS, Tree};
use crate::world::{
    AttemptId, Delivered, Holder, Journal, Upstreams, answer, attempt_key, kind, payload,
    program_id, slot, workspace,
};

pub(crate) const PROGRAMS_MAX: usize = 8;
const DEADLINE: Duration = Duration::from_mins(1);
const IDLE_LIMIT: Duration = Duration::from_mins(3);
const KEEP_ENDED: Duration = Duration::from_hours(24);

/// Who ends a program.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Source {
    Caller,
    Operator,
    KeyWithdrawal,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    Admitted,
    Stored,
    Committed,
    Sent,
}

#[derive(Debug)]
pub(crate) struct CallState {
    pub(crate) ticket: StepTicket,
    pub(crate) id: AttemptId,
    pub(crate) stage: Stage,
    pub(crate) is_stale: bool,
}

#[derive(Debug)]
pub(crate) struct Fixture {
    pub(crate) now: TimeStamp,
    pub(crate) epoch: u64,
    pub(crate) table: ProgramTable,
    pub(crate) stale: Option<ProgramTable>,
    pub(crate) holder: Holder,
    pub(crate) journal: Journal,
    pub(crate) upstreams: Upstreams,
    pub(crate) trees: Vec<Tree>,
    pub(crate) tree_of: Vec<usize>,
    pub(crate) deadlines: Vec<Option<TimeStamp>>,
    pub(crate) calls: Vec<CallState>,
    pub(crate) waiters: BTreeMap<WaiterKey, (AttemptId, bool)>,
    pub(crate) delivered: Vec<Delivered>,
}

pub(crate) fn pick(index: usize, length: usize) -> Option<usize> {
    (length > 0).then(|| index % length)
}

pub(crate) fn new_table(epoch: u64) -> ProgramTable {
    let options = TableOptions::default()
        .idle_timeout(IDLE_LIMIT)
        .ended_retention(KEEP_ENDED);
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
            stale: None,
            holder: Holder {
                sealed: 1,
                ..Holder::default()
            },
            journal: Journal {
                sealed: 1,
                ..Journal::default()
            },
            upstreams: Upstreams::default(),
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
        let parent = parent.and_then(|index| pick(index, program));
        if program == PROGRAMS_MAX {
            return;
        }
        let mut start =
            StartRequest::new(program_id(program), workspace("own"), "planner").key(label(program));
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
            !self.trees[tree].is_ended(parent) && self.trees[tree].steps() < STEPS
        });
        let result = self.table.start(start, self.now);
        assert_eq!(result.is_ok(), is_allowed, "{result:?}");
        if !is_allowed {
            return;
        }
        if parent.is_none() {
            self.trees.push(Tree::default());
        }
        self.trees[tree]
            .events
            .push(Event::Started { program, parent });
        self.tree_of.push(tree);
        self.deadlines.push(deadline);
        self.delivered.push(Delivered::default());
        self.flush(tree);
    }

    pub(crate) fn request(&mut self, program: usize, ahead: i8, attempt: u8, digest: Option<bool>) {
        let Some(program) = pick(program, self.tree_of.len()) else {
            return;
        };
        let next = self.trees[self.tree_of[program]].next_step(program);
        let Some(step) = next
            .checked_add_signed(i32::from(ahead))
            .filter(|step| *step > 0)
        else {
            return;
        };
        let id = (program, step, attempt);
        let is_stale = digest == Some(false);
        let mut request = request(id, "own");
        // An early arrival can't know the digest of the steps before it.
        if let Some(is_right) = digest.filter(|is_right| ahead <= 0 || !is_right) {
            let summary = self
                .table
                .summary_in_any_workspace(program_id(program))
                .expect("known");
            let right = summary.digest;
            request = request.expect_digest(if is_right { right } else { right.append(b"x") });
        }
        let expected = self.trees[self.tree_of[program]].predict(program, step, attempt, is_stale);
        let result = self.table.admit_step(request, self.now);
        self.settle(id, is_stale, expected, result, &[]);
    }

    pub(crate) fn request_foreign(&mut self, program: usize) {
        let Some(program) = pick(program, self.tree_of.len()) else {
            return;
        };
        let result = self
            .table
            .admit_step(request((program, 1, 0), "other"), self.now);
        let code = result.expect_err("a foreign program").get_code();
        assert_eq!(code, RefusalCode::UnknownProgram);
    }

    /// Compares an answer with the oracle's and takes it up.
    pub(crate) fn settle(
        &mut self,
        id: AttemptId,
        is_stale: bool,
        expected: Expected,
        result: Result<StepAdmission, RequestRefusal>,
        also: &[RefusalCode],
    ) {
        let (program, step, attempt) = id;
        let found = match &result {
            Ok(StepAdmission::Run(_)) => Expected::Run,
            Ok(StepAdmission::Wait(_)) => Expected::Wait,
            Ok(StepAdmission::Join(_)) => Expected::Join,
            Ok(StepAdmission::Recorded(record)) => Expected::Recorded(outcome_of(&record.result)),
            Err(refusal) => Expected::Refused(refusal.get_code()),
        };
        let is_also = matches!(found, Expected::Refused(code) if also.contains(&code));
        assert!(
            found == expected || is_also,
            "{id:?}: {found:?}, not {expected:?}"
        );
        match result {
            Ok(StepAdmission::Run(ticket)) => {
                let tree = &mut self.trees[self.tree_of[program]];
                tree.events.push(Event::Attempt {
                    program,
                    step,
                    attempt,
                });
                let (stage, is_stale) = (Stage::Admitted, false);
                self.calls.push(CallState {
                    ticket,
                    id,
                    stage,
                    is_stale,
                });
            }
            Ok(StepAdmission::Wait(key) | StepAdmission::Join(key)) => {
                self.waiters.insert(key, (id, is_stale));
            }
            Ok(StepAdmission::Recorded(record)) => self.check_record(id, &record),
            Err(refusal) => {
                let is_proven = refusal.get_run_state() == RunState::NotRun;
                assert!(is_proven || is_also, "{id:?} is proven not to have run");
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

    /// Checks that "not run" is true and stays true for what is under way.
    pub(crate) fn check_not_run(&self, id: AttemptId, refusal: &RequestRefusal) {
        if refusal.get_run_state() != RunState::NotRun {
            return;
        }
        assert_eq!(self.upstreams.count(id), 0, "{id:?} ran: {refusal:?}");
        let may_run =
            |call: &&CallState| call.id == id && (!call.is_stale || call.stage >= Stage::Committed);
        assert!(
            self.calls.iter().find(may_run).is_none(),
            "{id:?} may run: {refusal:?}"
        );
    }

    pub(crate) fn wake(&mut self, woken: Vec<WokenWaiter>, also: &[RefusalCode]) {
        for WokenWaiter { key, result } in woken {
            let (id, is_stale) = self.waiters.remove(&key).expect("a waiting request");
            let tree = &self.trees[self.tree_of[id.0]];
            let expected = tree.predict(id.0, id.1, id.2, is_stale);
            self.settle(id, is_stale, expected, result, also);
        }
    }

    pub(crate) fn leave_wait(&mut self, index: usize) {
        if let Some(index) = pick(index, self.waiters.len()) {
            let key = *self.waiters.keys().nth(index).expect("in range");
            self.waiters.remove(&key);
            self.table.remove_waiter(key);
        }
    }

    pub(crate) fn confirm(&mut self, index: usize) {
        let orders: Vec<_> = self.table.cleanup_requests().collect();
        let Some(index) = pick(index, orders.len()) else {
            return;
        };
        let (key, order) = orders[index];
        assert_eq!(order.epoch, self.epoch);
        let known = (0..PROGRAMS_MAX).find(|index| program_id(*index) == order.program);
        self.upstreams
            .release(known.expect("a known program"), order.epoch);
        self.table.confirm_cleanup(key).expect("owned");
    }

    pub(crate) fn flush_all(&mut self) {
        (0..self.trees.len()).for_each(|tree| self.flush(tree));
    }

    /// Stores what is not stored yet of one history.
    pub(crate) fn flush(&mut self, tree: usize) {
        let root = program_id(self.trees[tree].programs()[0]);
        let stored = self.holder.stored.get(&root).map_or(0, Vec::len);
        let records = self.table.records_from(root, stored as u64).expect("held");
        assert!(self.holder.append(self.epoch, records));
        let count = self.holder.stored[&root].len() as u64;
        assert_eq!(self.table.record_count(root), Some(count));
        self.trees[tree].durable = self.trees[tree].events.len();
    }

    pub(crate) fn root_of(&self, program: usize) -> usize {
        self.trees[self.tree_of[program]].programs()[0]
    }

    pub(crate) fn subtree(&self, program: usize) -> Vec<usize> {
        let mut members = vec![program];
        for event in &self.trees[self.tree_of[program]].events {
            if let Event::Started {
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

    /// Ends everything and checks that engines hold nothing in the end.
    pub(crate) fn close(mut self) {
        self.calls.retain(|call| !call.is_stale);
        for program in 0..self.tree_of.len() {
            self.end(program, Source::Operator);
        }
        while !self.calls.is_empty() {
            self.finish_call(0, Reply::Unknown, true);
        }
        while self.table.cleanup_requests().next().is_some() {
            self.confirm(0);
        }
        assert!(
            self.upstreams.sessions.is_empty(),
            "engine memory stays held"
        );
        assert!(self.waiters.is_empty(), "a request waits for good");
    }
}

pub(crate) fn label(program: usize) -> KeyLabel {
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
