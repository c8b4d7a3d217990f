//! The steps of decisions, carried out over simulated messages and the store.

use std::collections::VecDeque;

use ibisdale_relay::decide::{
    AccountReply, BudgetShare, BudgetVerdict, ClaimOutcome, HomeDecision, HomeStep, HomeView,
    MemberFacts, ProgramKey,
};
use rand::Rng;

use crate::vm::{CallId, HomeTask, Message, Requester};
use crate::world::{Event, World};

/// Time after which a call between VMs counts as unanswered, in milliseconds.
const ANSWER_MS: u64 = 120;
/// Time after which a write to the store has failed, in milliseconds.
const WRITE_MS: u64 = 400;
/// Time for which a decision waits for a read of the store, in milliseconds.
const RECORDS_WAIT_MS: u64 = 400;

impl World {
    /// Returns the program whose decision waits for an exchange.
    pub(crate) fn waiting_program(&self, vm: usize, exchange: CallId) -> Option<ProgramKey> {
        let process = self.vms[vm].process.as_ref()?;
        let mut tasks = process.tasks.values().filter_map(VecDeque::front);
        let task = tasks.find(|task| task.exchange == exchange)?;
        Some(task.program)
    }

    pub(crate) fn role_yielded(&mut self, vm: usize, exchange: CallId, reply: AccountReply) {
        let Some(program) = self.waiting_program(vm, exchange) else {
            return;
        };
        let process = self.vms[vm].process.as_mut().unwrap();
        let task = &mut process.tasks.get_mut(&program).unwrap()[0];
        task.asked.retain(|asked| *asked != reply.process.vm);
        task.replies.push(reply);
        if task.asked.is_empty() {
            self.end_asking(vm, program, exchange);
        }
    }

    pub(crate) fn end_asking(&mut self, vm: usize, program: ProgramKey, exchange: CallId) {
        let process = self.vms[vm].process.as_mut().unwrap();
        let task = &mut process.tasks.get_mut(&program).unwrap()[0];
        let replies = std::mem::take(&mut task.replies);
        let unanswered = std::mem::take(&mut task.asked);
        self.step(vm, program, exchange, |decision, view| {
            decision.record_replies(view, replies, &unanswered)
        });
    }

    /// Ends an exchange that got no answer.
    pub(crate) fn expire(&mut self, vm: usize, program: ProgramKey, exchange: CallId) {
        let process = self.vms[vm].process.as_mut().unwrap();
        if process.calls.contains_key(&exchange) {
            self.home_unanswered(vm, exchange);
            return;
        }
        let tasks = process.tasks.get(&program);
        let Some(task) = tasks.and_then(VecDeque::front) else {
            return;
        };
        if task.exchange != exchange {
            return;
        }
        if task.asked.is_empty() {
            // Either a witness or a write to the store.
            let is_write = task.waits_until_ms > 0;
            self.step(vm, program, exchange, |decision, view| {
                if is_write {
                    decision.record_outcome(view, ClaimOutcome::Failed)
                } else {
                    decision.record_witness(view, None)
                }
            });
        } else {
            self.end_asking(vm, program, exchange);
        }
    }

    pub(crate) fn poll_records(
        &mut self,
        vm: usize,
        incarnation: u64,
        program: ProgramKey,
        exchange: CallId,
    ) {
        let world_ms = self.now_ms;
        let is_down = self.down_until_ms > world_ms;
        let store = self.store.clone();
        let process = self.vms[vm].process.as_mut().unwrap();
        let Some(task) = process.tasks.get(&program).and_then(VecDeque::front) else {
            return;
        };
        if task.exchange != exchange {
            return;
        }
        let is_over = world_ms >= task.waits_until_ms;
        process.reads.request();
        let now_ms = process.now_ms(world_ms);
        if let Some(read) = process.reads.start(now_ms) {
            if is_down {
                process.reads.fail(read);
            } else {
                for (program, stored) in store {
                    process.ledger.record_ceiling(program, stored);
                }
                process.reads.complete(read);
            }
        }
        if is_over || !process.reads.is_needed() {
            self.step(vm, program, exchange, |decision, view| {
                decision.record_read(view)
            });
        } else {
            self.schedule(20, Event::PollRecords(vm, incarnation, program, exchange));
        }
    }

