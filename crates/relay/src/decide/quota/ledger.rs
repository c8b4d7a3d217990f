//! Distributed rate limits of workspaces.
//!
//! In any window a workspace may send its rate times the window plus its burst.
//! Each VM counts the requests that all VMs admitted in the last window, from its own
//! admissions and the counters that its peers report.
//!
//! What a VM knows of the others is older the more VMs there are, since a gossip round
//! reaches a part of them (see `rotation`). Therefore the workspace's homes, the first
//! VMs by rendezvous weight, get the counters of each VM that admits its requests in every
//! round. In each round (every 250 ms, see `start_round`) the first home grants a part of
//! what is left, and the others less, which the VMs ask while the first does not answer. If
//! an equal share of one half, spread over two passes, is at least one request, each VM
//! admits that many without asking. A silent VM is assumed to use somewhat more than the
//! mean of all VMs, at most an equal share of the limit; a VM to which most others are
//! silent is taken for cut off and keeps to an equal share.
//!
//! If one call of a program is refused, the program fails and its earlier requests are
//! wasted. Therefore the number of programs started in a window is limited to the window's
//! limit divided by the mean number of requests of a program, while calls of running
//! programs may use the whole limit.

use std::collections::HashMap;

use super::report::{
    AdmissionCounters, ProgramStage, QuotaTolerance, RateRefusal, RefusalCause, WindowReport,
    WorkspaceKey,
};
use super::workspace::{FleetSize, PeerCounters, RoundAllowance, WorkspaceQuota};
use crate::decide::members::HOMES_MAX;
use crate::decide::rotation::rounds_per_pass;

