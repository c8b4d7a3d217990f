//! What each workspace has been served.

use std::collections::BTreeSet;

use ibisdale_core::TimeStamp;
use slotmap::{SlotMap, new_key_type};

use super::recent::RecentSum;

/// Least weight of a workspace.
const WEIGHT_MIN: f64 = 1e-6;
/// Calls waiting and lately sent from which a workspace may count as over its
/// share.
const DEMAND_CALLS_MIN: f64 = 24.0;
/// Demand over that of the others, by weight, from which it does.
const OVER_SHARE_RATIO: f64 = 2.3;
/// Demand over that of the others below which it no longer does.
const WITHIN_SHARE_RATIO: f64 = 1.4;
/// Part of the calls lately sent that are others', below which a workspace
/// counts as alone.
const PROTECTED_PART_MIN: f64 = 0.1;
/// Part of its fair service that a workspace over its share always gets.
const GUARANTEED_PART: f64 = 0.7;

new_key_type! {
    /// Names a workspace within a [`FairQueue`](crate::FairQueue).
    pub struct ShareKey;
}

/// A workspace's weight and the service it got.
#[derive(Clone, Debug)]
pub(crate) struct ShareState {
    weight: f64,
    /// Tokens served, divided by the weight.
    served: f64,
    /// Calls waiting.
    pub(crate) waiting: usize,
    /// Tokens expected of the waiting calls.
    pub(crate) waiting_tokens: u64,
    /// Calls lately sent.
    sent: RecentSum,
    is_over_share: bool,
}

/// Virtual counters of service, one a workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareTable {
    shares: SlotMap<ShareKey, ShareState>,
    /// Workspaces with calls waiting.
    active: BTreeSet<ShareKey>,
    /// Counter of the workspace served last.
    floor: f64,
    total_weight: f64,
    total_waiting: usize,
    total_sent: RecentSum,
}

impl ShareTable {
    pub(crate) fn insert(&mut self, weight: f64) -> ShareKey {
        let weight = sane_weight(weight);
        self.total_weight += weight;
        self.shares.insert(ShareState {
            weight,
            served: self.floor,
            waiting: 0,
            waiting_tokens: 0,
            sent: RecentSum::default(),
            is_over_share: false,
        })
    }

    pub(crate) fn set_weight(&mut self, key: ShareKey, weight: f64) {
        if let Some(share) = self.shares.get_mut(key) {
            self.total_weight -= share.weight;
            share.weight = sane_weight(weight);
            self.total_weight += share.weight;
        }
    }

    pub(crate) fn remove(&mut self, key: ShareKey) {
        if let Some(share) = self.shares.remove(key) {
            self.total_weight -= share.weight;
            self.total_waiting -= share.waiting;
            self.active.remove(&key);
        }
    }

    pub(crate) fn get(&self, key: ShareKey) -> Option<&ShareState> {
        self.shares.get(key)
    }

    /// Notes a new waiting call. A workspace that had none waiting does not
    /// bring along service that it did not ask for in the past.
    pub(crate) fn enqueue(&mut self, key: ShareKey, tokens: u64) {
        let floor = self.floor;
        if let Some(share) = self.shares.get_mut(key) {
            if share.waiting == 0 {
                share.served = share.served.max(floor);
            }
            share.waiting += 1;
            share.waiting_tokens += tokens;
            self.total_waiting += 1;
            self.active.insert(key);
        }
    }

    pub(crate) fn dequeue(&mut self, key: ShareKey, tokens: u64) {
        if let Some(share) = self.shares.get_mut(key) {
            share.waiting -= 1;
            share.waiting_tokens -= tokens;
            self.total_waiting -= 1;
            if share.waiting == 0 {
                self.active.remove(&key);
            }
        }
    }

    /// Adds service; negative when less was used than charged before.
    pub(crate) fn charge(&mut self, key: ShareKey, tokens: f64) {
        if let Some(share) = self.shares.get_mut(key) {
            share.served += tokens / share.weight;
        }
    }

    /// Decides whether a workspace has far more calls waiting and lately sent,
    /// for its weight, than the others have.
    pub(crate) fn update_over_share(&mut self, key: ShareKey, now: TimeStamp) {
        let total = count_as_f64(self.total_waiting) + self.total_sent.get(now);
        let Some(share) = self.shares.get_mut(key) else {
            return;
        };
        let own = count_as_f64(share.waiting) + share.sent.get(now);
        let others_weight = (self.total_weight - share.weight).max(WEIGHT_MIN);
        let others = (total - own).max(0.0) / others_weight;
        let (calls_min, ratio) = if share.is_over_share {
            (DEMAND_CALLS_MIN / 2.0, WITHIN_SHARE_RATIO)
        } else {
            (DEMAND_CALLS_MIN, OVER_SHARE_RATIO)
        };
        share.is_over_share = own >= calls_min && own / share.weight >= others * ratio;
    }

    pub(crate) fn record_sent(&mut self, key: ShareKey, now: TimeStamp) {
        if let Some(share) = self.shares.get_mut(key) {
            share.sent.add(1.0, now);
            self.total_sent.add(1.0, now);
        }
    }

    /// Returns whether a workspace has far more demand than the others and has
    /// lately been served what it is guaranteed.
    pub(crate) fn is_over_share(&self, key: ShareKey, now: TimeStamp) -> bool {
        self.shares.get(key).is_some_and(|share| {
            let total = self.total_sent.get(now);
            let own = share.sent.get(now);
            let fair = total * share.weight / self.total_weight;
            let is_alone = total - own < total * PROTECTED_PART_MIN;
            share.is_over_share && !is_alone && own >= fair * GUARANTEED_PART
        })
    }

    /// Iterates over the waiting workspaces, the one served least for its
    /// weight first.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = ShareKey> + '_ {
        let mut waiting: Vec<(f64, ShareKey)> = self
            .active_shares()
            .map(|(key, share)| (share.served, key))
            .collect();
        waiting
            .sort_unstable_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        waiting.into_iter().map(|(_, key)| key)
    }

    /// Returns the workspace with the most calls waiting for its weight.
    pub(crate) fn most_waiting(&self) -> Option<ShareKey> {
        self.active_shares()
            .max_by(|(_, left), (_, right)| left.backlog().total_cmp(&right.backlog()))
            .map(|(key, _)| key)
    }

    fn active_shares(&self) -> impl Iterator<Item = (ShareKey, &ShareState)> {
        self.active
            .iter()
            .filter_map(|key| Some((*key, self.shares.get(*key)?)))
    }

    pub(crate) fn raise_floor(&mut self, key: ShareKey) {
        if let Some(share) = self.shares.get(key) {
            self.floor = self.floor.max(share.served);
        }
    }

    /// Returns the part of the service that a workspace gets while those now
    /// waiting go on waiting.
    pub(crate) fn fraction(&self, key: ShareKey) -> f64 {
        let Some(own) = self.shares.get(key) else {
            return 1.0;
        };
        let others: f64 = self
            .active_shares()
            .filter(|(other, _)| *other != key)
            .map(|(_, share)| share.weight)
            .sum();
        own.weight / (own.weight + others)
    }
}

impl ShareState {
    pub(crate) fn backlog(&self) -> f64 {
        count_as_f64(self.waiting) / self.weight
    }
}

fn count_as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn sane_weight(weight: f64) -> f64 {
    if weight.is_finite() {
        weight.max(WEIGHT_MIN)
    } else {
        1.0
    }
}
