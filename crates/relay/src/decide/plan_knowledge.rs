//! What a VM knows of the configuration in force: whether it was the newest, as of when, and since when
//! it is outdated.
//!
//! Load: one report from each of the other VMs in each pass of gossip rounds, changes in quick
//! succession, of which a VM may get some late, and VMs that serve nobody while they name the newest
//! version.

use std::time::Duration;

/// Maximum number of versions that are remembered; of more, the newest replaces the one before.
const HEARD_MAX: usize = 16;
/// Time after which a newer version that no VM has named again counts as lost with the VMs that had
/// it; several passes of gossip rounds.
const HEARD_RETENTION: Duration = Duration::from_secs(5);

/// A version that another VM has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeardVersion {
    version: u64,
    heard_at: Duration,
    /// Latest time as of which it was the newest.
    confirmed_at: Option<Duration>,
}

/// Versions of the configuration as this VM knows them; times are since boot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlanKnowledge {
    in_force: u64,
    /// Latest time as of which no newer version existed.
    confirmed_at: Option<Duration>,
    /// Newer versions, in order.
    heard: Vec<HeardVersion>,
    /// When a newer version was heard of last.
    last_heard_at: Duration,
}

impl PlanKnowledge {
    /// Records that a VM has a version in force, and the time as of which it was the newest, if that
    /// VM knows one; returns whether it is newer than all versions known so far.
    pub fn record_report(
        &mut self,
        version: u64,
        confirmed_at: Option<Duration>,
        now: Duration,
    ) -> bool {
        if version <= self.in_force {
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
            return false;
        }
        self.last_heard_at = now;
        if let Some(known) = self.heard.iter_mut().find(|known| known.version == version) {
            known.confirmed_at = known.confirmed_at.max(confirmed_at);
            return false;
        }
        if self
            .heard
            .last()
            .is_some_and(|newest| newest.version > version)
        {
            return false;
        }
        if self.heard.len() == HEARD_MAX {
            self.heard.pop();
        }
        self.heard.push(HeardVersion {
            version,
            heard_at: now,
            confirmed_at,
        });
        true
    }

    /// Records that a version took effect at this VM; returns when it was first known that the
    /// one before is outdated, if it was.
    pub fn record_in_force(&mut self, version: u64) -> Option<Duration> {
        let outdated_at = self.outdated_at();
        self.in_force = self.in_force.max(version);
        let in_force = self.heard.extract_if(.., |known| known.version <= version);
        let confirmed_at = in_force.filter_map(|known| known.confirmed_at).max();
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        outdated_at
    }

    /// Records that the key-value service has confirmed to this VM that no newer version exists.
    pub fn record_confirmed(&mut self, now: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(now));
    }

    /// Returns the time since which a newer version may exist; `None` if never confirmed.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Returns since when a version newer than the one in force is known; `None` if there is none.
    #[must_use]
    pub fn outdated_at(&self) -> Option<Duration> {
        self.heard.iter().map(|known| known.heard_at).min()
    }

    /// Returns whether the version in force proves that a key or a route does not exist: it was the
    /// newest at most `max_age` ago.
    #[must_use]
    pub fn is_current(&self, max_age: Duration, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) <= max_age;
        self.heard.is_empty() && self.confirmed_at.is_some_and(is_recent)
    }

    /// Returns whether requests must not be served by the version in force: it has been outdated for
    /// longer than `max_time`, and other VMs have a newer one.
    #[must_use]
    pub fn is_outdated(&self, max_time: Duration, now: Duration) -> bool {
        let is_available = now.saturating_sub(self.last_heard_at) <= HEARD_RETENTION;
        let outdated_at = self.outdated_at();
        is_available && outdated_at.is_some_and(|at| now.saturating_sub(at) > max_time)
    }
}
