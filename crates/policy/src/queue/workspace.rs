//! Weighted service accounting for each workspace.

use std::collections::BTreeSet;

use ibisdale_core::TimeStamp;
use slotmap::{SlotMap, new_key_type};

use super::decaying_sum::DecayingSum;

/// Minimum weight of a workspace; avoids division by zero.
const WEIGHT_MIN: f64 = 1e-6;
/// Minimum demand, in waiting and recently sent calls, at which a workspace may
/// be marked as having excess demand; a marked one stays marked down to half of this.
const EXCESS_DEMAND_CALLS_MIN: f64 = 24.0;
/// Ratio of a workspace's demand per weight to that of the others at which it is
/// marked as having excess demand.
const EXCESS_DEMAND_RATIO: f64 = 2.3;
/// Ratio below which the mark is cleared; lower than [`EXCESS_DEMAND_RATIO`] for
/// hysteresis.
const EXCESS_DEMAND_END_RATIO: f64 = 1.4;
/// Minimum fraction of recently sent calls that come from other workspaces; below
/// it, a workspace counts as the only user and is not limited.
const OTHERS_FRACTION_MIN: f64 = 0.1;
/// Fraction of its fair share that a workspace receives before it is limited for
/// being over its share.
const GUARANTEED_FRACTION: f64 = 0.7;

new_key_type! {
    /// Identifies a workspace within a [`FairQueue`](crate::FairQueue).
    pub struct WorkspaceKey;
}

/// Weight, backlog and received service of a workspace.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceState {
    weight: f64,
    /// Tokens served, divided by the weight.
    normalized_service: f64,
    /// Number of waiting calls.
    pub(crate) waiting: usize,
    /// Expected tokens of the waiting calls.
    pub(crate) waiting_tokens: u64,
    /// Recently sent calls.
    sent: DecayingSum,
    has_excess_demand: bool,
}

/// Service accounting of all workspaces, as in weighted fair queueing.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceTable {
    workspaces: SlotMap<WorkspaceKey, WorkspaceState>,
    /// Workspaces that have waiting calls.
    active: BTreeSet<WorkspaceKey>,
    /// Largest normalized service of any workspace at the time it was served.
    virtual_time: f64,
    total_weight: f64,
    total_waiting: usize,
    total_sent: DecayingSum,
}

impl WorkspaceTable {
    pub(crate) fn insert(&mut self, weight: f64) -> WorkspaceKey {
        let weight = sanitize_weight(weight);
        self.total_weight += weight;
        self.workspaces.insert(WorkspaceState {
            weight,
            normalized_service: self.virtual_time,
            waiting: 0,
            waiting_tokens: 0,
            sent: DecayingSum::default(),
            has_excess_demand: false,
        })
    }

    pub(crate) fn set_weight(&mut self, key: WorkspaceKey, weight: f64) {
        if let Some(workspace) = self.workspaces.get_mut(key) {
            self.total_weight -= workspace.weight;
            workspace.weight = sanitize_weight(weight);
            self.total_weight += workspace.weight;
        }
    }

    pub(crate) fn remove(&mut self, key: WorkspaceKey) {
        if let Some(workspace) = self.workspaces.remove(key) {
            self.total_weight -= workspace.weight;
            self.total_waiting -= workspace.waiting;
            self.active.remove(&key);
        }
    }

    pub(crate) fn get(&self, key: WorkspaceKey) -> Option<&WorkspaceState> {
        self.workspaces.get(key)
    }

    /// Records a new waiting call.
    ///
    /// The normalized service of an idle workspace is raised to the virtual time,
    /// so that it accumulates no credit while it has no calls waiting.
    pub(crate) fn enqueue(&mut self, key: WorkspaceKey, tokens: u64) {
        let virtual_time = self.virtual_time;
        if let Some(workspace) = self.workspaces.get_mut(key) {
            if workspace.waiting == 0 {
                workspace.normalized_service = workspace.normalized_service.max(virtual_time);
            }
            workspace.waiting += 1;
            workspace.waiting_tokens += tokens;
            self.total_waiting += 1;
            self.active.insert(key);
        }
    }

    pub(crate) fn dequeue(&mut self, key: WorkspaceKey, tokens: u64) {
        if let Some(workspace) = self.workspaces.get_mut(key) {
            workspace.waiting -= 1;
            workspace.waiting_tokens -= tokens;
            self.total_waiting -= 1;
            if workspace.waiting == 0 {
                self.active.remove(&key);
            }
        }
    }

