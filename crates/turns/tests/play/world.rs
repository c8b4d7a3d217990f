//! Time, messages and entry VMs of a play.

use std::collections::BTreeMap;

use bytes::Bytes;
use ibisdale_turns::copies::CopyPlan;
use ibisdale_turns::holders::rank_holders;
use ibisdale_turns::lookup::{HolderAnswer, LookupVerdict, TurnLookup};
use ibisdale_turns::repair::{CheckOutcome, PeerCheck};
use ibisdale_turns::{HolderInfo, HolderKey, HolderTable, KeptTurn, TurnKey};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::checker::{PlayChecker, PlayOutcome};
use crate::holder::PlayHolder;

/// Length of a play, in milliseconds.
const PLAY_MS: u64 = 30_000;
/// Time without faults at the end, in milliseconds; longer than a holder needs to catch up.
const QUIET_MS: u64 = 9_000;
/// Interval of the holders' rounds, in milliseconds.
const ROUND_MS: u64 = 100;
/// Time after which a call without reply fails, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Time that a lookup or the copies of a turn may take, in milliseconds.
const OPERATION_MS: u64 = 1_500;

/// Options of a play.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlayOptions {
    pub(crate) seed: u64,
    pub(crate) holders: usize,
    pub(crate) tolerated: usize,
    /// Whether holders compare no turns, so that lost copies are not restored.
    pub(crate) is_repair_off: bool,
}

/// Something that happens at a point in time.
#[derive(Clone, Debug)]
pub(crate) enum PlayEvent {
    EndTurn,
    StartLookup,
    Fault,
    Retirement,
    Round {
        holder: usize,
    },
    Return {
        holder: usize,
        is_wiped: bool,
    },
    Retire {
        holder: usize,
    },
    Store {
        operation: u64,
        holder: HolderKey,
    },
    StoreReply {
        operation: u64,
        is_stored: bool,
    },
    Ask {
        operation: u64,
        holder: HolderKey,
    },
    Answer {
        operation: u64,
        holder: HolderKey,
        answer: HolderAnswer,
        chain: Vec<KeptTurn>,
    },
    Hedge {
        operation: u64,
    },
    Compare {
        from: usize,
        check: PeerCheck,
    },
    Compared {
        from: usize,
        check: PeerCheck,
        generation: u64,
        missing: Vec<TurnKey>,
    },
    Restored {
        from: usize,
        check: PeerCheck,
        outcome: CheckOutcome,
    },
}

#[derive(Debug)]
enum PlayOperation {
    Keep { turn: KeptTurn, plan: CopyPlan },
    Lookup { key: TurnKey, lookup: TurnLookup },
}

/// All state of a play.
pub(crate) struct PlayWorld {
    pub(crate) options: PlayOptions,
    pub(crate) random: SmallRng,
    pub(crate) now_ms: u64,
    pub(crate) holders: Vec<PlayHolder>,
    checker: PlayChecker,
    events: BTreeMap<(u64, u64), PlayEvent>,
    next_number: u64,
    operations: BTreeMap<u64, (u64, PlayOperation)>,
    answered: Vec<TurnKey>,
}

impl PlayWorld {
    pub(crate) fn new(options: PlayOptions) -> Self {
        let count = u8::try_from(options.holders).expect("few holders");
        let mut world = Self {
            random: SmallRng::seed_from_u64(options.seed),
            now_ms: 0,
            holders: (0..count)
                .map(|number| PlayHolder::new(number, options.tolerated + 1))
                .collect(),
            checker: PlayChecker::default(),
            events: BTreeMap::new(),
            next_number: 0,
            operations: BTreeMap::new(),
            answered: Vec::new(),
            options,
        };
        let registered = world.registered();
        for holder in 0..world.holders.len() {
            world.holders[holder].start(false, &registered, 0);
            let delay = world.random.random_range(0..ROUND_MS);
            world.schedule(delay, PlayEvent::Round { holder });
        }
        for _ in 0..120 {
            let at = world.random.random_range(0..PLAY_MS);
            world.schedule(at, PlayEvent::EndTurn);
            let at = world.random.random_range(0..PLAY_MS + QUIET_MS);
            world.schedule(at, PlayEvent::StartLookup);
        }
        for _ in 0..12 {
            let at = world.random.random_range(0..PLAY_MS);
            world.schedule(at, PlayEvent::Fault);
        }
        for _ in 0..3 {
            let at = world.random.random_range(0..PLAY_MS);
            world.schedule(at, PlayEvent::Retirement);
        }
        world
    }

