//! Software versions that replicas were recently listed with.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::replicas::ReplicaInfo;

/// Age of the last confirmation of the feed up to which the list of replicas counts as
/// current; two waits of its watch.
const LIST_MAX_AGE: Duration = Duration::from_secs(2);
/// Time after a suspension of this VM in which the other VMs it takes for live may have
/// fallen silent; several rounds of the exchange between VMs.
const HEARD_AGAIN_AFTER: Duration = Duration::from_millis(1_500);

/// Contact of this VM to the key-value service and to the other VMs.
#[derive(Clone, Copy, Debug)]
pub struct FleetContact {
    /// Time since the key-value service last confirmed its state to any VM.
    pub feed_age: Option<Duration>,
    /// Time since this VM was last suspended, if it ever was.
    pub since_resume: Option<Duration>,
    /// Number of known other VMs.
    pub known: usize,
    /// Number of those that are silent.
    pub silent: usize,
}

impl FleetContact {
    /// Returns whether no VM can have used a newer list of replicas for long: the key-value
    /// service responded recently, or most other VMs send heartbeats.
    #[must_use]
    pub fn has_current_list(&self) -> bool {
        let is_fresh = self.feed_age.is_some_and(|age| age <= LIST_MAX_AGE);
        let is_hearing = self
            .since_resume
            .is_none_or(|elapsed| elapsed > HEARD_AGAIN_AFTER);
        is_fresh || (is_hearing && 2 * self.silent < self.known)
    }
}

/// Service and software version whose replica sent, or may have sent, the first event of a
/// stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct StreamOrigin {
    /// Service that the stream began at.
    pub service: Bytes,
    /// Software version of the replica that it began at.
    pub software_version: Bytes,
}

/// Software versions of each service, with those that are no longer listed.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Start of the time for which the history is complete, in milliseconds; `None` until
    /// there is a list.
    complete_since_ms: Option<u64>,
    services: HashMap<Bytes, Vec<ListedVersion>>,
}

#[derive(Clone, Debug)]
struct ListedVersion {
    software_version: Bytes,
    /// When its last replica was removed from the list; `None` while one is listed.
    removed_ms: Option<u64>,
}

impl VersionHistory {
    /// Creates a history that is complete from the start, for a system that starts for the
    /// first time.
    #[must_use]
    pub fn complete() -> Self {
        Self {
            complete_since_ms: Some(0),
            services: HashMap::new(),
        }
    }

    /// Records a new list of replicas.
    pub fn record_list<'a>(
        &mut self,
        replicas: impl Iterator<Item = &'a ReplicaInfo>,
        now_ms: u64,
    ) {
        self.complete_since_ms.get_or_insert(now_ms);
        for version in self.services.values_mut().flatten() {
            version.removed_ms.get_or_insert(now_ms);
        }
        for replica in replicas {
            let versions = self.services.entry(replica.service.clone()).or_default();
            let mut known = versions.iter_mut();
            if let Some(version) =
                known.find(|version| version.software_version == replica.software_version)
            {
                version.removed_ms = None;
            } else {
                versions.push(ListedVersion {
                    software_version: replica.software_version.clone(),
                    removed_ms: None,
                });
            }
        }
    }

    /// Adds the origins that streams may have according to a record from before the start of
    /// this VM, which makes the history complete.
    pub fn restore(&mut self, recorded: Vec<StreamOrigin>, now_ms: u64) {
        for origin in recorded {
            let versions = self.services.entry(origin.service).or_default();
            let mut known = versions.iter();
            if !known.any(|version| version.software_version == origin.software_version) {
                versions.push(ListedVersion {
                    software_version: origin.software_version,
                    removed_ms: Some(now_ms),
                });
            }
        }
        self.complete_since_ms = Some(0);
    }

    /// Returns the origins that streams of the last `window_ms` may have, in order; `None` if
    /// the history is too short to tell.
    #[must_use]
    pub fn possible_origins(&self, window_ms: u64, now_ms: u64) -> Option<Vec<StreamOrigin>> {
        if !self.is_complete(window_ms, now_ms) {
            return None;
        }
        let mut origins = Vec::new();
        for (service, versions) in &self.services {
            let recent = versions
                .iter()
                .filter(|version| version.was_listed_within(window_ms, now_ms));
            origins.extend(recent.map(|version| StreamOrigin {
                service: service.clone(),
                software_version: version.software_version.clone(),
            }));
        }
        origins.sort_unstable();
        Some(origins)
    }

    fn is_complete(&self, window_ms: u64, now_ms: u64) -> bool {
        self.complete_since_ms
            .is_some_and(|since_ms| since_ms == 0 || now_ms.saturating_sub(since_ms) >= window_ms)
    }

    /// Removes the versions that have not been listed for `window_ms`.
    pub fn expire(&mut self, window_ms: u64, now_ms: u64) {
        for versions in self.services.values_mut() {
            versions.retain(|version| version.was_listed_within(window_ms, now_ms));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Returns the software version of a service if it is the only one that was listed in
    /// the last `window_ms`; `None` if there were several, none, or the history is too short
    /// to tell.
    #[must_use]
    pub fn sole_version(&self, service: &[u8], window_ms: u64, now_ms: u64) -> Option<&Bytes> {
        if !self.is_complete(window_ms, now_ms) {
            return None;
        }
        let versions = self.services.get(service)?;
        let mut recent = versions
            .iter()
            .filter(|version| version.was_listed_within(window_ms, now_ms));
        let first = recent.next()?;
        recent.next().is_none().then_some(&first.software_version)
    }
}

impl ListedVersion {
    fn was_listed_within(&self, window_ms: u64, now_ms: u64) -> bool {
        self.removed_ms
            .is_none_or(|removed_ms| now_ms.saturating_sub(removed_ms) < window_ms)
    }
}
