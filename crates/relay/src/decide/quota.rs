//! Rates of workspaces, held across all VMs without a home.
//!
//! A workspace may send its rate times the window plus its burst in any window.
//! Each VM counts what all VMs have admitted in the last window, from its own
//! admissions and the counters that its peers tell. In each round it may use its
//! equal part of what is left, so that all VMs together never use more, however
//! old their news of each other is. A VM that is not heard from is taken to go on
//! as before.
//!
//! Load answered: a workspace that sends more than its rate. A program that loses
//! one of its calls is lost as a whole with all that it has used, so calls of
//! programs under way may use the whole limit, and programs that begin only what
//! is above a reserve.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Hash of a workspace's name.
pub type WorkspaceKey = u64;

/// Part of the burst that is kept for programs under way, in percent.
const RESERVE_PERCENT: f64 = 50.0;
/// Part of the tolerated excess that may be used, in percent; the rest is for
/// requests that reach a replica later than they were admitted.
const TOLERANCE_USED_PERCENT: f64 = 50.0;
/// Use that a silent VM is taken to go on with, relative to the mean of all VMs.
const SILENT_USE_FACTOR: f64 = 1.25;
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
/// Length of the spans that admissions are counted in, in milliseconds.
const SPAN_MS: u64 = 250;
/// Window where the deployment names none, in milliseconds.
const WINDOW_DEFAULT_MS: u64 = 5_000;

/// What a request is to its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramStage {
    /// The request begins a program.
    Begins,
    /// The program has run before, or the request belongs to none.
    UnderWay,
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
}

/// Admissions of all VMs in the last window.
#[derive(Clone, Debug, Default)]
struct WorkspaceWindow {
    rate_per_s: f64,
    burst: f64,
    /// Requests in a window, the tolerated excess included.
    limit: f64,
    /// Ends of spans with the requests admitted in them.
    ///
    /// Ends before the start of the process are negative.
    spans: VecDeque<(i64, f64)>,
    /// Requests in all spans.
    used: f64,
    /// What this VM may still use in this round.
    allowance: f64,
    admitted: u64,
    admitted_ms: u64,
    /// Use before the start is assumed, not known.
    is_assumed: bool,
    peers: HashMap<(u64, u64), u64>,
}

impl WorkspaceWindow {
    fn count(&mut self, requests: f64, now_ms: u64) {
        self.used += requests;
        let now_ms = signed(now_ms);
        match self.spans.back_mut() {
            Some((end_ms, count)) if *end_ms > now_ms => *count += requests,
            _ => self.spans.push_back((now_ms + signed(SPAN_MS), requests)),
        }
    }

    fn expire(&mut self, now_ms: u64, window_ms: u64) {
        while let Some((end_ms, count)) = self.spans.front().copied() {
            if end_ms + signed(window_ms) > signed(now_ms) {
                break;
            }
            self.used -= count;
            self.spans.pop_front();
        }
    }

    /// Assumes steady use up to the start of the process.
    fn assume_use(&mut self, now_ms: u64, window_ms: u64) {
        let steady = (self.limit - self.burst).max(0.0);
        self.spread(steady, now_ms, window_ms);
        self.is_assumed = true;
    }