    pub(crate) fn run(mut self) -> PlayOutcome {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > PLAY_MS + QUIET_MS {
                break;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
        self.check_end();
        self.checker.outcome
    }

    pub(crate) fn schedule(&mut self, delay_ms: u64, event: PlayEvent) {
        self.next_number += 1;
        let at_ms = self.now_ms + delay_ms;
        self.events.insert((at_ms, self.next_number), event);
    }

    pub(crate) fn is_lost(&self, holder: &PlayHolder) -> bool {
        !holder.is_retired && self.now_ms < holder.whole_at_ms
    }

    fn registered(&self) -> HolderTable {
        let left = self.holders.iter().filter(|holder| !holder.is_retired);
        HolderTable::new(left.map(|holder| holder.info.clone()))
    }

    fn position(&self, key: HolderKey) -> usize {
        let mut holders = self.holders.iter();
        holders
            .position(|holder| holder.info.key() == key)
            .expect("known holder")
    }

    /// Returns the delay of a message, or none if it is lost with the connection.
    fn delay_ms(&mut self, holder: usize) -> Option<u64> {
        let paused = self.holders[holder]
            .paused_until_ms
            .saturating_sub(self.now_ms);
        let is_lost = !self.holders[holder].is_reachable() || self.random.random_ratio(1, 200);
        let delay = self.random.random_range(1..20);
        (!is_lost).then_some(paused + delay)
    }

    fn handle(&mut self, event: PlayEvent) {
        match event {
            PlayEvent::EndTurn => self.end_turn(),
            PlayEvent::StartLookup => self.start_lookup(),
            PlayEvent::Fault => self.inject_fault(),
            PlayEvent::Retirement => self.order_retirement(),
            PlayEvent::Round { holder } => self.run_round(holder),
            PlayEvent::Return { holder, is_wiped } => {
                let registered = self.registered();
                let now_ms = self.now_ms;
                let target = &mut self.holders[holder];
                target.is_cut = false;
                if target.core.is_none() {
                    target.start(is_wiped, &registered, now_ms);
                }
            }
            PlayEvent::Retire { holder } => self.retire(holder),
            PlayEvent::Store { operation, holder } => self.store(operation, holder),
            PlayEvent::StoreReply {
                operation,
                is_stored,
            } => {
                self.finish_store(operation, is_stored);
            }
            PlayEvent::Ask { operation, holder } => self.ask(operation, holder),
            PlayEvent::Answer {
                operation,
                holder,
                answer,
                chain,
            } => {
                self.answer(operation, holder, answer, &chain);
            }
            PlayEvent::Hedge { operation } => self.hedge(operation),
            PlayEvent::Compare { from, check } => self.compare(from, check),
            PlayEvent::Compared {
                from,
                check,
                generation,
                missing,
            } => {
                self.restore(from, check, generation, &missing);
            }
            PlayEvent::Restored {
                from,
                check,
                outcome,
            } => {
                let now_ms = self.now_ms;
                if let Some(core) = &mut self.holders[from].core {
                    core.finish_check(&check, outcome, now_ms);
                }
            }
        }
    }

    fn new_operation(&mut self, operation: PlayOperation) -> u64 {
        self.next_number += 1;
        let end_ms = self.now_ms + OPERATION_MS;
        self.operations
            .insert(self.next_number, (end_ms, operation));
        self.next_number
    }

    fn end_turn(&mut self) {
        let continues = !self.answered.is_empty() && self.random.random_ratio(3, 4);
        let previous = continues.then(|| {
            let position = self.random.random_range(0..self.answered.len());
            self.answered[position]
        });
        let placement = match previous {
            // Most programs continue their own turns.
            Some(key) if self.random.random_ratio(9, 10) => self.checker.answered[&key].placement,
            _ => self.random.random(),
        };
        let id = self.next_number.to_string();
        let turn = KeptTurn {
            key: TurnKey::new(b"workspace", id.as_bytes()),
            previous,
            placement,
            retain_ms: 60_000,
            input: Bytes::from(id),
            output: Bytes::from_static(b"output\n"),
        };
        let ranked = rank_holders(placement, self.registered().iter());
        let mut plan = CopyPlan::new(ranked, self.options.tolerated);
        let first = plan.first_holders();
        let operation = self.new_operation(PlayOperation::Keep { turn, plan });
        for holder in first {
            self.schedule(1, PlayEvent::Store { operation, holder });
        }
        self.schedule(70, PlayEvent::Hedge { operation });
    }

    fn store(&mut self, operation: u64, holder: HolderKey) {
        let position = self.position(holder);
        let Some((_, PlayOperation::Keep { turn, .. })) = self.operations.get(&operation) else {
            return;
        };
        let turn = turn.clone();
        let now_ms = self.now_ms;
        let (delay, is_stored) = match self.delay_ms(position) {
            // The holder stores the turn; the reply may be lost as well.
            Some(delay) => {
                let is_stored = self.holders[position].store(&[turn], now_ms);
                let is_reply_lost = self.random.random_ratio(1, 100);
                (
                    if is_reply_lost {
                        CALL_TIMEOUT_MS
                    } else {
                        delay
                    },
                    is_stored && !is_reply_lost,
                )
            }
            None => (CALL_TIMEOUT_MS, false),
        };
        self.schedule(
            delay,
            PlayEvent::StoreReply {
                operation,
                is_stored,
            },
        );
    }

    fn finish_store(&mut self, operation: u64, is_stored: bool) {
        let Some((end_ms, PlayOperation::Keep { plan, .. })) = self.operations.get_mut(&operation)
        else {
            return;
        };
        let is_late = self.now_ms > *end_ms;
        if is_stored {
            plan.record_stored();
        } else {
            plan.record_failed();
        }
        let next = if is_stored { None } else { plan.next_holder() };
        let is_complete = plan.is_complete();
        if let Some(holder) = next {
            self.schedule(1, PlayEvent::Store { operation, holder });
        }
        if (is_complete || is_late)
            && let Some((_, PlayOperation::Keep { turn, .. })) = self.operations.remove(&operation)
            && is_complete
            && !is_late
        {
            self.answered.push(turn.key);
            self.checker.record_answered(turn);
        }
    }

    fn hedge(&mut self, operation: u64) {
        let Some((end_ms, state)) = self.operations.get_mut(&operation) else {
            return;
        };
        if self.now_ms > *end_ms {
            self.operations.remove(&operation);
            return;
        }
        let events: Vec<PlayEvent> = match state {
            PlayOperation::Keep { plan, .. } => {
                let next = plan.next_holder().into_iter();
                next.map(|holder| PlayEvent::Store { operation, holder })
                    .collect()
            }
            PlayOperation::Lookup { lookup, .. } => {
                let next = lookup.next_holders().into_iter();
                next.map(|holder| PlayEvent::Ask { operation, holder })
                    .collect()
            }
        };
        for event in events {
            self.schedule(1, event);
        }
        self.schedule(70, PlayEvent::Hedge { operation });
    }

    fn start_lookup(&mut self) {
        let is_unknown = self.answered.is_empty() || self.random.random_ratio(1, 10);
        let (key, placement) = if is_unknown {
            let id = format!("unknown {}", self.next_number);
            (
                TurnKey::new(b"workspace", id.as_bytes()),
                self.random.random(),
            )
        } else {
            let position = self.random.random_range(0..self.answered.len());
            let key = self.answered[position];
            (key, self.checker.answered[&key].placement)
        };
        let ranked = rank_holders(placement, self.registered().iter());
        let mut lookup = TurnLookup::new(ranked, self.options.tolerated);
        let first = lookup.next_holders();
        let operation = self.new_operation(PlayOperation::Lookup { key, lookup });
        for holder in first {
            self.schedule(1, PlayEvent::Ask { operation, holder });
        }
        self.schedule(40, PlayEvent::Hedge { operation });
    }

    fn ask(&mut self, operation: u64, holder: HolderKey) {
        let position = self.position(holder);
        let Some((_, PlayOperation::Lookup { key, .. })) = self.operations.get(&operation) else {
            return;
        };
        let key = *key;
        let (now_ms, digest) = (self.now_ms, self.registered().digest());
        let delay = self.delay_ms(position);
        let target = &mut self.holders[position];
        let chain = if delay.is_some() {
            target.chain(key, now_ms)
        } else {
            Vec::new()
        };
        let answer = match (&target.core, delay) {
            (Some(_), Some(_)) if !chain.is_empty() => HolderAnswer::Found,
            (Some(core), Some(_)) => HolderAnswer::Absent {
                is_certain: core.is_whole() && core.holders().digest() == digest,
            },
            _ => HolderAnswer::Silent,
        };
        let event = PlayEvent::Answer {
            operation,
            holder,
            answer,
            chain,
        };
        self.schedule(delay.unwrap_or(CALL_TIMEOUT_MS), event);
    }

    fn answer(
        &mut self,
        operation: u64,
        holder: HolderKey,
        answer: HolderAnswer,
        chain: &[KeptTurn],
    ) {
        let Some((_, PlayOperation::Lookup { key, lookup })) = self.operations.get_mut(&operation)
        else {
            return;
        };
        let key = *key;
        lookup.record_answer(holder, answer);
        let verdict = lookup.get_verdict();
        let next = if verdict == LookupVerdict::Unknown {
            lookup.next_holders()
        } else {
            Vec::new()
        };
        let is_done = next.is_empty() && !lookup.is_waiting();
        for holder in next {
            self.schedule(1, PlayEvent::Ask { operation, holder });
        }
        match verdict {
            LookupVerdict::Found => self.checker.record_found(chain, self.now_ms),
            LookupVerdict::Missing => self.checker.record_missing(key, self.now_ms),
            LookupVerdict::Unknown => {}
        }
        if is_done || verdict != LookupVerdict::Unknown {
            self.operations.remove(&operation);
        }
    }

    fn run_round(&mut self, holder: usize) {
        self.schedule(ROUND_MS, PlayEvent::Round { holder });
        let is_paused = self.holders[holder].paused_until_ms > self.now_ms;
        if is_paused || self.holders[holder].is_retired || self.options.is_repair_off {
            return;
        }
        let now_ms = self.now_ms;
        let Some(core) = &mut self.holders[holder].core else {
            return;
        };
        for check in core.due_checks(now_ms) {
            self.schedule(
                1,
                PlayEvent::Compare {
                    from: holder,
                    check,
                },
            );
        }
    }

    fn compare(&mut self, from: usize, check: PeerCheck) {
        let position = self.position(check.holder.key());
        let is_sender_cut = !self.holders[from].is_reachable();
        let delay = self.delay_ms(position).filter(|_| !is_sender_cut);
        let sender = self.holders[from].info.clone();
        let now_ms = self.now_ms;
        let target = &mut self.holders[position];
        let (Some(delay), Some(core)) = (delay, &mut target.core) else {
            let event = PlayEvent::Restored {
                from,
                check,
                outcome: CheckOutcome::Failed,
            };
            self.schedule(CALL_TIMEOUT_MS, event);
            return;
        };
        let missing = core.answer_check(
            &sender,
            check.peer_generation,
            check.keys.clone(),
            check.is_last,
            now_ms,
        );
        let generation = target.info.generation;
        let event = PlayEvent::Compared {
            from,
            check,
            generation,
            missing,
        };
        self.schedule(delay, event);
    }

    fn restore(&mut self, from: usize, check: PeerCheck, generation: u64, missing: &[TurnKey]) {
        let position = self.position(check.holder.key());
        let delay = self.delay_ms(position);
        let is_sender_up = self.holders[from].is_reachable();
        let turns: Vec<_> = missing
            .iter()
            .filter_map(|key| self.holders[from].get(*key))
            .collect();
        let now_ms = self.now_ms;
        let is_stored = match delay.filter(|_| is_sender_up) {
            Some(_) => turns.is_empty() || self.holders[position].store(&turns, now_ms),
            None => false,
        };
        let event = PlayEvent::Restored {
            from,
            check,
            outcome: match (is_stored, missing.is_empty()) {
                (false, _) => CheckOutcome::Failed,
                (true, true) => CheckOutcome::Equal { generation },
                (true, false) => CheckOutcome::Restored { generation },
            },
        };
        self.schedule(delay.unwrap_or(CALL_TIMEOUT_MS), event);
    }

    fn retire(&mut self, holder: usize) {
        let now_ms = self.now_ms;
        let target = &mut self.holders[holder];
        if target.is_retired {
            return;
        }
        let left = match &mut target.core {
            Some(core) if !target.is_cut => core.retire(now_ms),
            _ => usize::MAX,
        };
        if left > 0 {
            self.schedule(200, PlayEvent::Retire { holder });
            return;
        }
        target.is_retired = true;
        target.disk.clear();
        let registered = self.registered();
        for other in &mut self.holders {
            if let Some(core) = &mut other.core {
                core.set_holders(registered.clone(), now_ms);
            }
        }
    }

    /// Checks that each answered turn has all its copies on holders that are left.
    ///
    /// Each holder must know by then that its disk is whole, so that what it does not have
    /// does not exist.
    fn check_end(&mut self) {
        let left = self.holders.iter().filter(|holder| !holder.is_retired);
        let cores = left.filter_map(|holder| holder.core.as_ref());
        let uncertain = cores.filter(|core| !core.is_whole()).count();
        if uncertain > 0 && !self.options.is_repair_off {
            self.checker.record_uncertain(uncertain);
        }
        let keys = std::mem::take(&mut self.answered);
        for key in keys {
            let left = self.holders.iter().filter(|holder| !holder.is_retired);
            let copies: Vec<&HolderInfo> = left
                .filter(|holder| holder.get(key).is_some())
                .map(|holder| &holder.info)
                .collect();
            if copies.is_empty() {
                self.checker.record_lost(key, "no copy is left");
            } else if copies.len() <= self.options.tolerated && !self.options.is_repair_off {
                let reason = format!("{} copies are left", copies.len());
                self.checker.record_lost(key, &reason);
            }
        }
    }
}
