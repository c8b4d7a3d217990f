//! Tracking of VM failures that may have lost the token counts of programs.
//!
//! A VM's counts are also known to other VMs, so that they are lost only when most VMs
//! die at once. After such a loss, each program is assumed to have spent its stored
//! ceiling, or the part of its budget that needs no ceiling if none is stored.

use std::time::{SystemTime, UNIX_EPOCH};

use super::caller_request::millis;
use super::state::Gateway;
use crate::decide::{ProgramKey, VmKey, rendezvous_weight};

/// Time within which VM failures count as one event, in milliseconds; longer than the
/// silence after which a failure is detected.
const LOSS_WINDOW_MS: u64 = 5_000;
/// Time after the start within which peers report the last loss of counts, in
/// milliseconds; a few gossip rounds.
const PEER_REPORT_TIMEOUT_MS: u64 = 1_000;

impl Gateway {
    /// Records that a VM has died or restarted, which loses its own counts.
    pub(crate) fn record_vm_loss(&self, vm: VmKey) {
        let now_ms = self.now_ms();
        let vm_count = self.state.members.borrow().count(now_ms).0 + 1;
        let mut lost_vms = self.state.lost_vms.borrow_mut();
        let retention_ms = self.program_retention_ms();
        lost_vms
            .retain(|(lost, at_ms)| *lost != vm && now_ms.saturating_sub(*at_ms) < retention_ms);
        lost_vms.push((vm, now_ms));
        let recent = lost_vms
            .iter()
            .filter(|(_, at_ms)| now_ms.saturating_sub(*at_ms) < LOSS_WINDOW_MS);
        // The counts of a few dead VMs are known to others; those of three quarters are not.
        if recent.count() * 4 >= vm_count * 3 {
            self.state.counts_lost_at.set(Some(wall_ms()));
        }
        drop(lost_vms);
        self.state.ceilings_read_at_ms.set(None);
    }

    /// Takes over the time of the last loss of all counts from a peer if it is later.
    pub(crate) fn merge_counts_lost_at(&self, reported: Option<u64>) {
        let Some(reported) = reported else {
            return;
        };
        let own = self.state.counts_lost_at.get();
        if own.is_none_or(|own| own < reported) {
            self.state.counts_lost_at.set(Some(reported));
        }
    }

    /// Sets the last loss of all counts to the start of this process if no peer has
    /// reported one in time.
    pub(crate) fn init_counts_lost_at(&self) {
        let is_known = self.state.counts_lost_at.get().is_some();
        if !is_known && self.now_ms() >= PEER_REPORT_TIMEOUT_MS {
            let start = self.state.options.facts.incarnation;
            self.state.counts_lost_at.set(Some(start));
        }
    }

    /// Returns whether programs from before the last loss of all counts may still run.
    pub(crate) fn has_recent_count_loss(&self) -> bool {
        match self.state.counts_lost_at.get() {
            Some(0) => false,
            Some(since) => wall_ms().saturating_sub(since) < self.program_retention_ms(),
            None => true,
        }
    }

    /// Returns whether a VM that died recently may have been a program's home.
    pub(crate) fn may_have_lost_home(&self, program: ProgramKey) -> bool {
        let now_ms = self.now_ms();
        let retention_ms = self.program_retention_ms();
        let own_weight = rendezvous_weight(program, self.state.options.facts.key());
        let lost_vms = self.state.lost_vms.borrow();
        lost_vms.iter().any(|(vm, at_ms)| {
            now_ms.saturating_sub(*at_ms) < retention_ms
                && rendezvous_weight(program, *vm) >= own_weight
        })
    }

    /// Returns whether the stored ceilings have to be read, which is the case after a
    /// restart and after each failure of a VM.
    #[must_use]
    pub fn needs_ceilings(&self) -> bool {
        self.state.ceilings_read_at_ms.get().is_none()
    }

    /// Records the stored token ceilings of programs, and that they have been read.
    pub fn record_stored_ceilings(&self, ceilings: impl Iterator<Item = (ProgramKey, u64)>) {
        let mut budgets = self.state.budgets.borrow_mut();
        for (program, ceiling) in ceilings {
            budgets.record_ceiling(program, ceiling);
        }
        self.state.ceilings_read_at_ms.set(Some(self.now_ms()));
    }
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, millis)
}
