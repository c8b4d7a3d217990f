//! What must always hold.

use ibisdale_programs::ProgramStatus;

use crate::oracle::{Call, PAID_ACTIONS, STEPS, TOKENS};
use crate::owner::{CallState, Fixture};
use crate::world::{AttemptId, Delivered, answer, payload, program_id, workspace};

impl Fixture {
    /// Checks what must always hold.
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
                .expect("held")
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
            assert!(tree.steps() <= STEPS, "the step limit is exceeded");
            let is_own = |run: &&AttemptId| self.root_of(run.0) == root;
            let paid_runs = self.upstreams.runs.iter().filter(is_own);
            let paid_runs = paid_runs
                .filter(|run| Call::of(run.2) == Call::Paid)
                .count();
            assert!(
                paid_runs as u64 <= PAID_ACTIONS,
                "more paid calls ran than allowed"
            );
        }
    }

    /// Checks that answers given to callers are kept, and none is mixed in.
    pub(crate) fn check_history(&self, program: usize) {
        let id = program_id(program);
        let history = self.table.history(id, &workspace("own")).expect("held");
        for (index, exchange) in history.iter().enumerate() {
            let attempt = (0..5).find(|attempt| {
                let id = (program, exchange.step.get(), *attempt);
                exchange.request == payload(id) && exchange.answer == answer(id)
            });
            assert!(attempt.is_some(), "a foreign exchange: {exchange:?}");
            assert!(index == 0 || history[index - 1].step < exchange.step);
        }
        let exchanges = history
            .into_iter()
            .map(|exchange| (exchange.request, exchange.answer));
        let exchanges: Vec<_> = exchanges.collect();
        let delivered = &self.delivered[program].exchanges;
        assert!(
            exchanges.starts_with(delivered),
            "an answer that was given is lost"
        );
        let summary = self.table.summary_in_any_workspace(id).expect("held");
        assert_eq!(summary.digest, Delivered::digest(&exchanges));
    }

    /// Checks that paid calls ran once and that calls ran in the steps' order.
    pub(crate) fn check_runs(&self, program: usize) {
        let runs = self.upstreams.runs.iter().filter(|run| run.0 == program);
        let runs: Vec<_> = runs.collect();
        for (index, run) in runs.iter().enumerate() {
            let is_paid = Call::of(run.2) == Call::Paid;
            let same_step = runs[..index].iter().filter(|other| other.1 == run.1);
            let paid_before = same_step.filter(|other| Call::of(other.2) == Call::Paid);
            assert!(
                !is_paid || paid_before.count() == 0,
                "a paid call ran twice: {run:?}"
            );
        }
        let under_way = |call: &&CallState| call.id.0 == program && !call.is_stale;
        assert!(
            self.calls.iter().filter(under_way).count() <= 1,
            "two calls at once"
        );
    }

    /// Checks that what an engine holds of an ended program is ordered away.
    pub(crate) fn check_cleanup(&self, program: usize) {
        let id = program_id(program);
        let summary = self.table.summary_in_any_workspace(id).expect("held");
        let is_over = summary.status != ProgramStatus::Running && !summary.is_busy;
        if is_over && self.upstreams.sessions.contains(&program) {
            let is_ordered = self
                .table
                .cleanup_requests()
                .any(|(_, order)| order.program == id);
            assert!(is_ordered, "no clean-up order for {program}");
        }
    }
}
