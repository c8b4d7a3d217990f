//! Time, messages and entry VMs of a play.

use std::collections::BTreeMap;

use ibisdale_turns::copies::CopyPlan;
use ibisdale_turns::lookup::{HolderAnswer, TurnLookup};
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
pub(crate) const ROUND_MS: u64 = 100;
/// Time after which a call without reply fails, in milliseconds.
pub(crate) const CALL_TIMEOUT_MS: u64 = 1_000;

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

/// What an entry VM is doing.
#[derive(Debug)]
pub(crate) enum PlayOperation {
    Keep { turn: KeptTurn, plan: CopyPlan },
    Lookup { key: TurnKey, lookup: TurnLookup },
}

/// All state of a play.
pub(crate) struct PlayWorld {
    pub(crate) options: PlayOptions,
    pub(crate) random: SmallRng,
    pub(crate) now_ms: u64,
    pub(crate) holders: Vec<PlayHolder>,
    pub(crate) checker: PlayChecker,
    events: BTreeMap<(u64, u64), PlayEvent>,
    pub(crate) next_number: u64,
    pub(crate) operations: BTreeMap<u64, (u64, PlayOperation)>,
    pub(crate) answered: Vec<TurnKey>,
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

    pub(crate) fn registered(&self) -> HolderTable {
        let left = self.holders.iter().filter(|holder| !holder.is_retired);
        HolderTable::new(left.map(|holder| holder.info.clone()))
    }

    pub(crate) fn position(&self, key: HolderKey) -> usize {
        let mut holders = self.holders.iter();
        holders
            .position(|holder| holder.info.key() == key)
            .expect("known holder")
    }

    /// Returns the delay of a message, or none if it is lost with the connection.
    pub(crate) fn delay_ms(&mut self, holder: usize) -> Option<u64> {
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
