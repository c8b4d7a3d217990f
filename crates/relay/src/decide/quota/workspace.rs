//! Rate limit and usage of one workspace.

use std::collections::{HashMap, VecDeque};

use super::report::{ProgramStage, RateRefusal, RefusalCause, WindowReport};
use crate::decide::members::HOMES_MAX;
use crate::decide::sliding_window::{BUCKET_MS, SlidingWindow, ceil_to_u64};

/// Part of the tolerated excess that may be used immediately after a restart of all VMs,
/// in percent; together with [`TOLERANCE_USED_PERCENT`] it stays within the tolerated excess.
const RESTART_EXCESS_PERCENT: f64 = 25.0;
/// Part of the remaining limit that the VMs share equally, in percent; the home VM
/// grants the rest.
const EQUAL_SHARE_PERCENT: f64 = 50.0;
/// Part of the homes' allowance that a home may grant in a round, by its rank, in percent.
/// VMs may differ in who is the home, so the ranks divide the allowance.
const HOME_GRANT_PERCENT: [f64; HOMES_MAX] = [70.0, 20.0, 10.0];
/// Assumed usage of a silent VM, relative to the mean usage of all VMs.
const SILENT_VM_USAGE_FACTOR: f64 = 1.25;
/// Part of the VMs below which the live ones are taken for cut off from the others, in
/// percent; it is unlikely that so many have failed at once.
const CUT_OFF_PERCENT: f64 = 25.0;
/// Number of programs that may start in a round, relative to an even distribution over
/// the window; programs that start together need the limit at the same time.
const PROGRAM_START_FACTOR: f64 = 1.2;
/// Programs started before the last window that are needed to estimate the mean number
/// of requests of a program.
const MIN_PROGRAM_SAMPLES: f64 = 20.0;
/// Maximum number of scheduled retries that are tracked for a workspace.
const MAX_PENDING_RETRIES: usize = 1_000;

/// Requests or programs that may be admitted in a round.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoundAllowance {
    /// Admitted by this VM on its own.
    pub(super) own: f64,
    /// Granted by the homes to VMs that have used up their share.
    pub(super) home: f64,
}

impl RoundAllowance {
    /// Divides the remaining limit between `vm_count` VMs, over `rounds`, and the homes.
    fn divide(remaining: f64, vm_count: f64, rounds: f64) -> Self {
        let shared = remaining * EQUAL_SHARE_PERCENT / 100.0;
        let own = shared / vm_count / rounds;
        if own < 1.0 {
            return Self {
                own: 0.0,
                home: remaining,
            };
        }
        Self {
            own,
            home: remaining - shared,
        }
    }
}

/// VMs that share the limits.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetSize {
    /// Number of VMs, including this one.
    pub(super) vm_count: f64,
    /// Number of these VMs that are silent.
    pub(super) silent_count: f64,
    /// Rounds after which this VM has heard of the admissions of all others.
    pub(super) rounds_per_pass: f64,
}

impl FleetSize {
    /// Returns the number of VMs that are not silent, including this one.
    fn live_count(self) -> f64 {
        (self.vm_count - self.silent_count).max(1.0)
    }

    /// Returns whether this VM is probably cut off from most others, which go on admitting.
    fn is_cut_off(self) -> bool {
        self.live_count() < self.vm_count * CUT_OFF_PERCENT / 100.0
    }

    /// Returns the rounds over which a VM's share is spread.
    ///
    /// Within a pass the VMs admit from the same counts, and up to the end of the next one
    /// from counts of the pass before.
    fn share_rounds(self) -> f64 {
        2.0 * self.rounds_per_pass
    }
}