    /// Spreads requests evenly over the last window.
    fn spread(&mut self, requests: f64, now_ms: u64, window_ms: u64) {
        let spans = (window_ms / SPAN_MS).max(1);
        #[expect(clippy::cast_precision_loss, reason = "a few spans")]
        let count = requests / spans as f64;
        for span in 0..spans {
            let age_ms = (spans - 1 - span) * SPAN_MS;
            let end_ms = signed(now_ms) - signed(age_ms);
            self.used += count;
            self.spans.push_back((end_ms, count));
        }
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
    inherited: HashMap<WorkspaceKey, u64>,
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
                    #[expect(clippy::cast_precision_loss, reason = "small counts")]
                    Some(used) => window.spread(used as f64, now_ms, window_ms),
                    None => window.assume_use(now_ms, window_ms),
                }
            }
            if is_new {
                let sharers = f64::from(sharers);
                window.allowance = (window.limit - window.used).max(0.0) / sharers;
            }
            self.windows.insert(workspace, window);
        }
    }

    /// Sets how many VMs share the rates and how many of them are silent.
    pub fn set_sharers(&mut self, sharers: u32, silent: u32) {
        self.sharers = sharers.max(1);
        self.silent = silent.min(sharers.saturating_sub(1));
    }

    /// Admits a request, or returns the milliseconds after which to come again.
    ///
    /// # Errors
    ///
    /// Fails when the workspace is over its rate.
    pub fn admit(
        &mut self,
        workspace: WorkspaceKey,
        stage: ProgramStage,
        now_ms: u64,
    ) -> Result<(), u64> {
        let sharers = f64::from(self.known_sharers());
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
        let missing = (1.0 + reserve / sharers) - window.allowance;
        if missing > 0.0 {
            // The whole limit becomes free again within one window.
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_precision_loss,
                clippy::cast_sign_loss,
                reason = "bounded and not negative"
            )]
            let wait_ms = (missing * sharers / window.limit * window_ms as f64) as u64;
            return Err(wait_ms.clamp(SPAN_MS / 2, window_ms));
        }
        window.allowance -= 1.0;
        window.admitted += 1;
        window.admitted_ms = now_ms;
        window.count(1.0, now_ms);
        Ok(())
    }

    /// Returns the requests of all VMs in the last window, where they are known.
    #[must_use]
    pub fn snapshot(&self) -> Vec<QuotaReport> {
        let known = self.windows.iter().filter(|(_, window)| !window.is_assumed);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "counts are small and not negative"
        )]
        let reports = known.map(|(workspace, window)| QuotaReport {
            workspace: *workspace,
            admitted: window.used.max(0.0).ceil() as u64,
        });
        reports.collect()
    }

    /// Takes what a peer knows of the last window in place of assumptions.
    pub fn adopt(&mut self, snapshot: &[QuotaReport], now_ms: u64) {
        let window_ms = self.window_ms();
        let sharers = f64::from(self.known_sharers());
        for report in snapshot {
            let Some(window) = self.windows.get_mut(&report.workspace) else {
                if now_ms < START_TIME_MS {
                    self.inherited.insert(report.workspace, report.admitted);
                }
                continue;
            };
            if std::mem::take(&mut window.is_assumed) {
                window.spans.clear();
                window.used = 0.0;
                #[expect(clippy::cast_precision_loss, reason = "small counts")]
                window.spread(report.admitted as f64, now_ms, window_ms);
                window.allowance = (window.limit - window.used).max(0.0) / sharers;
            }
        }
    }

    /// Takes a peer's counters; `peer` and `incarnation` name one of its starts.
    ///
    /// The first counter of a peer that `is_older` than this process is only a
    /// base: what it holds is part of the window that was adopted or assumed.
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
            let base = if is_older { report.admitted } else { 0 };
            let seen = window.peers.entry((peer, incarnation)).or_insert(base);
            let news = report.admitted.saturating_sub(*seen);
            *seen = report.admitted.max(*seen);
            if news > 0 {
                #[expect(clippy::cast_precision_loss, reason = "small counts")]
                window.count(news as f64, now_ms);
            }
        }
    }

    /// Starts a round: what is left of each window is parted anew.
    pub fn start_round(&mut self, now_ms: u64) {
        let sharers = f64::from(self.sharers.max(1));
        let silent = f64::from(self.silent);
        let window_ms = self.window_ms();
        for window in self.windows.values_mut() {
            window.expire(now_ms, window_ms);
            window.is_assumed &= now_ms < window_ms + START_TIME_MS;
            // A silent VM mostly is dead; one that is cut off goes on as before.
            let usual = window.used * SILENT_USE_FACTOR / sharers;
            let kept = silent * usual.min(window.limit / sharers);
            let left = (window.limit - kept - window.used).max(0.0);
            window.allowance = left / (sharers - silent).max(1.0);
            if window.used + kept < window.limit * FREE_USE_PERCENT / 100.0 {
                window.allowance = window.allowance.max(FREE_ALLOWANCE.min(left));
            }
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
        })
        .collect()
    }
}

fn signed(time_ms: u64) -> i64 {
    i64::try_from(time_ms).unwrap_or(i64::MAX)
}
