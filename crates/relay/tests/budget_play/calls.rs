//! Calls of programs, from their clients to the VMs that serve them and back.

use ibisdale_relay::decide::{
    AccountCopy, BudgetShare, BudgetVerdict, HomeSearch, ProgramKey, SearchTarget,
};
use rand::Rng;

use crate::vm::{COPIES, CallId, Message, Requester, ServedCall};
use crate::world::{Event, World};

/// Time for which a home may decide on a call, in milliseconds.
const DECISION_MS: u64 = 720;

impl World {
    pub(crate) fn serve(&mut self, vm: usize, number: usize, attempt: u64) {
        if self.programs[number].attempt != attempt || self.programs[number].is_told_spent {
            return;
        }
        let world_ms = self.now_ms;
        let (program, budget) = (self.programs[number].key, self.programs[number].budget);
        let exchange = self.new_exchange();
        let tokens = self.sizes.call_tokens;
        let Some(process) = self.vms[vm].process.as_mut() else {
            return self.send_call(number, 20);
        };
        let now_ms = process.now_ms(world_ms);
        let share = process.ledger.reserve(program, tokens, now_ms);
        process.calls.insert(
            exchange,
            ServedCall {
                attempt,
                program,
                budget,
                share,
                search: HomeSearch::default(),
                asked: None,
                exchange,
            },
        );
        self.ask_next_home(vm, exchange);
    }

    pub(crate) fn ask_next_home(&mut self, vm: usize, call: CallId) {
        let world_ms = self.now_ms;
        let process = self.vms[vm].process.as_mut().unwrap();
        let Some(mut served) = process.calls.remove(&call) else {
            return;
        };
        let (program, budget, share) = (served.program, served.budget, served.share);
        let now_ms = process.now_ms(world_ms);
        let own = process.facts.key();
        let target = served
            .search
            .next_target(&process.members, own, program, now_ms);
        let Some(target) = target else {
            return self.end_served(vm, &served, None);
        };
        let known = process.ledger.copy(program, now_ms).unwrap_or_default();
        let incarnation = process.facts.incarnation;
        // Late answers of the home that was asked before must not be taken for this one's.
        self.sequence += 1;
        let exchange = self.sequence;
        served.exchange = exchange;
        served.asked = match &target {
            SearchTarget::Own => None,
            SearchTarget::Peer(facts) => Some(facts.key()),
        };
        let process = self.vms[vm].process.as_mut().unwrap();
        process.calls.insert(exchange, served);
        if let SearchTarget::Peer(facts) = target {
            let to = self.number(facts.key());
            self.send(
                vm,
                to,
                exchange,
                Message::Reserve(program, budget, share, known),
            );
            let expire = Event::Expire(vm, incarnation, program, exchange);
            self.schedule(DECISION_MS, expire);
        } else {
            self.decide(vm, (program, budget), share, Requester::Own(exchange));
        }
    }

    pub(crate) fn home_unanswered(&mut self, vm: usize, call: CallId) {
        let world_ms = self.now_ms;
        let process = self.vms[vm].process.as_mut().unwrap();
        let asked = process.calls.get(&call).and_then(|served| served.asked);
        if let Some(asked) = asked {
            let now_ms = process.now_ms(world_ms);
            process.members.record_unanswered(asked, now_ms);
        }
        self.ask_next_home(vm, call);
    }

    pub(crate) fn reserved(
        &mut self,
        vm: usize,
        call: CallId,
        verdict: Option<BudgetVerdict>,
        account: &AccountCopy,
    ) {
        let world_ms = self.now_ms;
        let process = self.vms[vm].process.as_mut().unwrap();
        let Some(served) = process.calls.get(&call) else {
            return;
        };
        let program = served.program;
        let now_ms = process.now_ms(world_ms);
        let is_latest = process.ledger.merge_copy(program, account, now_ms);
        self.decided(vm, call, verdict.filter(|_| is_latest));
    }

    pub(crate) fn decided(&mut self, vm: usize, call: CallId, verdict: Option<BudgetVerdict>) {
        let process = self.vms[vm].process.as_mut().unwrap();
        let is_decided = matches!(
            verdict,
            Some(BudgetVerdict::Granted { .. } | BudgetVerdict::Spent { .. })
        );
        if is_decided {
            if let Some(served) = process.calls.remove(&call) {
                self.end_served(vm, &served, verdict);
            }
            return;
        }
        if let Some(served) = process.calls.get_mut(&call) {
            served.search.record_undecided();
        }
        self.ask_next_home(vm, call);
    }

    /// Returns the tokens of granted calls of a program that have not ended.
    fn open_tokens(&self, program: ProgramKey) -> u64 {
        let processes = self.vms.iter().filter_map(|vm| vm.process.as_ref());
        let running = processes.flat_map(|process| process.running.values());
        let own = running.filter(|(running, _)| *running == program);
        own.map(|(_, share)| share.reserved).sum()
    }

    /// Runs a call, or tells its client why it does not run.
    pub(crate) fn end_served(
        &mut self,
        vm: usize,
        served: &ServedCall,
        verdict: Option<BudgetVerdict>,
    ) {
        let number = self.program_number(served.program);
        let is_wanted = self.programs[number].attempt == served.attempt;
        let is_granted = matches!(verdict, Some(BudgetVerdict::Granted { .. }));
        if is_granted && is_wanted {
            let process = self.vms[vm].process.as_mut().unwrap();
            let incarnation = process.facts.incarnation;
            let running = (served.program, served.share);
            process.running.insert(served.attempt, running);
            let work_ms = self.random.random_range(20..250);
            let end = Event::EndCall(vm, incarnation, served.attempt);
            return self.schedule(work_ms, end);
        }
        self.settle(vm, served.program, served.share, 0);
        if !is_wanted {
            return;
        }
        if verdict.is_some() {
            let open = self.open_tokens(served.program);
            let program = &mut self.programs[number];
            program.is_told_spent = true;
            program.used_when_told = program.delivered + program.lost + open;
        } else {
            self.send_call(number, 150);
        }
    }

    pub(crate) fn end_call(&mut self, vm: usize, attempt: u64) {
        let process = self.vms[vm].process.as_mut().unwrap();
        let Some((program, share)) = process.running.remove(&attempt) else {
            return;
        };
        let number = self.program_number(program);
        self.settle(vm, program, share, share.reserved);
        if self.programs[number].attempt == attempt {
            self.programs[number].delivered += share.reserved;
            let pause_ms = self.random.random_range(50..1_500);
            self.send_call(number, pause_ms);
        } else {
            self.programs[number].lost += share.reserved;
        }
    }

    pub(crate) fn settle(
        &mut self,
        vm: usize,
        program: ProgramKey,
        share: BudgetShare,
        spent: u64,
    ) {
        let world_ms = self.now_ms;
        let process = self.vms[vm].process.as_mut().unwrap();
        let now_ms = process.now_ms(world_ms);
        let ended = process.ledger.settle(program, share, spent, now_ms);
        let own = process.facts.key();
        let homes = process.members.first_homes(own, program, now_ms);
        let homes = homes.into_iter().take(COPIES);
        for facts in homes.filter_map(|home| home.facts).collect::<Vec<_>>() {
            let to = self.number(facts.key());
            self.send(vm, to, 0, Message::Settle(program, ended));
        }
    }
}
