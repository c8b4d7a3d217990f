//! Starts and ends faults and makes them known to the daemons.

use ibisdale_policy::{CallOutcome, ReplicaStatus};

use super::{DEATH_LAG_US, NETWORK_US, VM_LIST_LAG_US, World};
use crate::support::event::{EventKind, MICROS_PER_MILLI};
use crate::support::fault::FaultKind;

impl World<'_> {
    pub(super) fn fault_begins(&mut self, fault: usize) {
        match self.scenario.faults[fault].kind {
            FaultKind::SlowReplica { replica, factor } => {
                self.engines[replica].slow_factor = factor;
            }
            FaultKind::DeadReplica { replica } => self.kill(replica, DEATH_LAG_US),
            FaultKind::Outage => {
                for replica in 0..self.engines.len() {
                    self.kill(replica, DEATH_LAG_US);
                }
            }
            FaultKind::LeavingReplica { replica } => {
                self.leaving_since_us[replica] = Some(self.now_us);
                let event = EventKind::VmListChanges {
                    replica,
                    is_live: false,
                };
                self.schedule(VM_LIST_LAG_US, event);
            }
            FaultKind::BusyWorkspace { .. } => {}
            FaultKind::DelayedUpdates { delay_ms } => {
                self.extra_lag_us = delay_ms * MICROS_PER_MILLI;
            }
        }
    }

    pub(super) fn fault_ends(&mut self, fault: usize) {
        match self.scenario.faults[fault].kind {
            FaultKind::SlowReplica { replica, .. } => self.engines[replica].slow_factor = 1.0,
            FaultKind::DeadReplica { replica } => self.revive(replica),
            FaultKind::Outage => {
                for replica in 0..self.engines.len() {
                    self.revive(replica);
                }
            }
            FaultKind::LeavingReplica { replica } => {
                self.kill(replica, VM_LIST_LAG_US);
                self.leaving_since_us[replica] = None;
                self.revive(replica);
            }
            FaultKind::BusyWorkspace { .. } => {}
            FaultKind::DelayedUpdates { .. } => self.extra_lag_us = 0,
        }
    }

    pub(super) fn kill(&mut self, replica: usize, lag_us: u64) {
        for (call, attempt) in self.engines[replica].kill() {
            let event = EventKind::CallEnds {
                call,
                attempt,
                outcome: CallOutcome::Failed,
            };
            self.schedule(NETWORK_US, event);
        }
        let event = EventKind::VmListChanges {
            replica,
            is_live: false,
        };
        self.schedule(lag_us, event);
    }

    pub(super) fn revive(&mut self, replica: usize) {
        self.engines[replica].is_dead = false;
        let event = EventKind::VmListChanges {
            replica,
            is_live: true,
        };
        self.schedule(VM_LIST_LAG_US, event);
    }

    pub(super) fn vm_list_changes(&mut self, replica: usize, is_live: bool) {
        let status = if is_live {
            ReplicaStatus::Live
        } else {
            ReplicaStatus::Leaving
        };
        for daemon in 0..self.daemons.len() {
            let state = &mut self.daemons[daemon];
            state.baseline.is_live[replica] = is_live;
            state
                .replica_set
                .set_status(state.replica_keys[replica], status);
            self.dispatch_queued(daemon);
        }
    }
}
