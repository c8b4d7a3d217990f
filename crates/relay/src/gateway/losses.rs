//! What becomes of counts when VMs die.
//!
//! What one VM has counted of programs is known to others; it is lost only when most
//! VMs die at once. Programs then are taken to have spent what needs no stored ceiling.

use std::time::{SystemTime, UNIX_EPOCH};

use super::call::millis;
use super::state::Gateway;
use crate::decide::{ProgramKey, VmKey, rendezvous_weight};

/// Time in which deaths of VMs count as one event, in milliseconds; covers the
/// silence after which a death is noticed.
const SAME_LOSS_MS: u64 = 5_000;
/// Time after the start in which peers tell of what was counted before, in
/// milliseconds; a few rounds.
const PEERS_TOLD_MS: u64 = 1_000;

impl Gateway {
    /// Notes that a VM has died with what it had counted.
    pub(crate) fn note_loss(&self, vm: VmKey) {
        let now_ms = self.now_ms();
        let known = self.state.members.borrow().count(now_ms).0 + 1;
        let mut losses = self.state.losses.borrow_mut();
        let memory_ms = self.remember_ms();
        losses.retain(|(lost, at_ms)| *lost != vm && now_ms.saturating_sub(*at_ms) < memory_ms);
        losses.push((vm, now_ms));
        let recent = losses
            .iter()
            .filter(|(_, at_ms)| now_ms.saturating_sub(*at_ms) < SAME_LOSS_MS);
        // What one dead VM counted is known to others; not so for most VMs at once.
        if recent.count() * 4 >= known * 3 {
            self.state.counted_since.set(Some(wall_ms()));
        }
        drop(losses);
        self.state.ceilings_read_ms.set(None);
    }

    /// Takes what a peer tells of the last loss of all counts.
    pub(crate) fn hear_counted_since(&self, told: Option<u64>) {
        let Some(told) = told else {
            return;
        };
        let own = self.state.counted_since.get();
        if own.is_none_or(|own| own < told) {
            self.state.counted_since.set(Some(told));
        }
    }

    /// Takes the start of this process as the last loss when no peer tells more.
    pub(crate) fn settle_counted_since(&self) {
        let is_settled = self.state.counted_since.get().is_some();
        if !is_settled && self.now_ms() >= PEERS_TOLD_MS {
            let start = self.state.options.facts.incarnation;
            self.state.counted_since.set(Some(start));
        }
    }

    /// Tells whether all counts were lost so lately that programs live on.
    pub(crate) fn is_count_lost(&self) -> bool {
        match self.state.counted_since.get() {
            Some(0) => false,
            Some(since) => wall_ms().saturating_sub(since) < self.remember_ms(),
            None => true,
        }
    }

    /// Tells whether a VM that died lately may have been a program's home.
    pub(crate) fn has_lost_home(&self, program: ProgramKey) -> bool {
        let now_ms = self.now_ms();
        let memory_ms = self.remember_ms();
        let own_weight = rendezvous_weight(program, self.state.options.facts.key());
        let losses = self.state.losses.borrow();
        losses.iter().any(|(vm, at_ms)| {
            now_ms.saturating_sub(*at_ms) < memory_ms
                && rendezvous_weight(program, *vm) >= own_weight
        })
    }

    /// Tells whether stored ceilings should be read.
    #[must_use]
    pub fn needs_ceilings(&self) -> bool {
        self.state.ceilings_read_ms.get().is_none()
    }

    /// Replaces the stored ceilings of programs' tokens.
    pub fn set_ceilings(&self, ceilings: impl Iterator<Item = (ProgramKey, u64)>) {
        let mut budgets = self.state.budgets.borrow_mut();
        for (program, ceiling) in ceilings {
            budgets.record_ceiling(program, ceiling);
        }
        self.state.ceilings_read_ms.set(Some(self.now_ms()));
    }
}

/// Returns the time of day, in milliseconds since the Unix epoch.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, millis)
}
