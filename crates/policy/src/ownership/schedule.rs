//! What a daemon does next, by the plan of all slots.

use ibisdale_core::TimeStamp;

use super::machine::OwnershipMachine;
use super::pace::RetryTimer;
use super::plan::{PlanOwner, plan_moves};
use super::session::SessionState;

impl OwnershipMachine {
    /// Makes the plan anew when records have changed.
    pub(crate) fn refresh_plan(&mut self, now: TimeStamp) {
        if !self.is_plan_stale {
            return;
        }
        self.is_plan_stale = false;
        let (daemons, owners) = self.view.plan_input();
        self.book.set_daemon_count(daemons.len());
        let name = &self.options.profile.name;
        let own = daemons.iter().position(|daemon| daemon.name == *name);
        let moves = plan_moves(&daemons, &owners);
        let is_take = |to: usize, from: Option<usize>| from.is_none() && Some(to) == own;
        self.takes = moves
            .iter()
            .filter(|step| is_take(step.to, step.from))
            .map(|step| step.slot)
            .collect();
        self.leaves = moves
            .iter()
            .filter(|step| own.is_some() && step.from == own)
            .map(|step| step.slot)
            .collect();
        let orphans = owners.iter().filter(|owner| **owner == PlanOwner::Nobody);
        self.orphan_count = orphans.count();
        self.schedule_takes(now);
        self.schedule_release(now);
        if self.view.retired().is_empty() {
            self.prune_at = None;
        } else if self.prune_at.is_none() {
            let delay = self.pace.around(self.options.rebalance_delay);
            self.prune_at = Some(now.plus(delay));
        }
    }

    /// Ends the lease once a draining daemon has nothing left to give up.
    pub(crate) fn poll_end(&mut self, now: TimeStamp) {
        let SessionState::Active { lease, .. } = self.session else {
            return;
        };
        let is_idle = self.writer.is_none() && self.pinned.is_empty();
        if self.is_draining && self.is_announced() && self.leaves.is_empty() && is_idle {
            self.end_registration(SessionState::Closing { lease });
            self.session_timer = RetryTimer::at(now);
        }
    }
}
