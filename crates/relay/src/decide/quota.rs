//! Rates of workspaces, held across all VMs.
//!
//! A workspace may send its rate times the window plus its burst in any window.
//! Each VM counts what all VMs have admitted in the last window, from its own
//! admissions and the counters that its peers tell. In each round it may use its
//! equal part of one half of what is left; the workspace's home grants the other
//! half to VMs that have used up theirs, and all of it where a part would be below
//! one request. A VM that is not heard from is taken to go on as before.
//!
//! Load answered: a workspace that sends more than its rate, and small workspaces
//! among many VMs. A program that loses one of its calls is lost as a whole with
//! all that it has used, so no more programs begin in a window than the limit holds
//! by their mean number of requests, and calls of programs under way may use all of
//! it.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::spans::{BUCKET_MS, SlidingWindow, ceil_to_u64};

/// Hash of a workspace's name.
pub type WorkspaceKey = u64;

/// Part of the burst that is kept for programs under way, in percent.
const RESERVE_PERCENT: f64 = 50.0;
/// Part of the tolerated excess that may be used, in percent; the rest is for
/// requests that reach a replica later than they were admitted.
const TOLERANCE_USED_PERCENT: f64 = 50.0;
/// Use that a silent VM is taken to go on with, relative to the mean of all VMs.
const SILENT_USE_FACTOR: f64 = 1.25;
/// Part of the tolerated excess that may be used at once after a start of all VMs, in
/// percent; with [`TOLERANCE_USED_PERCENT`] it stays within what is tolerated.
const START_FREE_PERCENT: f64 = 25.0;
/// Time after the start in which use before it is assumed for workspaces that
/// become known, in milliseconds.
const START_TIME_MS: u64 = 2_000;
/// Requests that each VM may admit in a round while much of the limit is free; in
/// a large fleet the equal part of a small workspace is below one request.
const FREE_ALLOWANCE: f64 = 2.0;
/// Use of the limit up to which it counts as free, in percent.
const FREE_USE_PERCENT: f64 = 75.0;
/// VMs that a rate is parted among at least before the first full round; few
/// enough that a VM which just started can serve.
const START_SHARERS: u32 = 8;
/// Part of what is left that the VMs share evenly, in percent; the home grants the
/// rest.
const SHARED_PERCENT: f64 = 50.0;
/// Programs begun before the last window from which on the mean number of requests
/// of a program is taken to be known.
const PROGRAMS_KNOWN: f64 = 20.0;
/// Pace at which programs may begin in a round, relative to an even one; those that
/// begin together need the limit together.
const PACE_FACTOR: f64 = 1.2;
/// Refused callers of a workspace that are kept in mind.
const PROMISES_MAX: usize = 1_000;
/// Window where the deployment names none, in milliseconds.
const WINDOW_DEFAULT_MS: u64 = 5_000;

/// What a request is to its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum ProgramStage {
    /// The request begins a program.
    Begins,
    /// The program has run before, or the request belongs to none.
    UnderWay,
}

/// Admissions of all VMs in the last window, as one VM knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct WindowReport {
    /// Workspace.
    pub workspace: WorkspaceKey,
    /// Requests in spans of 250 ms, the newest first.
    pub requests: Vec<u32>,
    /// Programs that began in the same spans.
    pub programs: Vec<u32>,
}

/// What a workspace lacks for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum ShortageCause {
    /// Requests in the window.
    Requests,
    /// Programs in the window; those under way need the rest.
    Programs,
    /// The workspace's home did not answer.
    SilentHome,
}

/// Why a workspace's request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RateShortage {
    /// What is missing.
    pub cause: ShortageCause,
    /// Requests or programs in the last window.
    pub used: u64,
    /// Requests or programs that the window holds.
    pub limit: u64,
    /// Time after which to come again, in milliseconds.
    pub after_ms: u64,
}

impl RateShortage {
    /// Creates the shortage of a request whose workspace's home is silent.
    #[must_use]
    pub fn silent_home(after_ms: u64) -> Self {
        Self {
            cause: ShortageCause::SilentHome,
            used: 0,
            limit: 0,
            after_ms,
        }
    }
}

/// By how much the limit of a span of time may be exceeded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the span, in seconds.
    pub window_s: f64,
    /// Part of the limit.
    pub excess: f64,
    /// Requests beyond that part.
    pub slack: f64,
}

/// Admissions of one VM, counted since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct QuotaReport {
    /// Workspace.
    pub workspace: WorkspaceKey,
    /// Requests admitted since the VM's start.
    pub admitted: u64,
    /// Programs that began with one of them.
    pub begun: u64,
}

/// What may be admitted in a round.
#[derive(Clone, Copy, Debug, Default)]
struct RoundPart {
    /// By this VM.
    own: f64,
    /// By the workspace's home for VMs that have used up their part.
    home: f64,
}

