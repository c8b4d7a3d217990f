//! What each workspace has been served.

use ibisdale_core::TimeStamp;
use slotmap::{SlotMap, new_key_type};

use super::recent::RecentSum;

/// Least weight of a workspace.
const WEIGHT_MIN: f64 = 1e-6;
/// Calls waiting from which a workspace may count as over its share.
const BACKLOG_CALLS_MIN: usize = 12;
/// Backlog over that of the others, by weight, from which it does.
const OVER_SHARE_RATIO: f64 = 3.0;
/// Backlog over that of the others below which it no longer does.
const WITHIN_SHARE_RATIO: f64 = 1.5;

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
    /// Tokens lately served.
    recently_served: RecentSum,
    is_over_share: bool,
}

/// Virtual counters of service, one a workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareTable {
    shares: SlotMap<ShareKey, ShareState>,
    /// Counter of the workspace served last.
    floor: f64,
    total_weight: f64,
    total_waiting: usize,
    total_served: RecentSum,
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
            recently_served: RecentSum::default(),
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
        }
        self.update_over_share(key);
    }

    pub(crate) fn dequeue(&mut self, key: ShareKey, tokens: u64) {
        if let Some(share) = self.shares.get_mut(key) {
            share.waiting -= 1;
            share.waiting_tokens -= tokens;
            self.total_waiting -= 1;
        }
        self.update_over_share(key);
    }

    /// Adds service; negative when less was used than charged before.
    pub(crate) fn charge(&mut self, key: ShareKey, tokens: f64) {
        if let Some(share) = self.shares.get_mut(key) {
            share.served += tokens / share.weight;
        }
    }

    /// Decides whether a workspace, whose backlog has changed, has far more
    /// waiting for its weight than the others have.
    fn update_over_share(&mut self, key: ShareKey) {
        let Some(share) = self.shares.get_mut(key) else {
            return;
        };
        let others = count_as_f64(self.total_waiting - share.waiting);
        let others_backlog = others / (self.total_weight - share.weight).max(WEIGHT_MIN);
        let (calls_min, ratio) = if share.is_over_share {
            (BACKLOG_CALLS_MIN / 4, WITHIN_SHARE_RATIO)
        } else {
            (BACKLOG_CALLS_MIN, OVER_SHARE_RATIO)
        };
        share.is_over_share =
            share.waiting >= calls_min && share.backlog() >= others_backlog * ratio;
    }

    pub(crate) fn serve(&mut self, key: ShareKey, tokens: f64, now: TimeStamp) {
        if let Some(share) = self.shares.get_mut(key) {
            share.recently_served.add(tokens, now);
            self.total_served.add(tokens, now);
        }
    }

    /// Returns whether a workspace has far more waiting than the others and has
    /// lately been served at least its share.
    pub(crate) fn is_over_share(&self, key: ShareKey, now: TimeStamp) -> bool {
        self.shares.get(key).is_some_and(|share| {
            let fair = self.total_served.get(now) * share.weight / self.total_weight;
            share.is_over_share && share.recently_served.get(now) >= fair
        })
    }

    /// Iterates over the waiting workspaces, the one served least for its
    /// weight first.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = ShareKey> + '_ {
        let mut waiting: Vec<(f64, ShareKey)> = self
            .shares
            .iter()
            .filter(|(_, share)| share.waiting > 0)
            .map(|(key, share)| (share.served, key))
            .collect();
        waiting.sort_unstable_by(|left, right| left.0.total_cmp(&right.0));
        waiting.into_iter().map(|(_, key)| key)
    }

    /// Returns the workspace with the most calls waiting for its weight.
    pub(crate) fn most_waiting(&self) -> Option<ShareKey> {
        self.shares
            .iter()
            .filter(|(_, share)| share.waiting > 0)
            .max_by(|(_, left), (_, right)| left.backlog().total_cmp(&right.backlog()))
            .map(|(key, _)| key)
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
            .shares
            .iter()
            .filter(|(other, share)| *other != key && share.waiting > 0)
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
