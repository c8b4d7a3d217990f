//! Rates of workspaces, held across all VMs without a home.
//!
//! Each VM keeps the workspace's whole token bucket from its own admissions and
//! the counters that its peers tell. In each round it may use its equal part of
//! what is left, so that all VMs together never use more than the bucket holds,
//! however old their news of each other is. A VM that is not heard from is taken
//! to use its part of the rate.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Hash of a workspace's name.
pub type WorkspaceKey = u64;

/// Longest time without a new round after which no further part accrues, in
/// milliseconds.
const ROUND_MAX_MS: u64 = 2_000;

/// Admissions of one VM, counted since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct QuotaReport {
    /// Workspace.
    pub workspace: WorkspaceKey,
    /// Requests admitted since the VM's start.
    pub admitted: u64,
}

#[derive(Clone, Debug, Default)]
struct WorkspaceBucket {
    rate_per_ms: f64,
    burst: f64,
    /// What is left of the bucket, as far as this VM knows.
    level: f64,
    /// What this VM may still use in this round.
    allowance: f64,
    refilled_ms: u64,
    round_ms: u64,
    admitted: u64,
    admitted_ms: u64,
    peers: HashMap<(u64, u64), u64>,
}

/// The rates of all workspaces, as one VM sees them.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    buckets: HashMap<WorkspaceKey, WorkspaceBucket>,
    /// VMs that may admit requests, this one included.
    sharers: u32,
    /// VMs among them that are not heard from.
    silent: u32,
}

impl QuotaLedger {
    /// Sets the rates; a bucket that is new starts empty.
    ///
    /// `rates` holds workspaces with requests a second and burst.
    pub fn set_rates(&mut self, rates: impl Iterator<Item = (WorkspaceKey, f64, f64)>, now_ms: u64) {
        let mut old = std::mem::take(&mut self.buckets);
        for (workspace, rate_per_s, burst) in rates {
            let mut bucket = old.remove(&workspace).unwrap_or_default();
            if bucket.refilled_ms == 0 {
                bucket.refilled_ms = now_ms;
                bucket.round_ms = now_ms;
            }
            bucket.rate_per_ms = rate_per_s / 1_000.0;
            bucket.burst = burst.max(1.0);
            bucket.level = bucket.level.min(bucket.burst);
            bucket.allowance = bucket.allowance.min(bucket.burst);
            self.buckets.insert(workspace, bucket);
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
    pub fn admit(&mut self, workspace: WorkspaceKey, now_ms: u64) -> Result<(), u64> {
        let sharers = f64::from(self.sharers.max(1));
        let Some(bucket) = self.buckets.get_mut(&workspace) else {
            return Ok(());
        };
        if bucket.rate_per_ms <= 0.0 {
            return Ok(());
        }
        bucket.refill(now_ms, sharers, f64::from(self.silent));
        if bucket.allowance < 1.0 {
            let missing = (1.0 - bucket.allowance) * sharers / bucket.rate_per_ms;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "bounded and not negative"
            )]
            return Err(missing.clamp(1.0, 60_000.0) as u64);
        }
        bucket.allowance -= 1.0;
        bucket.level -= 1.0;
        bucket.admitted += 1;
        bucket.admitted_ms = now_ms;
        Ok(())
    }

    /// Gives back a request that never reached a replica.
    pub fn give_back(&mut self, workspace: WorkspaceKey) {
        if let Some(bucket) = self.buckets.get_mut(&workspace)
            && bucket.admitted > 0
        {
            bucket.allowance += 1.0;
            bucket.level += 1.0;
        }
    }

    /// Takes a peer's counters; `peer` and `incarnation` name one of its starts.
    pub fn record(&mut self, peer: u64, incarnation: u64, reports: &[QuotaReport]) {
        for report in reports {
            let Some(bucket) = self.buckets.get_mut(&report.workspace) else {
                continue;
            };
            let seen = bucket.peers.entry((peer, incarnation)).or_insert(0);
            let news = report.admitted.saturating_sub(*seen);
            *seen = report.admitted.max(*seen);
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            let used = news as f64;
            bucket.level -= used;
        }
    }

    /// Starts a round: what is left of each bucket is parted anew.
    pub fn start_round(&mut self, now_ms: u64) {
        let sharers = f64::from(self.sharers.max(1));
        for bucket in self.buckets.values_mut() {
            bucket.refill(now_ms, sharers, f64::from(self.silent));
            bucket.round_ms = now_ms;
            bucket.allowance = (bucket.level / sharers).max(0.0);
        }
    }

    /// Returns this VM's counters of the workspaces used since `since_ms`.
    #[must_use]
    pub fn reports(&self, since_ms: u64) -> Vec<QuotaReport> {
        let used = self
            .buckets
            .iter()
            .filter(|(_, bucket)| bucket.admitted > 0 && bucket.admitted_ms >= since_ms);
        used.map(|(workspace, bucket)| QuotaReport {
            workspace: *workspace,
            admitted: bucket.admitted,
        })
        .collect()
    }
}

impl WorkspaceBucket {
    fn refill(&mut self, now_ms: u64, sharers: f64, silent: f64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of one process")]
        let accrued = self.rate_per_ms * elapsed_ms as f64;
        let heard = accrued * (sharers - silent) / sharers;
        self.level = (self.level + heard).min(self.burst);
        if now_ms.saturating_sub(self.round_ms) <= ROUND_MAX_MS {
            self.allowance = (self.allowance + accrued / sharers).min(self.burst);
        }
    }
}