    /// Takes the next step of a decision and carries it out.
    pub(crate) fn step(
        &mut self,
        vm: usize,
        program: ProgramKey,
        exchange: CallId,
        take: impl FnOnce(&mut HomeDecision, &mut HomeView<'_>) -> HomeStep,
    ) {
        let world_ms = self.now_ms;
        let process = self.vms[vm].process.as_mut().unwrap();
        let tasks = process.tasks.get(&program);
        if tasks.and_then(VecDeque::front).map(|task| task.exchange) != Some(exchange) {
            return;
        }
        let step = process.with_decision(program, world_ms, take);
        self.carry_out(vm, program, step);
    }

    pub(crate) fn carry_out(&mut self, vm: usize, program: ProgramKey, step: HomeStep) {
        let exchange = self.new_exchange();
        let process = self.vms[vm].process.as_mut().unwrap();
        let incarnation = process.facts.incarnation;
        let task = &mut process.tasks.get_mut(&program).unwrap()[0];
        task.exchange = exchange;
        task.waits_until_ms = 0;
        let mut answer_ms = ANSWER_MS;
        match step {
            HomeStep::Decided(verdict) => return self.end_decision(vm, program, verdict),
            HomeStep::AskForRole(peers) => {
                task.asked = peers.iter().map(MemberFacts::key).collect();
                if peers.is_empty() {
                    return self.end_asking(vm, program, exchange);
                }
                task.asked.sort_unstable();
                let asked = task.asked.clone();
                let own = process.ledger.process();
                for key in asked {
                    let to = self.number(key);
                    self.send(vm, to, exchange, Message::RequestRole(program, own));
                }
            }
            HomeStep::AwaitRecords => {
                task.waits_until_ms = self.now_ms + RECORDS_WAIT_MS;
                let poll = Event::PollRecords(vm, incarnation, program, exchange);
                return self.schedule(0, poll);
            }
            HomeStep::Store(claim) => {
                answer_ms = WRITE_MS;
                task.waits_until_ms = self.now_ms + answer_ms;
                let delay_ms = self.random.random_range(2..40);
                let write = Event::Write(vm, incarnation, program, exchange, claim);
                self.schedule(delay_ms, write);
            }
            HomeStep::AskWitness(witness, account) => {
                let to = self.number(witness.key());
                self.send(vm, to, exchange, Message::Replicate(program, *account));
            }
        }
        let expire = Event::Expire(vm, incarnation, program, exchange);
        self.schedule(answer_ms, expire);
    }

    pub(crate) fn decide(
        &mut self,
        vm: usize,
        (program, budget): (ProgramKey, u64),
        share: BudgetShare,
        requester: Requester,
    ) {
        let decision = HomeDecision::new(program, budget, share);
        self.add_task(vm, program, decision, requester);
    }

    pub(crate) fn add_task(
        &mut self,
        vm: usize,
        program: ProgramKey,
        decision: HomeDecision,
        requester: Requester,
    ) {
        let process = self.vms[vm].process.as_mut().unwrap();
        let tasks = process.tasks.entry(program).or_default();
        tasks.push_back(HomeTask {
            program,
            decision,
            requester,
            asked: Vec::new(),
            replies: Vec::new(),
            exchange: 0,
            waits_until_ms: 0,
        });
        if tasks.len() == 1 {
            self.step(vm, program, 0, HomeDecision::start);
        }
    }

    pub(crate) fn end_decision(
        &mut self,
        vm: usize,
        program: ProgramKey,
        verdict: Option<BudgetVerdict>,
    ) {
        let world_ms = self.now_ms;
        let process = self.vms[vm].process.as_mut().unwrap();
        let now_ms = process.now_ms(world_ms);
        let tasks = process.tasks.get_mut(&program).unwrap();
        let task = tasks.pop_front().unwrap();
        let has_more = !tasks.is_empty();
        let account = process.ledger.copy(program, now_ms).unwrap_or_default();
        match task.requester {
            Requester::Own(call) => self.decided(vm, call, verdict),
            Requester::Peer(from, exchange) => {
                self.send(vm, from, exchange, Message::Reserved(verdict, account));
            }
            Requester::None => {}
        }
        if has_more {
            self.step(vm, program, 0, HomeDecision::start);
        }
    }
}
