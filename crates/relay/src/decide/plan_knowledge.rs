//! What a VM knows of versions of the configuration beyond the one that it has in force.
//!
//! Load: one report from each of the other VMs in each pass of gossip rounds, and changes in quick
//! succession, of which a VM may get some late.

use std::time::Duration;

/// Maximum number of versions that are remembered; of more, the newest replaces the one before.
const HEARD_MAX: usize = 16;

/// Versions that other VMs have in force and this one does not; times are since boot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlanKnowledge {
    in_force: u64,
    /// Newer versions and when they were first heard of, by version.
    heard: Vec<(u64, Duration)>,
}

impl PlanKnowledge {
    /// Records the version that another VM has in force; returns whether it is newer than all
    /// versions known so far.
    pub fn record_heard(&mut self, version: u64, now: Duration) -> bool {
        let newest = self
            .heard
            .last()
            .map_or(self.in_force, |(newest, _)| *newest);
        if version <= newest {
            return false;
        }
        if self.heard.len() == HEARD_MAX {
            self.heard.pop();
        }
        self.heard.push((version, now));
        true
    }

    /// Records that a version took effect at this VM; returns when it was first known that the
    /// one before is outdated, if it was.
    pub fn record_in_force(&mut self, version: u64) -> Option<Duration> {
        let outdated_at = self.outdated_at();
        self.in_force = self.in_force.max(version);
        self.heard.retain(|(heard, _)| *heard > version);
        outdated_at
    }

    /// Returns since when a version newer than the one in force is known; `None` if there is none.
    #[must_use]
    pub fn outdated_at(&self) -> Option<Duration> {
        self.heard.iter().map(|(_, heard_at)| *heard_at).min()
    }
}
