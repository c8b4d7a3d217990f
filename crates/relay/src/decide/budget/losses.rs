//! Losses of VMs, and which of them may have taken knowledge of programs with them.

use super::share::VmProcess;
use crate::decide::member_facts::VmKey;

/// Time within which restarts of VMs count as one event, in milliseconds; longer than the silence
/// after which a failure is detected.
const RESTARTS_WINDOW_MS: u64 = 5_000;

/// Time after the start within which peers report the last loss of counts, in milliseconds; a few
/// gossip rounds.
pub const PEER_REPORT_TIMEOUT_MS: u64 = 1_000;

/// Time by which a loss may be dated too early, in milliseconds; a gossip round.
const LOSS_SLACK_MS: u64 = 500;

/// Death, restart or silence of a VM, which may lose what it knows, or a time in which this VM was
/// absent and learned nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmLoss {
    /// The VM.
    pub vm: VmKey,
    /// Start time of the process that was lost; 0 if unknown.
    pub incarnation: u64,
    /// Time of its last heartbeat, in milliseconds.
    pub at_ms: u64,
}

impl VmLoss {
    /// Returns the process that was lost or absent.
    #[must_use]
    pub fn process(&self) -> VmProcess {
        VmProcess {
            vm: self.vm,
            incarnation: self.incarnation,
        }
    }
}

/// Returns whether both VMs that rank first for a program may have been lost before other
/// VMs got copies of what they knew.
///
/// `ranked` holds all VMs, the most preferred home first. Losses that are up to `window_ms`
/// apart count as one. A VM for which `is_down` is true has not come back since its last
/// loss, so the VMs after it ranked first from then on; the same holds before a time since which
/// `has_joined` is true, as it is for a VM that was absent.
#[must_use]
pub fn may_have_lost_pair(
    ranked: &[VmKey],
    losses: &[VmLoss],
    is_down: &dyn Fn(VmKey) -> bool,
    has_joined: &dyn Fn(VmKey, u64) -> bool,
    window_ms: u64,
) -> bool {
    let last_loss_ms = |vm: VmKey| {
        let own = losses.iter().filter(|loss| loss.vm == vm);
        own.map(|loss| loss.at_ms).max()
    };
    losses.iter().any(|first| {
        let is_lost_then = |vm: VmKey| {
            let own = losses.iter().filter(|loss| loss.vm == vm);
            own.into_iter()
                .any(|loss| loss.at_ms.abs_diff(first.at_ms) <= window_ms)
        };
        let was_down = |vm: VmKey| {
            is_down(vm) && last_loss_ms(vm).is_some_and(|at_ms| at_ms + window_ms < first.at_ms)
        };
        let since_ms = first.at_ms.saturating_sub(window_ms);
        let was_absent =
            |vm: VmKey| was_down(vm) || (!is_lost_then(vm) && has_joined(vm, since_ms));
        let mut pair = ranked
            .iter()
            .filter(|vm| !was_absent(**vm))
            .take(2)
            .peekable();
        pair.peek().is_some() && pair.all(|vm| is_lost_then(*vm))
    })
}

/// Losses, as input of a decision.
#[derive(Clone, Copy, Debug)]
pub struct LossFacts<'a> {
    /// Recent losses.
    pub losses: &'a [VmLoss],
    /// Time within which losses count as one, in milliseconds.
    pub window_ms: u64,
    /// Whether most VMs have lost their counts recently.
    pub has_lost_counts: bool,
}

impl LossFacts<'_> {
    /// Returns whether a home and its witness may have been lost together of whose role the
    /// members of an earlier one, known to `own` since `since_ms`, did not learn.
    ///
    /// Such a role begins with a record in the store, since its home had no reply of the earlier
    /// one. It takes two other VMs; those that are not lost together leave copies on others.
    #[must_use]
    pub fn may_have_lost_role(&self, own: VmProcess, since_ms: u64) -> bool {
        let is_own = |loss: &VmLoss| loss.process() == own;
        let is_later = |loss: &VmLoss| loss.at_ms.saturating_add(LOSS_SLACK_MS) >= since_ms;
        let later = || {
            let losses = self.losses.iter();
            losses.filter(|loss| is_later(loss) && !is_own(loss))
        };
        later().any(|first| {
            let mut others = later().filter(|loss| loss.vm != first.vm);
            others.any(|other| other.at_ms.abs_diff(first.at_ms) <= self.window_ms)
        })
    }
}

/// Recent losses of VMs as this VM has found them.
#[derive(Clone, Debug)]
pub struct LossTable {
    own: VmProcess,
    is_first_start: bool,
    losses: Vec<VmLoss>,
    /// VMs that have restarted recently, with the time at which this was noticed.
    restarts: Vec<(VmKey, u64)>,
    /// When the VMs last lost all counts, in milliseconds since the Unix epoch; 0 if never, `None`
    /// if not known yet.
    counts_lost_at: Option<u64>,
}

