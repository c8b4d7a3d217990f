//! Distributed rate limits of workspaces.
//!
//! In any window a workspace may send its rate times the window plus its burst.
//! Each VM counts the requests that all VMs admitted in the last window, from its own
//! admissions and the counters that its peers report. In each round (every 250 ms, see
//! `start_round`) it may admit an equal share of one half of the remaining limit. The
//! workspace's home VM grants the other half to VMs that have used up their share, and
//! grants the whole remainder if a share would be below one request. A silent VM is
//! assumed to use somewhat more than the mean of all VMs, at most an equal share of the
//! limit.
//!
//! The design targets workspaces that exceed their rate, and small workspaces in large
//! fleets, whose equal share is below one request. If one call of a program is refused,
//! the program fails and its earlier requests are wasted. Therefore the number of
//! programs started in a window is limited to the window's limit divided by the mean
//! number of requests of a program, while calls of running programs may use the whole
//! limit.

use std::collections::HashMap;

use super::report::{
    AdmissionCounters, ProgramStage, QuotaTolerance, RateRefusal, RefusalCause, WindowReport,
    WorkspaceKey,
};
use super::workspace::{PeerCounters, RoundAllowance, WorkspaceQuota};
use crate::decide::sliding_window::BUCKET_MS;

/// Part of the burst that is reserved for running programs, in percent.
const RUNNING_RESERVE_PERCENT: f64 = 50.0;
/// Part of the tolerated excess that is added to the limit, in percent; the rest covers
/// requests that are delayed on the way to a replica and fall into a later window.
const TOLERANCE_USED_PERCENT: f64 = 50.0;
/// Assumed usage of a silent VM, relative to the mean usage of all VMs.
const SILENT_VM_USAGE_FACTOR: f64 = 1.25;
/// Period after the start of the process, in milliseconds. A workspace first seen in it is
/// assumed to have used its limit before the start, and reports on workspaces without a
/// known rate are kept. Assumed usage has left the window one window after the period.
const STARTUP_PERIOD_MS: u64 = 2_000;
/// Requests that each VM may admit in a round while usage is low; in a large fleet the
/// equal share of a small workspace is below one request.
const LOW_USAGE_ALLOWANCE: f64 = 2.0;
/// Part of the limit below which usage counts as low, in percent.
const LOW_USAGE_PERCENT: f64 = 75.0;
/// Number of VMs that is assumed to share a rate until the number is known; low enough
/// that a VM which has just started can serve.
const DEFAULT_VM_COUNT: u32 = 8;
/// Number of programs that may start in a round, relative to an even distribution over
/// the window; programs that start together need the limit at the same time.
const PROGRAM_START_FACTOR: f64 = 1.2;
/// Window that is used if the deployment doesn't configure one, in milliseconds.
const DEFAULT_WINDOW_MS: u64 = 5_000;

/// Rate limits and usage of all workspaces, as known to one VM.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    quotas: HashMap<WorkspaceKey, WorkspaceQuota>,
    /// Number of VMs that may admit requests, including this one; 0 if not yet known.
    vm_count: u32,
    /// Number of these VMs that are silent.
    silent_count: u32,
    tolerance: QuotaTolerance,
    is_first_start: bool,
    /// Reports that peers sent before this VM knew the rates.
    early_reports: HashMap<WorkspaceKey, WindowReport>,
    /// Counters of each peer incarnation at the time when it first learned of this
    /// process.
    baselines: HashMap<(u64, u64), HashMap<WorkspaceKey, PeerCounters>>,
}

impl QuotaLedger {
    /// Creates a ledger without workspaces.
    ///
    /// `is_first_start` is true if no request was admitted before this start.
    #[must_use]
    pub fn new(tolerance: QuotaTolerance, is_first_start: bool) -> Self {
        Self {
            tolerance,
            is_first_start,
            ..Self::default()
        }
    }

