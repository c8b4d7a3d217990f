//! Holders among themselves: comparisons, restored copies and orders to empty one.

use ibisdale_turns::TurnKey;
use ibisdale_turns::repair::{CheckOutcome, PeerCheck};

use crate::world::{CALL_TIMEOUT_MS, PlayEvent, PlayWorld, ROUND_MS};

impl PlayWorld {
    pub(crate) fn run_round(&mut self, holder: usize) {
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

    pub(crate) fn compare(&mut self, from: usize, check: PeerCheck) {
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

    pub(crate) fn restore(
        &mut self,
        from: usize,
        check: PeerCheck,
        generation: u64,
        missing: &[TurnKey],
    ) {
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

    pub(crate) fn retire(&mut self, holder: usize) {
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
}