impl LossTable {
    /// Creates the table of a process; unless all VMs have started for the first time, the counts
    /// of its VM's previous process are lost.
    #[must_use]
    pub fn new(own: VmProcess, is_first_start: bool) -> Self {
        let previous = VmLoss {
            vm: own.vm,
            incarnation: 0,
            at_ms: 0,
        };
        Self {
            own,
            is_first_start,
            losses: if is_first_start {
                Vec::new()
            } else {
                vec![previous]
            },
            restarts: Vec::new(),
            counts_lost_at: is_first_start.then_some(0),
        }
    }

    /// Returns when the VMs last lost all counts, in milliseconds since the Unix epoch; 0 if never,
    /// `None` if not known yet.
    #[must_use]
    pub fn counts_lost_at(&self) -> Option<u64> {
        self.counts_lost_at
    }

    /// Takes over the time of the last loss of all counts from a peer if it is later.
    ///
    /// A loss from after the start of this process is judged by the restarts that it has seen:
    /// a peer that was cut off may take the silence of all others for one.
    pub fn merge_counts_lost_at(&mut self, reported: Option<u64>) {
        let end = self.own.incarnation.saturating_add(RESTARTS_WINDOW_MS);
        let reported = reported.filter(|reported| *reported < end);
        self.counts_lost_at = self.counts_lost_at.max(reported);
    }

    /// Sets the last loss of all counts to the start of this process if no peer has reported one
    /// in time.
    pub fn init_counts_lost_at(&mut self, now_ms: u64) {
        if now_ms >= PEER_REPORT_TIMEOUT_MS {
            self.counts_lost_at.get_or_insert(self.own.incarnation);
        }
    }

    /// Returns whether programs from before the last loss of all counts may still run, at
    /// `wall_ms` milliseconds since the Unix epoch.
    #[must_use]
    pub fn has_recent_count_loss(&self, retention_ms: u64, wall_ms: u64) -> bool {
        match self.counts_lost_at {
            Some(0) => false,
            Some(since_ms) => wall_ms.saturating_sub(since_ms) < retention_ms,
            None => true,
        }
    }

    /// Records a loss.
    pub fn record(&mut self, loss: VmLoss) {
        self.losses.push(loss);
    }

    /// Records that one of `vm_count` VMs has restarted, which loses the counts of its process
    /// `earlier`, at `now_ms` and at `wall_ms` milliseconds since the Unix epoch.
    pub fn record_restart(
        &mut self,
        vm: VmKey,
        earlier: u64,
        vm_count: usize,
        (now_ms, wall_ms): (u64, u64),
    ) {
        // A VM that was silent before is known as lost since then.
        let is_known = |loss: &VmLoss| (loss.vm, loss.incarnation) == (vm, earlier);
        if !self.losses.iter().any(is_known) {
            self.record(VmLoss {
                vm,
                incarnation: earlier,
                at_ms: now_ms,
            });
        }
        self.restarts.retain(|(known, at_ms)| {
            *known != vm && now_ms.saturating_sub(*at_ms) < RESTARTS_WINDOW_MS
        });
        self.restarts.push((vm, now_ms));
        // The counts of a few VMs are known to others; those of three quarters are not.
        if self.restarts.len() * 4 >= vm_count * 3 {
            self.counts_lost_at = Some(wall_ms);
        }
    }

    /// Records that a VM is heard whose process started at `incarnation`.
    ///
    /// A VM that was only silent has kept its counts. One that started within `window_ms` of this
    /// process, both for another time, has lost them at the same moment.
    pub fn record_start(&mut self, vm: VmKey, incarnation: u64, window_ms: u64) {
        self.losses
            .retain(|loss| loss.vm != vm || loss.incarnation != incarnation);
        let is_recorded = self.losses.iter().any(|loss| loss.vm == vm);
        let is_together = incarnation.abs_diff(self.own.incarnation) < window_ms;
        if !self.is_first_start && !is_recorded && is_together {
            self.record(VmLoss {
                vm,
                incarnation: 0,
                at_ms: 0,
            });
        }
    }

    /// Records that this VM stood still or was cut off from all others until now: others have
    /// acted without it, and it has learned nothing of that.
    pub fn record_absence(&mut self, now_ms: u64) {
        let own = self.own;
        self.losses.retain(|loss| loss.process() != own);
        self.record(VmLoss {
            vm: own.vm,
            incarnation: own.incarnation,
            at_ms: now_ms,
        });
    }

    /// Returns the time since this VM last returned from an absence, in milliseconds; `None` if it
    /// was not absent.
    #[must_use]
    pub fn absence_age_ms(&self, now_ms: u64) -> Option<u64> {
        let mut losses = self.losses.iter();
        let absence = losses.find(|loss| loss.process() == self.own)?;
        Some(now_ms.saturating_sub(absence.at_ms))
    }

    /// Removes losses that no program can remember, and returns the others.
    pub fn recent(&mut self, retention_ms: u64, now_ms: u64) -> Vec<VmLoss> {
        self.losses
            .retain(|loss| now_ms.saturating_sub(loss.at_ms) < retention_ms);
        self.losses.clone()
    }
}