    fn window_ms(&self) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few seconds"
        )]
        let window_ms = (self.tolerance.window_s * 1_000.0) as u64;
        if window_ms == 0 {
            DEFAULT_WINDOW_MS
        } else {
            window_ms
        }
    }

    fn vm_count_or_default(&self) -> u32 {
        if self.vm_count == 0 {
            DEFAULT_VM_COUNT
        } else {
            self.vm_count
        }
    }

    /// Sets the rate in requests per second and the burst of each workspace; removes all
    /// other workspaces.
    pub fn set_rates(
        &mut self,
        rates: impl Iterator<Item = (WorkspaceKey, f64, f64)>,
        now_ms: u64,
    ) {
        let window_ms = self.window_ms();
        let vm_count = self.vm_count_or_default();
        let mut old = std::mem::take(&mut self.quotas);
        for (workspace, rate_per_s, burst) in rates {
            let known = old.remove(&workspace);
            let is_new = known.is_none();
            let mut quota = known.unwrap_or_default();
            #[expect(clippy::cast_precision_loss, reason = "a few seconds")]
            let limit = rate_per_s * window_ms as f64 / 1_000.0 + burst;
            let tolerated_excess = self.tolerance.slack + self.tolerance.excess * limit;
            quota.rate_per_s = rate_per_s;
            quota.burst = burst.max(1.0);
            quota.limit = limit.max(1.0) + tolerated_excess * TOLERANCE_USED_PERCENT / 100.0;
            if is_new && !self.is_first_start && now_ms < STARTUP_PERIOD_MS {
                match self.early_reports.remove(&workspace) {
                    Some(report) => quota.apply_report(&report, now_ms),
                    None => quota.assume_full_usage(tolerated_excess, now_ms, window_ms),
                }
            }
            if is_new {
                // The home allowance stays 0 until the next round, since the other VMs may
                // not be known yet.
                let remaining = (quota.limit - quota.request_window.total).max(0.0);
                quota.request_allowance.own = remaining / f64::from(vm_count);
                quota.program_allowance.own = f64::MAX;
            }
            self.quotas.insert(workspace, quota);
        }
    }

    /// Sets the number of VMs that share the rates and how many of them are silent.
    pub fn set_vm_counts(&mut self, vm_count: u32, silent: u32) {
        self.vm_count = vm_count.max(1);
        self.silent_count = silent.min(vm_count.saturating_sub(1));
    }

    /// Admits a request from this VM's share.
    ///
    /// Returns `false` if the share is used up and the home VM must be asked.
    pub fn admit(&mut self, workspace: WorkspaceKey, stage: ProgramStage, now_ms: u64) -> bool {
        let vm_count = f64::from(self.vm_count_or_default());
        let Some(quota) = self.quotas.get_mut(&workspace) else {
            return true;
        };
        if quota.rate_per_s <= 0.0 {
            return true;
        }
        let reserve = match stage {
            ProgramStage::Begins => quota.burst * RUNNING_RESERVE_PERCENT / 100.0 / vm_count,
            ProgramStage::UnderWay => 0.0,
        };
        if quota.request_allowance.own < 1.0 + reserve {
            return false;
        }
        if stage == ProgramStage::Begins {
            if quota.program_allowance.own < 1.0 {
                return false;
            }
            quota.program_allowance.own -= 1.0;
        }
        quota.request_allowance.own -= 1.0;
        quota.record_admission(stage, now_ms);
        true
    }

    /// Admits a request as the workspace's home VM.
    ///
    /// # Errors
    ///
    /// Fails if the workspace is over its rate.
    pub fn admit_as_home(
        &mut self,
        workspace: WorkspaceKey,
        stage: ProgramStage,
        now_ms: u64,
    ) -> Result<(), RateRefusal> {
        let window_ms = self.window_ms();
        let Some(quota) = self.quotas.get_mut(&workspace) else {
            return Ok(());
        };
        if quota.rate_per_s <= 0.0 {
            return Ok(());
        }
        let reserve = match stage {
            ProgramStage::Begins => quota.burst * RUNNING_RESERVE_PERCENT / 100.0,
            ProgramStage::UnderWay => 0.0,
        };
        let missing = 1.0 + reserve - quota.request_allowance.home;
        if missing > 0.0 {
            return Err(quota.refuse(RefusalCause::Requests, missing, now_ms, window_ms));
        }
        if stage == ProgramStage::Begins {
            let missing = 1.0 - quota.program_allowance.home;
            if missing > 0.0 {
                return Err(quota.refuse(RefusalCause::Programs, missing, now_ms, window_ms));
            }
            quota.program_allowance.home -= 1.0;
        }
        quota.request_allowance.home -= 1.0;
        quota.record_admission(stage, now_ms);
        Ok(())
    }

    /// Returns the usage of all VMs in the last window, except where it is assumed.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Vec<WindowReport> {
        let window_ms = self.window_ms();
        let known = self
            .quotas
            .iter()
            .filter(|(_, quota)| !quota.is_assumed && quota.request_window.total > 0.0);
        let reports = known.map(|(workspace, quota)| WindowReport {
            workspace: *workspace,
            requests: quota.request_window.bucket_counts(now_ms, window_ms),
            programs: quota.program_window.bucket_counts(now_ms, window_ms),
        });
        reports.collect()
    }

    /// Replaces assumed usage by the usage that a peer reported.
    pub fn apply_snapshot(&mut self, snapshot: &[WindowReport], now_ms: u64) {
        let vm_count = f64::from(self.vm_count_or_default());
        for report in snapshot {
            let Some(quota) = self.quotas.get_mut(&report.workspace) else {
                if now_ms < STARTUP_PERIOD_MS {
                    self.early_reports.insert(report.workspace, report.clone());
                }
                continue;
            };
            if std::mem::take(&mut quota.is_assumed) {
                quota.apply_report(report, now_ms);
                let remaining = (quota.limit - quota.request_window.total).max(0.0);
                quota.request_allowance.own = remaining / vm_count;
            }
        }
    }

    /// Sets the counters that a peer had when it first learned of this process; they are
    /// already part of the window that was reported or assumed.
    ///
    /// `counters` contains every workspace of which the peer has admitted a request.
    pub fn set_baseline(&mut self, peer: u64, incarnation: u64, counters: &[AdmissionCounters]) {
        let baseline = counters.iter().map(|report| {
            let counters = PeerCounters {
                admitted: report.admitted,
                programs_started: report.programs_started,
            };
            (report.workspace, counters)
        });
        self.baselines
            .insert((peer, incarnation), baseline.collect());
    }

    /// Adds the increase of a peer's counters to the windows.
    ///
    /// `peer` and `incarnation` identify one run of the peer's process. If `is_older` is
    /// true, it started before this process, and only the excess over its baseline counts;
    /// without a baseline, the first counters reported for a workspace become its baseline.
    pub fn record_peer_counters(
        &mut self,
        peer: u64,
        incarnation: u64,
        is_older: bool,
        reports: &[AdmissionCounters],
        now_ms: u64,
    ) {
        for report in reports {
            let Some(quota) = self.quotas.get_mut(&report.workspace) else {
                continue;
            };
            let reported = PeerCounters {
                admitted: report.admitted,
                programs_started: report.programs_started,
            };
            let baseline = match self.baselines.get(&(peer, incarnation)) {
                _ if !is_older => PeerCounters::default(),
                Some(baseline) => baseline.get(&report.workspace).copied().unwrap_or_default(),
                None => reported,
            };
            let counted = quota
                .peer_counters
                .entry((peer, incarnation))
                .or_insert(baseline);
            let requests = reported.admitted.saturating_sub(counted.admitted);
            let programs = reported
                .programs_started
                .saturating_sub(counted.programs_started);
            counted.admitted += requests;
            counted.programs_started += programs;
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            if requests > 0 {
                quota.request_window.add(requests as f64, now_ms);
                quota.program_window.add(programs as f64, now_ms);
            }
        }
    }

    /// Starts a round: divides the remaining limit of each workspace again.
    pub fn start_round(&mut self, now_ms: u64) {
        let vm_count = f64::from(self.vm_count.max(1));
        let silent = f64::from(self.silent_count);
        let window_ms = self.window_ms();
        for quota in self.quotas.values_mut() {
            quota.request_window.expire(now_ms, window_ms);
            quota.is_assumed &= now_ms < window_ms + STARTUP_PERIOD_MS;
            let used = quota.request_window.total;
            // A silent VM has usually failed, but a partitioned one keeps admitting requests.
            let assumed_usage = used * SILENT_VM_USAGE_FACTOR / vm_count;
            let silent_usage = silent * assumed_usage.min(quota.limit / vm_count);
            let remaining = (quota.limit - silent_usage - used).max(0.0);
            let live = (vm_count - silent).max(1.0);
            quota.request_allowance = RoundAllowance::divide(remaining, live);
            if used + silent_usage < quota.limit * LOW_USAGE_PERCENT / 100.0 {
                let own = &mut quota.request_allowance.own;
                *own = own.max(LOW_USAGE_ALLOWANCE.min(remaining));
            }
            quota.program_window.expire(now_ms, window_ms);
            let programs_started = quota.program_window.total;
            quota.program_allowance = quota.max_program_starts().map_or(
                RoundAllowance {
                    own: f64::MAX,
                    home: f64::MAX,
                },
                |max_starts| {
                    #[expect(clippy::cast_precision_loss, reason = "a few buckets")]
                    let round_limit =
                        max_starts * PROGRAM_START_FACTOR * BUCKET_MS as f64 / window_ms as f64;
                    let remaining = (max_starts - programs_started).max(0.0);
                    RoundAllowance::divide(remaining.min(round_limit.max(1.0)), live)
                },
            );
        }
    }

    /// Returns this VM's counters of the workspaces for which it has admitted a request
    /// since `since_ms`.
    #[must_use]
    pub fn reports(&self, since_ms: u64) -> Vec<AdmissionCounters> {
        let active = self
            .quotas
            .iter()
            .filter(|(_, quota)| quota.admitted > 0 && quota.last_admitted_ms >= since_ms);
        active
            .map(|(workspace, quota)| AdmissionCounters {
                workspace: *workspace,
                admitted: quota.admitted,
                programs_started: quota.programs_started,
            })
            .collect()
    }
}