/// Rate limit of one workspace, and its requests and programs admitted by all VMs.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkspaceQuota {
    pub(super) rate_per_s: f64,
    pub(super) burst: f64,
    /// Requests allowed in a window, including the usable part of the tolerated excess.
    pub(super) limit: f64,
    /// Requests admitted by all VMs.
    pub(super) request_window: SlidingWindow,
    /// Requests admitted by this VM.
    pub(super) own_window: SlidingWindow,
    /// Programs started on all VMs.
    pub(super) program_window: SlidingWindow,
    /// Usage of silent VMs that is assumed in this round.
    pub(super) silent_usage: f64,
    /// Requests that this VM may still admit on its own in this round.
    pub(super) own_share: f64,
    /// Part of what is left that the homes grant in this round, from 0 to 1.
    pub(super) home_part: f64,
    /// Requests that this VM may still grant as home in this round, by its rank.
    pub(super) home_grants: [f64; HOMES_MAX],
    /// Programs that may still start in this round.
    pub(super) program_allowance: RoundAllowance,
    /// Requests that this VM has admitted since its start.
    pub(super) admitted: u64,
    /// The same at the last report to other VMs.
    pub(super) reported: u64,
    /// Requests beyond `reported` from which the homes are told before the next round.
    pub(super) max_unreported: f64,
    /// Programs that this VM has started since its start.
    pub(super) programs_started: u64,
    pub(super) last_admitted_ms: u64,
    /// When a version first lacked the workspace; `None` if the version in force has it.
    pub(super) withdrawn_ms: Option<u64>,
    /// Usage before the start of the process is assumed, not known.
    pub(super) is_assumed: bool,
    /// Counters of the other VMs, by VM and incarnation.
    pub(super) peer_counters: HashMap<(u64, u64), PeerCounters>,
    /// Times at which refused callers were told to retry.
    pub(super) pending_retries: VecDeque<u64>,
}

/// Counters of a VM since the start of its process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerCounters {
    pub(super) admitted: u64,
    pub(super) programs_started: u64,
}

impl WorkspaceQuota {
    /// Assumes that the workspace used its limit before the start of the process, except
    /// for a part of the tolerated excess.
    pub(super) fn assume_full_usage(&mut self, tolerated_excess: f64, now_ms: u64, window_ms: u64) {
        let free = tolerated_excess * RESTART_EXCESS_PERCENT / 100.0;
        self.request_window
            .fill_evenly((self.limit - free).max(0.0), now_ms, window_ms);
        self.is_assumed = true;
    }

    /// Returns the requests that the window has left, as known to this VM.
    pub(super) fn remaining(&self) -> f64 {
        (self.limit - self.silent_usage - self.request_window.total).max(0.0)
    }

    /// Divides the remaining limit between the VMs for one round.
    pub(super) fn start_round(&mut self, fleet: FleetSize, now_ms: u64, window_ms: u64) {
        self.reported = self.admitted;
        self.request_window.expire(now_ms, window_ms);
        self.own_window.expire(now_ms, window_ms);
        self.program_window.expire(now_ms, window_ms);
        // A silent VM has usually failed, but a partitioned one keeps admitting requests.
        let mean_usage = self.request_window.total / fleet.vm_count;
        let assumed_usage = mean_usage * SILENT_VM_USAGE_FACTOR;
        self.silent_usage = fleet.silent_count * assumed_usage.min(self.limit / fleet.vm_count);
        let live = fleet.live_count();
        let allowance = RoundAllowance::divide(self.remaining(), live, fleet.share_rounds());
        self.own_share = allowance.own;
        self.home_part = if allowance.own > 0.0 {
            1.0 - EQUAL_SHARE_PERCENT / 100.0
        } else {
            1.0
        };
        self.home_grants = HOME_GRANT_PERCENT.map(|percent| {
            let grants = allowance.home * percent / 100.0;
            grants.max(allowance.home.min(1.0))
        });
        if fleet.is_cut_off() {
            // Each VM keeps to an equal share, whatever the others that are cut off use.
            self.silent_usage = 0.0;
            self.own_share = (self.limit / fleet.vm_count - self.own_window.total).max(0.0);
            self.home_part = 0.0;
            self.home_grants = [0.0; HOMES_MAX];
        }
        let unlimited = RoundAllowance {
            own: f64::MAX,
            home: f64::MAX,
        };
        let max_starts = self.max_program_starts();
        self.program_allowance = max_starts.map_or(unlimited, |max_starts| {
            #[expect(clippy::cast_precision_loss, reason = "a few buckets")]
            let round_limit =
                max_starts * PROGRAM_START_FACTOR * BUCKET_MS as f64 / window_ms as f64;
            let remaining = (max_starts - self.program_window.total).max(0.0);
            RoundAllowance::divide(remaining.min(round_limit.max(1.0)), live, 1.0)
        });
    }

