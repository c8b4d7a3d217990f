//! Entry VMs: copies of turns that end, and lookups.

use bytes::Bytes;
use ibisdale_turns::copies::CopyPlan;
use ibisdale_turns::holders::rank_holders;
use ibisdale_turns::lookup::{HolderAnswer, LookupVerdict, TurnLookup};
use ibisdale_turns::{HolderKey, KeptTurn, TurnKey};
use rand::Rng;

use crate::world::{CALL_TIMEOUT_MS, PlayEvent, PlayOperation, PlayWorld};

/// Time that a lookup or the copies of a turn may take, in milliseconds.
const OPERATION_MS: u64 = 1_500;

impl PlayWorld {
    pub(crate) fn new_operation(&mut self, operation: PlayOperation) -> u64 {
        self.next_number += 1;
        let end_ms = self.now_ms + OPERATION_MS;
        self.operations
            .insert(self.next_number, (end_ms, operation));
        self.next_number
    }

    pub(crate) fn end_turn(&mut self) {
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

    pub(crate) fn store(&mut self, operation: u64, holder: HolderKey) {
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

    pub(crate) fn finish_store(&mut self, operation: u64, is_stored: bool) {
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

    pub(crate) fn hedge(&mut self, operation: u64) {
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

    pub(crate) fn start_lookup(&mut self) {
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

    pub(crate) fn ask(&mut self, operation: u64, holder: HolderKey) {
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

    pub(crate) fn answer(
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
}