/// Part of the burst that is reserved for running programs, in percent.
const RUNNING_RESERVE_PERCENT: f64 = 50.0;
/// Part of the tolerated excess that is added to the limit, in percent; the rest covers
/// requests that are delayed on the way to a replica and fall into a later window.
const TOLERANCE_USED_PERCENT: f64 = 50.0;
/// Part of the tolerated excess up to which the home grants requests without telling the other
/// homes, in percent; that many are forgotten if it fails.
const UNREPORTED_PERCENT: f64 = 25.0;
/// Period after the start of the process, in milliseconds. A workspace first seen in it is
/// assumed to have used its limit before the start, and reports on workspaces without a
/// known rate are kept. Assumed usage has left the window one window after the period.
const STARTUP_PERIOD_MS: u64 = 2_000;
/// Maximum number of workspaces whose counts are kept though the version in force lacks them.
const WITHDRAWN_MAX: usize = 4_000;
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

    /// Returns the number of VMs that share the limits; `None` if it is not yet known.
    fn fleet_size(&self) -> Option<FleetSize> {
        let peers = usize::try_from(self.vm_count).ok()?.checked_sub(1)?;
        Some(FleetSize {
            vm_count: f64::from(self.vm_count),
            silent_count: f64::from(self.silent_count),
            rounds_per_pass: f64::from(rounds_per_pass(peers)),
        })
    }

    /// Returns whether the number of VMs is known; requests are refused until then.
    #[must_use]
    pub fn knows_fleet(&self) -> bool {
        self.vm_count > 0
    }

    /// Sets the rate in requests per second and the burst of each workspace.
    ///
    /// Workspaces that are missing keep their counts and their rate: the next version may have them
    /// again within a window, and VMs that do not know this one yet still admit their requests.
    pub fn set_rates(
        &mut self,
        rates: impl Iterator<Item = (WorkspaceKey, f64, f64)>,
        now_ms: u64,
    ) {
        let window_ms = self.window_ms();
        let fleet = self.fleet_size();
        let mut old = std::mem::take(&mut self.quotas);
        for (workspace, rate_per_s, burst) in rates {
            let known = old.remove(&workspace);
            let is_new = known.is_none();
            let mut quota = known.unwrap_or_default();
            quota.withdrawn_ms = None;
            #[expect(clippy::cast_precision_loss, reason = "a few seconds")]
            let limit = rate_per_s * window_ms as f64 / 1_000.0 + burst;
            let tolerated_excess = self.tolerance.slack + self.tolerance.excess * limit;
            quota.max_unreported = tolerated_excess * UNREPORTED_PERCENT / 100.0;
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
                quota.program_allowance = RoundAllowance {
                    own: f64::MAX,
                    home: f64::MAX,
                };
                if let Some(fleet) = fleet {
                    quota.start_round(fleet, now_ms, window_ms);
                }
            }
            self.quotas.insert(workspace, quota);
        }
        self.withdraw(old, now_ms);
    }

    /// Keeps the counts of workspaces that a version lacks, those that were withdrawn last.
    fn withdraw(&mut self, missing: HashMap<WorkspaceKey, WorkspaceQuota>, now_ms: u64) {
        let mut missing: Vec<_> = missing.into_iter().collect();
        for (_, quota) in &mut missing {
            quota.withdrawn_ms.get_or_insert(now_ms);
        }
        missing.sort_by_key(|(_, quota)| std::cmp::Reverse(quota.withdrawn_ms));
        missing.truncate(WITHDRAWN_MAX);
        self.quotas.extend(missing);
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
        let vm_count = f64::from(self.vm_count.max(1));
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
        if quota.own_share.min(quota.remaining()) < 1.0 + reserve {
            return false;
        }
        if stage == ProgramStage::Begins {
            if quota.program_allowance.own < 1.0 {
                return false;
            }
            quota.program_allowance.own -= 1.0;
        }
        quota.own_share -= 1.0;
        quota.record_admission(stage, now_ms);
        true
    }

    /// Admits a request as a home of the workspace; `rank` is this VM's rank among the homes
    /// in the view of the VM that asks.
    ///
    /// # Errors
    ///
    /// Fails if the workspace is over its rate, or if the grants of this round are used up.
    pub fn admit_as_home(
        &mut self,
        workspace: WorkspaceKey,
        stage: ProgramStage,
        rank: usize,
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
        let rank = rank.min(HOMES_MAX - 1);
        quota.renew_grants(now_ms, window_ms);
        let missing = 1.0 + reserve - quota.remaining();
        if missing > 0.0 || quota.home_grants[rank] < 1.0 {
            return Err(quota.refuse(RefusalCause::Requests, missing, now_ms, window_ms));
        }
        if stage == ProgramStage::Begins {
            let missing = 1.0 - quota.program_allowance.home;
            if missing > 0.0 {
                return Err(quota.refuse(RefusalCause::Programs, missing, now_ms, window_ms));
            }
            quota.program_allowance.home -= 1.0;
        }
        quota.home_grants[rank] -= 1.0;
        quota.record_admission(stage, now_ms);
        Ok(())
    }

    /// Returns this VM's counters of a workspace if they have to be sent to the other homes
    /// before the next round.
    pub fn take_early_report(&mut self, workspace: WorkspaceKey) -> Option<AdmissionCounters> {
        let quota = self.quotas.get_mut(&workspace)?;
        #[expect(clippy::cast_precision_loss, reason = "a few requests")]
        let unreported = (quota.admitted - quota.reported) as f64;
        if unreported < quota.max_unreported.max(1.0) {
            return None;
        }
        quota.reported = quota.admitted;
        Some(AdmissionCounters {
            workspace,
            admitted: quota.admitted,
            programs_started: quota.programs_started,
        })
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

    /// Replaces assumed usage by the usage that a peer reported, and soon after the start of
    /// the process also a usage that is lower, since peers don't know of all admissions.
    pub fn apply_snapshot(&mut self, snapshot: &[WindowReport], now_ms: u64) {
        let (fleet, window_ms) = (self.fleet_size(), self.window_ms());
        for report in snapshot {
            let Some(quota) = self.quotas.get_mut(&report.workspace) else {
                if now_ms < STARTUP_PERIOD_MS {
                    self.early_reports.insert(report.workspace, report.clone());
                }
                continue;
            };
            let is_starting = now_ms < STARTUP_PERIOD_MS && !self.is_first_start;
            let is_higher = is_starting && report.total() > quota.request_window.total;
            if std::mem::take(&mut quota.is_assumed) || is_higher {
                quota.apply_report(report, now_ms);
                if let Some(fleet) = fleet {
                    quota.start_round(fleet, now_ms, window_ms);
                }
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
    ///
    /// Nothing is divided until the number of VMs is known.
    pub fn start_round(&mut self, now_ms: u64) {
        let window_ms = self.window_ms();
        let Some(fleet) = self.fleet_size() else {
            return;
        };
        for quota in self.quotas.values_mut() {
            quota.is_assumed &= now_ms < window_ms + STARTUP_PERIOD_MS;
            quota.start_round(fleet, now_ms, window_ms);
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
