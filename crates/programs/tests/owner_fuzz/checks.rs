//! Invariants that are checked after each transition.

use ibisdale_programs::ProgramStatus;

use crate::fakes::{AttemptId, DeliveredAnswers, answer, payload, program_id, workspace};
use crate::oracle::{CallKind, PAID_ACTIONS, STEPS, TOKENS};
use crate::owner::{CallState, Fixture};

impl Fixture {
    /// Checks all invariants.
    pub(crate) fn check(&self) {
        for program in 0..self.tree_of.len() {
            self.check_history(program);
            self.check_runs(program);
            self.check_cleanup(program);
        }
        for tree in &self.trees {
            let root = tree.programs()[0];
            let budget = self
                .table
                .summary_in_any_workspace(program_id(root))
                .expect("known program")
                .budget;
            let (tokens, paid) = tree.used();
            assert_eq!(budget.tokens.spent + budget.tokens.reserved, tokens);
            assert_eq!(
                budget.paid_actions.spent + budget.paid_actions.reserved,
                paid
            );
            assert!(
                tokens <= TOKENS && paid <= PAID_ACTIONS,
                "the budget is exceeded"
            );
            assert!(tree.counted_steps() <= STEPS, "the step limit is exceeded");
            let is_own = |run: &&AttemptId| self.root_of(run.0) == root;
            let paid_runs = self.upstreams.runs.iter().filter(is_own);
            let paid_runs = paid_runs
                .filter(|run| CallKind::of_attempt(run.2) == CallKind::Paid)
                .count();
            assert!(
                paid_runs as u64 <= PAID_ACTIONS,
                "more paid calls ran than allowed"
            );
        }
    }

    /// Checks that the history contains the delivered answers and no other program's.
    pub(crate) fn check_history(&self, program: usize) {
        let id = program_id(program);
        let history = self
            .table
            .history(id, &workspace("own"))
            .expect("known program");
        for (index, exchange) in history.iter().enumerate() {
            let attempt = (0..5).find(|attempt| {
                let id = (program, exchange.step.get(), *attempt);
                exchange.request == payload(id) && exchange.answer == answer(id)
            });
            assert!(attempt.is_some(), "unexpected exchange: {exchange:?}");
            assert!(index == 0 || history[index - 1].step < exchange.step);
        }
        let exchanges = history
            .into_iter()
            .map(|exchange| (exchange.request, exchange.answer));
        let exchanges: Vec<_> = exchanges.collect();
        let delivered = &self.delivered[program].exchanges;
        assert!(
            exchanges.starts_with(delivered),
            "a delivered answer is missing"
        );
        let summary = self
            .table
            .summary_in_any_workspace(id)
            .expect("known program");
        assert_eq!(summary.digest, DeliveredAnswers::digest(&exchanges));
    }

    /// Checks that each step ran at most one paid call and that at most one call of
    /// the program is running.
    pub(crate) fn check_runs(&self, program: usize) {
        let runs = self.upstreams.runs.iter().filter(|run| run.0 == program);
        let runs: Vec<_> = runs.collect();
        for (index, run) in runs.iter().enumerate() {
            let is_paid = CallKind::of_attempt(run.2) == CallKind::Paid;
            let same_step = runs[..index].iter().filter(|other| other.1 == run.1);
            let paid_before =
                same_step.filter(|other| CallKind::of_attempt(other.2) == CallKind::Paid);
            assert!(
                !is_paid || paid_before.count() == 0,
                "a paid call ran twice: {run:?}"
            );
        }
        let is_current = |call: &&CallState| call.id.0 == program && !call.is_from_previous_owner;
        assert!(
            self.calls.iter().filter(is_current).count() <= 1,
            "two calls are running"
        );
    }

    /// Checks that the release of an ended program's session is queued.
    pub(crate) fn check_cleanup(&self, program: usize) {
        let id = program_id(program);
        let summary = self
            .table
            .summary_in_any_workspace(id)
            .expect("known program");
        let is_idle_and_ended = summary.status != ProgramStatus::Running && !summary.is_busy;
        if is_idle_and_ended && self.upstreams.sessions.contains(&program) {
            let is_queued = self
                .table
                .cleanup_requests()
                .any(|(_, request)| request.program == id);
            assert!(is_queued, "no clean-up request for {program}");
        }
    }
}