    /// Adds tokens to the service received; negative to return an overcharge.
    pub(crate) fn charge(&mut self, key: WorkspaceKey, tokens: f64) {
        if let Some(workspace) = self.workspaces.get_mut(key) {
            workspace.normalized_service += tokens / workspace.weight;
        }
    }

    /// Updates whether the workspace's demand per weight, in waiting and recently
    /// sent calls, far exceeds that of the other workspaces.
    pub(crate) fn update_excess_demand(&mut self, key: WorkspaceKey, now: TimeStamp) {
        let total = count_as_f64(self.total_waiting) + self.total_sent.get(now);
        let Some(workspace) = self.workspaces.get_mut(key) else {
            return;
        };
        let own = count_as_f64(workspace.waiting) + workspace.sent.get(now);
        let others_weight = (self.total_weight - workspace.weight).max(WEIGHT_MIN);
        let others = (total - own).max(0.0) / others_weight;
        let (calls_min, ratio) = if workspace.has_excess_demand {
            (EXCESS_DEMAND_CALLS_MIN / 2.0, EXCESS_DEMAND_END_RATIO)
        } else {
            (EXCESS_DEMAND_CALLS_MIN, EXCESS_DEMAND_RATIO)
        };
        workspace.has_excess_demand = own >= calls_min && own / workspace.weight >= others * ratio;
    }

    pub(crate) fn record_sent(&mut self, key: WorkspaceKey, now: TimeStamp) {
        if let Some(workspace) = self.workspaces.get_mut(key) {
            workspace.sent.add(1.0, now);
            self.total_sent.add(1.0, now);
        }
    }

    /// Returns whether a workspace's demand far exceeds that of the others and it
    /// has recently received its guaranteed service.
    pub(crate) fn is_over_share(&self, key: WorkspaceKey, now: TimeStamp) -> bool {
        self.workspaces.get(key).is_some_and(|workspace| {
            let total = self.total_sent.get(now);
            let own = workspace.sent.get(now);
            let fair = total * workspace.weight / self.total_weight;
            let is_only_user = total - own < total * OTHERS_FRACTION_MIN;
            workspace.has_excess_demand && !is_only_user && own >= fair * GUARANTEED_FRACTION
        })
    }

    /// Iterates over the workspaces with waiting calls, in increasing order of
    /// normalized service.
    pub(crate) fn by_normalized_service(&self) -> impl Iterator<Item = WorkspaceKey> + '_ {
        let mut waiting: Vec<(f64, WorkspaceKey)> = self
            .active_workspaces()
            .map(|(key, workspace)| (workspace.normalized_service, key))
            .collect();
        waiting
            .sort_unstable_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        waiting.into_iter().map(|(_, key)| key)
    }

    /// Returns the workspace with the most waiting calls per weight.
    pub(crate) fn largest_backlog(&self) -> Option<WorkspaceKey> {
        self.active_workspaces()
            .max_by(|(_, left), (_, right)| {
                left.normalized_backlog()
                    .total_cmp(&right.normalized_backlog())
            })
            .map(|(key, _)| key)
    }

    fn active_workspaces(&self) -> impl Iterator<Item = (WorkspaceKey, &WorkspaceState)> {
        self.active
            .iter()
            .filter_map(|key| Some((*key, self.workspaces.get(*key)?)))
    }

    pub(crate) fn advance_virtual_time(&mut self, key: WorkspaceKey) {
        if let Some(workspace) = self.workspaces.get(key) {
            self.virtual_time = self.virtual_time.max(workspace.normalized_service);
        }
    }

    /// Returns the fraction of the total service that a workspace receives while the
    /// set of workspaces with waiting calls does not change.
    pub(crate) fn service_fraction(&self, key: WorkspaceKey) -> f64 {
        let Some(own) = self.workspaces.get(key) else {
            return 1.0;
        };
        let others: f64 = self
            .active_workspaces()
            .filter(|(other, _)| *other != key)
            .map(|(_, workspace)| workspace.weight)
            .sum();
        own.weight / (own.weight + others)
    }
}

impl WorkspaceState {
    /// Returns the number of waiting calls per weight.
    pub(crate) fn normalized_backlog(&self) -> f64 {
        count_as_f64(self.waiting) / self.weight
    }
}

fn count_as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Replaces a weight that is not finite by 1 and raises small ones to the minimum.
fn sanitize_weight(weight: f64) -> f64 {
    if weight.is_finite() {
        weight.max(WEIGHT_MIN)
    } else {
        1.0
    }
}
