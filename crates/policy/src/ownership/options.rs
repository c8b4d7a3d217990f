//! Options of the machine.

use std::net::SocketAddr;
use std::time::Duration;

use ibisdale_core::{DaemonName, SLOT_COUNT};

use crate::journal::JournalLimits;

/// What a daemon tells others about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonProfile {
    /// Its name.
    pub name: DaemonName,
    /// Where other daemons reach it.
    pub fleet_address: SocketAddr,
    /// Where callers reach it.
    pub entry_address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
}

/// Options of ownership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipOptions {
    pub(crate) profile: DaemonProfile,
    pub(crate) slot_count: u16,
    pub(crate) seed: u64,
    pub(crate) lease_ttl: Duration,
    pub(crate) batch_slots: usize,
    pub(crate) settle_delay: Duration,
    pub(crate) window_per_slot: Duration,
    pub(crate) batch_interval: Duration,
    pub(crate) rebalance_delay: Duration,
    pub(crate) journal: JournalLimits,
}

/// Most slots in a write: with the other keys it stays under the service's limit.
const BATCH_SLOTS_MAX: usize = 48;

impl OwnershipOptions {
    /// Creates options with the default times.
    #[must_use]
    pub fn new(profile: DaemonProfile, seed: u64) -> Self {
        Self {
            profile,
            slot_count: SLOT_COUNT,
            seed,
            lease_ttl: Duration::from_secs(12),
            batch_slots: 32,
            settle_delay: Duration::from_millis(500),
            window_per_slot: Duration::from_millis(5),
            batch_interval: Duration::from_millis(200),
            rebalance_delay: Duration::from_secs(5),
            journal: JournalLimits::default(),
        }
    }

    /// Sets the number of slots, at most [`SLOT_COUNT`]; the same in all daemons.
    #[must_use]
    pub fn slot_count(mut self, count: u16) -> Self {
        self.slot_count = count.min(SLOT_COUNT);
        self
    }

    /// Sets the lease's time to live; it is renewed three times in it.
    #[must_use]
    pub fn lease_ttl(mut self, ttl: Duration) -> Self {
        self.lease_ttl = ttl;
        self
    }

    /// Sets the most slots that one write takes or gives up, from 1 to 48.
    #[must_use]
    pub fn batch_slots(mut self, slots: usize) -> Self {
        self.batch_slots = slots.clamp(1, BATCH_SLOTS_MAX);
        self
    }

    /// Sets the least time between the loss of an owner and a takeover.
    #[must_use]
    pub fn settle_delay(mut self, delay: Duration) -> Self {
        self.settle_delay = delay;
        self
    }

    /// Sets the time over which takeovers are spread, for each slot without owner.
    #[must_use]
    pub fn window_per_slot(mut self, window: Duration) -> Self {
        self.window_per_slot = window;
        self
    }

    /// Sets the mean time between two batches of one daemon.
    #[must_use]
    pub fn batch_interval(mut self, interval: Duration) -> Self {
        self.batch_interval = interval;
        self
    }

    /// Sets the time after which slots beyond a daemon's share are given up.
    #[must_use]
    pub fn rebalance_delay(mut self, delay: Duration) -> Self {
        self.rebalance_delay = delay;
        self
    }

    /// Sets the limits of the journal.
    #[must_use]
    pub fn journal(mut self, limits: JournalLimits) -> Self {
        self.journal = limits;
        self
    }

    /// Returns what the daemon tells others about itself.
    #[must_use]
    pub fn get_profile(&self) -> &DaemonProfile {
        &self.profile
    }

    /// Returns the lease's time to live.
    #[must_use]
    pub fn get_lease_ttl(&self) -> Duration {
        self.lease_ttl
    }

    pub(crate) fn renew_interval(&self) -> Duration {
        self.lease_ttl / 3
    }
}
