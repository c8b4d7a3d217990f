//! Tracking of VM failures that may have lost the token counts of programs.
//!
//! A VM's counts are also known to other VMs, so that they are lost only when most VMs
//! die at once. After such a loss, each program is assumed to have spent its stored
//! ceiling, or the part of its budget that needs no ceiling if none is stored.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use smol::Timer;

use super::caller_request::millis;
use super::state::Gateway;
use crate::decide::{CeilingRead, ProgramKey, ROUND_MS, StoredCeiling, VmKey, VmLoss};

/// Time within which VM failures count as one event, in milliseconds; longer than the
/// silence after which a failure is detected.
const LOSS_WINDOW_MS: u64 = 5_000;
/// Gossip rounds in which copies of accounts are sent after a loss.
const COPY_ROUNDS: u64 = 2;
/// Time after the start within which peers report the last loss of counts, in
/// milliseconds; a few gossip rounds.
const PEER_REPORT_TIMEOUT_MS: u64 = 1_000;
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

    /// Records that a VM has restarted, which loses the counts of its process `earlier`.
    pub(crate) fn record_vm_restart(&self, vm: VmKey, earlier: u64) {
        let now_ms = self.now_ms();
        let vm_count = self.state.members.borrow().count(now_ms).0 + 1;
        let mut losses = self.state.losses.borrow_mut();
        if losses.record_restart(vm, earlier, vm_count, now_ms) {
            self.state.counts_lost_at.set(Some(wall_ms()));
        }
        self.record_uncovered_loss();
    }

    /// Records that a VM is heard whose process started at `incarnation`.
    pub(crate) fn record_vm_start(&self, vm: VmKey, incarnation: u64) {
        let window_ms = self.loss_window_ms();
        let mut losses = self.state.losses.borrow_mut();
        losses.record_start(vm, incarnation, window_ms);
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

    /// Takes over the time of the last loss of all counts from a peer if it is later.
    ///
    /// A loss from after the start of this process is judged by the restarts that it has seen:
    /// a peer that was cut off may take the silence of all others for one.
    pub(crate) fn merge_counts_lost_at(&self, reported: Option<u64>) {
        let start = self.state.options.facts.incarnation;
        let Some(reported) = reported.filter(|reported| *reported < start + LOSS_WINDOW_MS) else {
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
