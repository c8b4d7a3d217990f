//! Tracking of VM failures that may have lost the token counts of programs.
//!
//! A VM's counts are also known to other VMs, so that they are lost only when most VMs
//! die at once. After such a loss, each program is assumed to have spent its stored
//! ceiling, or the part of its budget that needs no ceiling if none is stored.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use smol::Timer;

use super::caller_request::millis;
use super::state::Gateway;
use crate::decide::{
    CeilingRead, NewProcess, PEER_REPORT_TIMEOUT_MS, ProgramKey, ROUND_MS, StoredCeiling, VmKey,
    VmLoss,
};

/// Gossip rounds in which copies of accounts are sent after a loss.
const COPY_ROUNDS: u64 = 2;
/// Time for which a decision waits for a read of the stored ceilings; shorter than the time in
/// which a home decides, and longer than further losses are awaited before a read.
const CEILINGS_WAIT: Duration = Duration::from_millis(400);
/// Interval at which a decision checks whether the read has ended.
const CEILINGS_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Gateway {
    /// Records that a VM is silent; its process may still run.
    pub(crate) fn record_vm_silence(&self, loss: VmLoss) {
        self.state.losses.borrow_mut().record(loss);
        self.record_uncovered_loss();
    }

    /// Records that a process is registered, or heard again, that was not known or was silent.
    pub(crate) fn record_new_process(&self, process: NewProcess) {
        let now_ms = self.now_ms();
        let vm_count = self.state.members.borrow().count(now_ms).0 + 1;
        let window_ms = self.loss_window_ms();
        let mut losses = self.state.losses.borrow_mut();
        losses.record_start(process.vm, process.incarnation, window_ms);
        let earlier = process.earlier;
        if let Some(earlier) = earlier.filter(|earlier| *earlier < process.incarnation) {
            losses.record_restart(process.vm, earlier, vm_count, (now_ms, wall_ms()));
            self.record_uncovered_loss();
            self.state.runs.borrow_mut().end_all(process.vm);
        }
        self.state.are_copies_due.set(true);
    }

    /// Records that this VM was absent if it hears a process again after it had heard none of
    /// those that it knows.
    pub(crate) fn record_own_absence(&self, vm: VmKey, incarnation: u64) {
        let now_ms = self.now_ms();
        let was_absent = {
            let members = self.state.members.borrow();
            let (known, silent) = members.count(now_ms);
            known == silent && members.incarnation(vm) == Some(incarnation)
        };
        if was_absent {
            self.state.losses.borrow_mut().record_absence(now_ms);
            self.record_uncovered_loss();
        }
    }

    /// Returns the losses of VMs that programs may remember.
    pub(crate) fn recent_losses(&self) -> Vec<VmLoss> {
        let retention_ms = self.program_retention_ms();
        let mut losses = self.state.losses.borrow_mut();
        losses.recent(retention_ms, self.now_ms())
    }

    /// Returns the time within which losses of VMs count as one: until a loss is detected and
    /// copies are sent to other VMs, in milliseconds.
    pub(crate) fn loss_window_ms(&self) -> u64 {
        self.state.members.borrow().silent_after_ms() + COPY_ROUNDS * ROUND_MS
    }

    /// Returns whether the other VMs are known, so that one of them that acts as home of a
    /// program can be asked.
    pub(crate) fn knows_fleet(&self) -> bool {
        let has_heard = !self.state.members.borrow().is_empty();
        self.state.options.is_first_start
            || self.state.has_registrations.get()
            || (has_heard && self.now_ms() >= PEER_REPORT_TIMEOUT_MS)
    }

    /// Returns whether programs from before the last loss of all counts may still run.
    pub(crate) fn has_recent_count_loss(&self) -> bool {
        let losses = self.state.losses.borrow();
        losses.has_recent_count_loss(self.program_retention_ms(), wall_ms())
    }

    fn record_uncovered_loss(&self) {
        let now_ms = self.now_ms();
        self.state.ceiling_reads.borrow_mut().record_loss(now_ms);
    }

    /// Returns whether the stored ceilings have not been read since the last loss of a VM or
    /// the start of this one.
    pub(crate) fn needs_ceilings(&self) -> bool {
        self.state.ceiling_reads.borrow().is_needed()
    }

    /// Requests a read of the stored ceilings, since this VM has to act as home of a program
    /// whose counts may be lost.
    fn request_ceilings(&self) {
        self.state.ceiling_reads.borrow_mut().request();
    }

    /// Waits for a read of the stored ceilings that covers all losses detected so far, for a
    /// limited time.
    pub(crate) async fn await_ceilings(&self) {
        let started = Instant::now();
        while self.needs_ceilings()
            && !self.is_store_unavailable()
            && started.elapsed() < CEILINGS_WAIT
        {
            // A read that starts now may not cover a loss that is detected during it.
            self.request_ceilings();
            Timer::after(CEILINGS_POLL_INTERVAL).await;
        }
    }

    /// Starts a read of the stored ceilings if one is due.
    #[must_use]
    pub fn start_ceiling_read(&self) -> Option<CeilingRead> {
        let now_ms = self.now_ms();
        self.state.ceiling_reads.borrow_mut().start(now_ms)
    }

    /// Records that a read of the stored ceilings has failed.
    pub fn record_failed_read(&self, read: CeilingRead) {
        self.state.ceiling_reads.borrow_mut().fail(read);
    }

    /// Records the stored token ceilings of programs, which `read` has returned.
    pub fn record_stored_ceilings(
        &self,
        read: CeilingRead,
        ceilings: impl Iterator<Item = (ProgramKey, StoredCeiling)>,
    ) {
        let mut budgets = self.state.budgets.borrow_mut();
        for (program, ceiling) in ceilings {
            budgets.record_ceiling(program, ceiling);
        }
        self.state.ceiling_reads.borrow_mut().complete(read);
    }
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, millis)
}
