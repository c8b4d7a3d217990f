//! What each workspace has been served.

use slotmap::{SlotMap, new_key_type};

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
}

/// Virtual counters of service, one a workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareTable {
    shares: SlotMap<ShareKey, ShareState>,
    /// Counter of the workspace served last.
    floor: f64,
}

impl ShareTable {
    pub(crate) fn insert(&mut self, weight: f64) -> ShareKey {
        self.shares.insert(ShareState {
            weight: sane_weight(weight),
            served: self.floor,
            waiting: 0,
            waiting_tokens: 0,
        })
    }

    pub(crate) fn set_weight(&mut self, key: ShareKey, weight: f64) {
        if let Some(share) = self.shares.get_mut(key) {
            share.weight = sane_weight(weight);
        }
    }

    pub(crate) fn remove(&mut self, key: ShareKey) {
        self.shares.remove(key);
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
        }
    }

    pub(crate) fn dequeue(&mut self, key: ShareKey, tokens: u64) {
        if let Some(share) = self.shares.get_mut(key) {
            share.waiting = share.waiting.saturating_sub(1);
            share.waiting_tokens = share.waiting_tokens.saturating_sub(tokens);
        }
    }

    /// Adds service; negative when less was used than charged before.
    pub(crate) fn charge(&mut self, key: ShareKey, tokens: f64) {
        if let Some(share) = self.shares.get_mut(key) {
            share.served += tokens / share.weight;
        }
    }

    /// Returns the waiting workspace that was served least for its weight.
    pub(crate) fn least_served(&self) -> Option<ShareKey> {
        self.shares
            .iter()
            .filter(|(_, share)| share.waiting > 0)
            .min_by(|(_, left), (_, right)| left.served.total_cmp(&right.served))
            .map(|(key, _)| key)
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
        f64::from(u32::try_from(self.waiting).unwrap_or(u32::MAX)) / self.weight
    }
}

fn sane_weight(weight: f64) -> f64 {
    const WEIGHT_MIN: f64 = 1e-6;
    if weight.is_finite() {
        weight.max(WEIGHT_MIN)
    } else {
        1.0
    }
}
