//! Schedules this daemon's takeovers and releases by the plan, and ends a drain.

use ibisdale_core::TimeStamp;

use super::machine::OwnershipMachine;
use super::plan::{PlanOwner, plan_moves};
use super::registration::RegistrationState;
use super::timing::RetryTimer;

impl OwnershipMachine {
    /// Recomputes the plan if records have changed.
    pub(crate) fn refresh_plan(&mut self, now: TimeStamp) {
        if !self.is_plan_stale {
            return;
        }
        self.is_plan_stale = false;
        let (daemons, owners) = self.view.plan_input();
        self.journal.set_daemon_count(daemons.len());
        let name = &self.options.profile.name;
        let own = daemons.iter().position(|daemon| daemon.name == *name);
        let moves = plan_moves(&daemons, &owners);
        let is_own_takeover = |to: usize, from: Option<usize>| from.is_none() && Some(to) == own;
        self.slots_to_take = moves
            .iter()
            .filter(|slot_move| is_own_takeover(slot_move.to, slot_move.from))
            .map(|slot_move| slot_move.slot)
            .collect();
        self.slots_to_release = moves
            .iter()
            .filter(|slot_move| own.is_some() && slot_move.from == own)
            .map(|slot_move| slot_move.slot)
            .collect();
        let unowned = owners.iter().filter(|owner| **owner == PlanOwner::Unowned);
        self.unowned_count = unowned.count();
        self.schedule_takeovers(now);
        self.schedule_release(now);
        if self.view.ended_registrations().is_empty() {
            self.journal_deletion_at = None;
        } else if self.journal_deletion_at.is_none() {
            let delay = self.random.jittered_delay(self.options.rebalance_delay);
            self.journal_deletion_at = Some(now.plus(delay));
        }
    }

    /// Ends the registration and starts to revoke the lease once a draining daemon has
    /// released all slots.
    pub(crate) fn poll_drain(&mut self, now: TimeStamp) {
        let RegistrationState::Active { lease, .. } = self.registration_state else {
            return;
        };
        let is_idle = self.pending_write.is_none() && self.pinned.is_empty();
        if self.is_draining
            && self.is_drain_announced()
            && self.slots_to_release.is_empty()
            && is_idle
        {
            self.end_registration(RegistrationState::Closing { lease });
            self.registration_timer = RetryTimer::due_at(now);
        }
    }
}