impl RoundPart {
    /// Parts what is left among VMs and the home.
    fn of(left: f64, sharers: f64) -> Self {
        let own = left * SHARED_PERCENT / 100.0 / sharers;
        if own < 1.0 {
            return Self {
                own: 0.0,
                home: left,
            };
        }
        Self {
            own,
            home: left * (1.0 - SHARED_PERCENT / 100.0),
        }
    }
}

/// Admissions of all VMs in the last window.
#[derive(Clone, Debug, Default)]
struct WorkspaceWindow {
    rate_per_s: f64,
    burst: f64,
    /// Requests in a window, the tolerated excess included.
    limit: f64,
    used: SlidingWindow,
    /// Programs that began.
    begun: SlidingWindow,
    /// Requests that may still be admitted in this round.
    requests: RoundPart,
    /// Programs that may still begin in this round.
    programs: RoundPart,
    /// This VM's counters since its start.
    admitted: u64,
    programs_begun: u64,
    admitted_ms: u64,
    /// Use before the start is assumed, not known.
    is_assumed: bool,
    /// Counters of the other VMs' starts.
    peers: HashMap<(u64, u64), PeerCounters>,
    /// When refused callers were told to come again.
    promised: VecDeque<u64>,
}

/// Counters of a VM since its start.
#[derive(Clone, Copy, Debug, Default)]
struct PeerCounters {
    admitted: u64,
    begun: u64,
}

impl WorkspaceWindow {
    /// Assumes that the workspace has used its limit up to the start of the process,
    /// but for a part of what is tolerated beyond it.
    fn assume_use(&mut self, tolerated: f64, now_ms: u64, window_ms: u64) {
        let free = tolerated * START_FREE_PERCENT / 100.0;
        self.used
            .fill_evenly((self.limit - free).max(0.0), now_ms, window_ms);
        self.is_assumed = true;
    }

    fn inherit(&mut self, report: &WindowReport, now_ms: u64) {
        self.used.set_bucket_counts(&report.requests, now_ms);
        self.begun.set_bucket_counts(&report.programs, now_ms);
    }

    fn admit(&mut self, stage: ProgramStage, now_ms: u64) {
        self.admitted += 1;
        self.admitted_ms = now_ms;
        self.used.add(1.0, now_ms);
        if stage == ProgramStage::Begins {
            self.programs_begun += 1;
            self.begun.add(1.0, now_ms);
        }
    }

    /// Returns how many programs may begin in a window; `None` while their mean
    /// number of requests is not known.
    ///
    /// Programs of the last window have half of their requests still before them.
    fn programs_max(&self) -> Option<f64> {
        let peers = self.peers.values();
        let known = peers.fold(
            (self.admitted, self.programs_begun),
            |(admitted, begun), peer| (admitted + peer.admitted, begun + peer.begun),
        );
        #[expect(clippy::cast_precision_loss, reason = "counts of a day")]
        let (admitted, begun) = (known.0 as f64, known.1 as f64);
        let recent = self.begun.total;
        let ended = begun - recent / 2.0;
        let most = self.limit * ended / admitted.max(ended);
        // A limit below one program still lets one begin in each window.
        (begun - recent >= PROGRAMS_KNOWN).then(|| most.max(1.0))
    }

    /// Refuses a request that lacks `missing` requests or programs; callers refused
    /// before come first.
    fn refuse(
        &mut self,
        cause: ShortageCause,
        missing: f64,
        now_ms: u64,
        window_ms: u64,
    ) -> RateShortage {
        while self.promised.front().is_some_and(|at_ms| *at_ms <= now_ms) {
            self.promised.pop_front();
        }
        let limit = match cause {
            ShortageCause::Programs => self.programs_max().unwrap_or(self.limit),
            ShortageCause::Requests | ShortageCause::SilentHome => self.limit,
        };
        let spans = match cause {
            ShortageCause::Programs => &self.begun,
            ShortageCause::Requests | ShortageCause::SilentHome => &self.used,
        };
        #[expect(clippy::cast_precision_loss, reason = "at most PROMISES_MAX")]
        let needed = missing + self.promised.len() as f64;
        let wait_ms = spans.time_to_free(needed, now_ms, window_ms);
        let after_ms = wait_ms.clamp(BUCKET_MS / 2, window_ms);
        let shortage = RateShortage {
            cause,
            used: ceil_to_u64(spans.total),
            limit: ceil_to_u64(limit),
            after_ms,
        };
        if self.promised.len() < PROMISES_MAX {
            self.promised.push_back(now_ms + after_ms);
        }
        shortage
    }
}