    /// Adds the requests that have left the window since the start of the round to the grants
    /// of the homes.
    pub(super) fn renew_grants(&mut self, now_ms: u64, window_ms: u64) {
        let freed = self.request_window.expire(now_ms, window_ms) * self.home_part;
        for (grants, percent) in self.home_grants.iter_mut().zip(HOME_GRANT_PERCENT) {
            *grants += freed * percent / 100.0;
        }
    }

    /// Replaces the counts of the last window by those that a peer reported.
    pub(super) fn apply_report(&mut self, report: &WindowReport, now_ms: u64) {
        self.request_window
            .set_bucket_counts(&report.requests, now_ms);
        self.program_window
            .set_bucket_counts(&report.programs, now_ms);
    }

    pub(super) fn record_admission(&mut self, stage: ProgramStage, now_ms: u64) {
        self.admitted += 1;
        self.last_admitted_ms = now_ms;
        self.request_window.add(1.0, now_ms);
        self.own_window.add(1.0, now_ms);
        if stage == ProgramStage::Begins {
            self.programs_started += 1;
            self.program_window.add(1.0, now_ms);
        }
    }

    /// Returns how many programs may start in a window; `None` while their mean number
    /// of requests is unknown.
    ///
    /// Programs started in the last window are assumed to have sent half of their
    /// requests and count half.
    pub(super) fn max_program_starts(&self) -> Option<f64> {
        let peers = self.peer_counters.values();
        let totals = peers.fold(
            (self.admitted, self.programs_started),
            |(admitted, programs_started), peer| {
                (
                    admitted + peer.admitted,
                    programs_started + peer.programs_started,
                )
            },
        );
        #[expect(clippy::cast_precision_loss, reason = "counts below 2^53")]
        let (admitted, programs_started) = (totals.0 as f64, totals.1 as f64);
        let recent = self.program_window.total;
        let counted_programs = programs_started - recent / 2.0;
        let max_starts = self.limit * counted_programs / admitted.max(counted_programs);
        // If the limit is below the requests of one program, one may still start in
        // each window.
        (programs_started - recent >= MIN_PROGRAM_SAMPLES).then(|| max_starts.max(1.0))
    }

    /// Refuses a request that needs `missing` more requests or programs than remain.
    ///
    /// The retry time is the time until enough requests or programs leave the window for
    /// this caller and all that still wait to retry.
    pub(super) fn refuse(
        &mut self,
        cause: RefusalCause,
        missing: f64,
        now_ms: u64,
        window_ms: u64,
    ) -> RateRefusal {
        while self
            .pending_retries
            .front()
            .is_some_and(|at_ms| *at_ms <= now_ms)
        {
            self.pending_retries.pop_front();
        }
        let limit = match cause {
            RefusalCause::Programs => self.max_program_starts().unwrap_or(self.limit),
            RefusalCause::Requests | RefusalCause::SilentHome => self.limit,
        };
        let counter = match cause {
            RefusalCause::Programs => &self.program_window,
            RefusalCause::Requests | RefusalCause::SilentHome => &self.request_window,
        };
        #[expect(clippy::cast_precision_loss, reason = "at most MAX_PENDING_RETRIES")]
        let needed = missing + self.pending_retries.len() as f64;
        let wait_ms = counter.time_to_free(needed, now_ms, window_ms);
        let after_ms = wait_ms.clamp(BUCKET_MS / 2, window_ms);
        let refusal = RateRefusal {
            cause,
            used: ceil_to_u64(counter.total),
            limit: ceil_to_u64(limit),
            after_ms,
        };
        if self.pending_retries.len() < MAX_PENDING_RETRIES {
            self.pending_retries.push_back(now_ms + after_ms);
        }
        refusal
    }
}
