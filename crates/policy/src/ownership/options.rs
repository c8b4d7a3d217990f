//! Options of slot ownership.

use std::net::SocketAddr;
use std::time::Duration;

use ibisdale_core::{DaemonName, SLOT_COUNT};

use crate::journal::JournalLimits;

/// Name, addresses and failure domain that a daemon publishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonProfile {
    /// Name of the daemon.
    pub name: DaemonName,
    /// Address for other daemons.
    pub fleet_address: SocketAddr,
    /// Address for callers.
    pub entry_address: SocketAddr,
    /// Failure domain of the daemon.
    pub failure_domain: String,
}

/// Options of [`OwnershipMachine`](super::OwnershipMachine).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipOptions {
    pub(crate) profile: DaemonProfile,
    pub(crate) slot_count: u16,
    pub(crate) seed: u64,
    pub(crate) lease_ttl: Duration,
    pub(crate) batch_slots: usize,
    pub(crate) takeover_delay: Duration,
    pub(crate) takeover_window_per_slot: Duration,
    pub(crate) batch_interval: Duration,
    pub(crate) rebalance_delay: Duration,
    pub(crate) journal_limits: JournalLimits,
}

/// Maximum number of slots in one write. With the daemon and journal keys, the write
/// stays within the key-value service's limit on a transaction.
const BATCH_SLOTS_MAX: usize = 48;

impl OwnershipOptions {
    /// Creates options with default values; `seed` seeds the random delays, nonces
    /// and lease identifiers.
    #[must_use]
    pub fn new(profile: DaemonProfile, seed: u64) -> Self {
        Self {
            profile,
            slot_count: SLOT_COUNT,
            seed,
            lease_ttl: Duration::from_secs(12),
            batch_slots: 32,
            takeover_delay: Duration::from_millis(500),
            takeover_window_per_slot: Duration::from_millis(5),
            batch_interval: Duration::from_millis(200),
            rebalance_delay: Duration::from_secs(5),
            journal_limits: JournalLimits::default(),
        }
    }

    /// Sets the number of slots, at most [`SLOT_COUNT`]. It must be the same for all
    /// daemons.
    #[must_use]
    pub fn slot_count(mut self, count: u16) -> Self {
        self.slot_count = count.min(SLOT_COUNT);
        self
    }

    /// Sets the lease's time to live. The lease is renewed every third of it.
    #[must_use]
    pub fn lease_ttl(mut self, ttl: Duration) -> Self {
        self.lease_ttl = ttl;
        self
    }

    /// Sets the maximum number of slots that one write takes or releases, from 1 to
    /// 48.
    #[must_use]
    pub fn batch_slots(mut self, slots: usize) -> Self {
        self.batch_slots = slots.clamp(1, BATCH_SLOTS_MAX);
        self
    }

    /// Sets the minimum delay between the loss of an owner and a takeover.
    #[must_use]
    pub fn takeover_delay(mut self, delay: Duration) -> Self {
        self.takeover_delay = delay;
        self
    }

    /// Sets the time per slot without a live owner. Daemons spread their takeovers over
    /// this time multiplied by the number of such slots.
    #[must_use]
    pub fn takeover_window_per_slot(mut self, window: Duration) -> Self {
        self.takeover_window_per_slot = window;
        self
    }

    /// Sets the mean time between two batches of slots that one daemon takes or
    /// releases.
    #[must_use]
    pub fn batch_interval(mut self, interval: Duration) -> Self {
        self.batch_interval = interval;
        self
    }

    /// Sets the mean delay before a daemon starts to release slots beyond its quota,
    /// and the mean time between deletions of journals of ended registrations.
    #[must_use]
    pub fn rebalance_delay(mut self, delay: Duration) -> Self {
        self.rebalance_delay = delay;
        self
    }

    /// Sets the journal limits.
    #[must_use]
    pub fn journal_limits(mut self, limits: JournalLimits) -> Self {
        self.journal_limits = limits;
        self
    }

    /// Returns the profile that the daemon publishes.
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