/// The rates of all workspaces, as one VM sees them.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    windows: HashMap<WorkspaceKey, WorkspaceWindow>,
    /// VMs that may admit requests, this one included.
    sharers: u32,
    /// VMs among them that are not heard from.
    silent: u32,
    tolerance: QuotaTolerance,
    is_first_start: bool,
    /// What peers have told of the last window before the rates were known.
    inherited: HashMap<WorkspaceKey, WindowReport>,
    /// Counters of peers' starts when this process was first heard.
    bases: HashMap<(u64, u64), HashMap<WorkspaceKey, PeerCounters>>,
}

impl QuotaLedger {
    /// Creates a ledger without workspaces.
    ///
    /// `is_first_start` tells whether nothing was admitted before.
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
            WINDOW_DEFAULT_MS
        } else {
            window_ms
        }
    }

    fn known_sharers(&self) -> u32 {
        if self.sharers == 0 {
            START_SHARERS
        } else {
            self.sharers
        }
    }

    /// Sets the rates: workspaces with requests a second and burst.
    pub fn set_rates(
        &mut self,
        rates: impl Iterator<Item = (WorkspaceKey, f64, f64)>,
        now_ms: u64,
    ) {
        let window_ms = self.window_ms();
        let sharers = self.known_sharers();
        let mut old = std::mem::take(&mut self.windows);
        for (workspace, rate_per_s, burst) in rates {
            let known = old.remove(&workspace);
            let is_new = known.is_none();
            let mut window = known.unwrap_or_default();
            #[expect(clippy::cast_precision_loss, reason = "a few seconds")]
            let limit = rate_per_s * window_ms as f64 / 1_000.0 + burst;
            let tolerated = self.tolerance.slack + self.tolerance.excess * limit;
            window.rate_per_s = rate_per_s;
            window.burst = burst.max(1.0);
            window.limit = limit.max(1.0) + tolerated * TOLERANCE_USED_PERCENT / 100.0;
            if is_new && !self.is_first_start && now_ms < START_TIME_MS {
                match self.inherited.remove(&workspace) {
                    Some(report) => window.inherit(&report, now_ms),
                    None => window.assume_use(tolerated, now_ms, window_ms),
                }
            }
            if is_new {
                // Nothing is granted as home before the other VMs are known.
                let left = (window.limit - window.used.total).max(0.0);
                window.requests.own = left / f64::from(sharers);
                window.programs.own = f64::MAX;
            }
            self.windows.insert(workspace, window);
        }
    }

    /// Sets how many VMs share the rates and how many of them are silent.
    pub fn set_sharers(&mut self, sharers: u32, silent: u32) {
        self.sharers = sharers.max(1);
        self.silent = silent.min(sharers.saturating_sub(1));
    }

    /// Admits a request from this VM's part; `false` when only the workspace's home
    /// may have room for it.
    pub fn admit(&mut self, workspace: WorkspaceKey, stage: ProgramStage, now_ms: u64) -> bool {
        let sharers = f64::from(self.known_sharers());
        let Some(window) = self.windows.get_mut(&workspace) else {
            return true;
        };
        if window.rate_per_s <= 0.0 {
            return true;
        }
        let reserve = match stage {
            ProgramStage::Begins => window.burst * RESERVE_PERCENT / 100.0 / sharers,
            ProgramStage::UnderWay => 0.0,
        };
        if window.requests.own < 1.0 + reserve {
            return false;
        }
        if stage == ProgramStage::Begins {
            if window.programs.own < 1.0 {
                return false;
            }
            window.programs.own -= 1.0;
        }
        window.requests.own -= 1.0;
        window.admit(stage, now_ms);
        true
    }

    /// Admits a request as the workspace's home.
    ///
    /// # Errors
    ///
    /// Fails when the workspace is over its rate.
    pub fn admit_as_home(
        &mut self,
        workspace: WorkspaceKey,
        stage: ProgramStage,
        now_ms: u64,
    ) -> Result<(), RateShortage> {
        let window_ms = self.window_ms();
        let Some(window) = self.windows.get_mut(&workspace) else {
            return Ok(());
        };
        if window.rate_per_s <= 0.0 {
            return Ok(());
        }
        let reserve = match stage {
            ProgramStage::Begins => window.burst * RESERVE_PERCENT / 100.0,
            ProgramStage::UnderWay => 0.0,
        };
        let missing = 1.0 + reserve - window.requests.home;
        if missing > 0.0 {
            return Err(window.refuse(ShortageCause::Requests, missing, now_ms, window_ms));
        }
        if stage == ProgramStage::Begins {
            let missing = 1.0 - window.programs.home;
            if missing > 0.0 {
                return Err(window.refuse(ShortageCause::Programs, missing, now_ms, window_ms));
            }
            window.programs.home -= 1.0;
        }
        window.requests.home -= 1.0;
        window.admit(stage, now_ms);
        Ok(())
    }

    /// Returns the requests of all VMs in the last window, where they are known.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Vec<WindowReport> {
        let window_ms = self.window_ms();
        let known = self
            .windows
            .iter()
            .filter(|(_, window)| !window.is_assumed && window.used.total > 0.0);
        let reports = known.map(|(workspace, window)| WindowReport {
            workspace: *workspace,
            requests: window.used.bucket_counts(now_ms, window_ms),
            programs: window.begun.bucket_counts(now_ms, window_ms),
        });
        reports.collect()
    }

    /// Takes what a peer knows of the last window in place of assumptions.
    pub fn adopt(&mut self, snapshot: &[WindowReport], now_ms: u64) {
        let sharers = f64::from(self.known_sharers());
        for report in snapshot {
            let Some(window) = self.windows.get_mut(&report.workspace) else {
                if now_ms < START_TIME_MS {
                    self.inherited.insert(report.workspace, report.clone());
                }
                continue;
            };
            if std::mem::take(&mut window.is_assumed) {
                window.inherit(report, now_ms);
                let left = (window.limit - window.used.total).max(0.0);
                window.requests.own = left / sharers;
            }
        }
    }

    /// Takes the counters that a peer had when this process was first heard; they are
    /// part of the window that was adopted or assumed.
    ///
    /// `counters` holds all workspaces that the peer has ever admitted a request of.
    pub fn take_base(&mut self, peer: u64, incarnation: u64, counters: &[QuotaReport]) {
        let base = counters.iter().map(|report| {
            let counters = PeerCounters {
                admitted: report.admitted,
                begun: report.begun,
            };
            (report.workspace, counters)
        });
        self.bases.insert((peer, incarnation), base.collect());
    }

    /// Takes a peer's counters; `peer` and `incarnation` name one of its starts.
    ///
    /// Of a peer that `is_older` than this process only what exceeds its base is news;
    /// without a base the first counter is taken for it.
    pub fn record(
        &mut self,
        peer: u64,
        incarnation: u64,
        is_older: bool,
        reports: &[QuotaReport],
        now_ms: u64,
    ) {
        for report in reports {
            let Some(window) = self.windows.get_mut(&report.workspace) else {
                continue;
            };
            let told = PeerCounters {
                admitted: report.admitted,
                begun: report.begun,
            };
            let base = match self.bases.get(&(peer, incarnation)) {
                _ if !is_older => PeerCounters::default(),
                Some(base) => base.get(&report.workspace).copied().unwrap_or_default(),
                None => told,
            };
            let seen = window.peers.entry((peer, incarnation)).or_insert(base);
            let requests = told.admitted.saturating_sub(seen.admitted);
            let programs = told.begun.saturating_sub(seen.begun);
            seen.admitted += requests;
            seen.begun += programs;
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            if requests > 0 {
                window.used.add(requests as f64, now_ms);
                window.begun.add(programs as f64, now_ms);
            }
        }
    }

    /// Starts a round: what is left of each window is parted anew.
    pub fn start_round(&mut self, now_ms: u64) {
        let sharers = f64::from(self.sharers.max(1));
        let silent = f64::from(self.silent);
        let window_ms = self.window_ms();
        for window in self.windows.values_mut() {
            window.used.expire(now_ms, window_ms);
            window.is_assumed &= now_ms < window_ms + START_TIME_MS;
            let used = window.used.total;
            // A silent VM mostly is dead; one that is cut off goes on as before.
            let usual = used * SILENT_USE_FACTOR / sharers;
            let kept = silent * usual.min(window.limit / sharers);
            let left = (window.limit - kept - used).max(0.0);
            let live = (sharers - silent).max(1.0);
            window.requests = RoundPart::of(left, live);
            if used + kept < window.limit * FREE_USE_PERCENT / 100.0 {
                let own = &mut window.requests.own;
                *own = own.max(FREE_ALLOWANCE.min(left));
            }
            window.begun.expire(now_ms, window_ms);
            let begun = window.begun.total;
            window.programs = window.programs_max().map_or(
                RoundPart {
                    own: f64::MAX,
                    home: f64::MAX,
                },
                |most| {
                    #[expect(clippy::cast_precision_loss, reason = "a few spans")]
                    let pace = most * PACE_FACTOR * BUCKET_MS as f64 / window_ms as f64;
                    let left = (most - begun).max(0.0);
                    RoundPart::of(left.min(pace.max(1.0)), live)
                },
            );
        }
    }

    /// Returns this VM's counters of the workspaces used since `since_ms`.
    #[must_use]
    pub fn reports(&self, since_ms: u64) -> Vec<QuotaReport> {
        let used = self
            .windows
            .iter()
            .filter(|(_, window)| window.admitted > 0 && window.admitted_ms >= since_ms);
        used.map(|(workspace, window)| QuotaReport {
            workspace: *workspace,
            admitted: window.admitted,
            begun: window.programs_begun,
        })
        .collect()
    }
}
