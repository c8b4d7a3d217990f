//! Where event streams began, so that a stream goes on only where its first events fit.
//!
//! Replicas of several software versions serve side by side, and what two versions
//! generate does not fit together. A caller that takes a stream up at another VM names the
//! client attempt that began it, under which a few VMs have recorded the origin. Load: one
//! record for each stream at those VMs, and lookups that come at once when VMs are lost.

use std::collections::{HashMap, VecDeque};

use super::versions::{StreamOrigin, VersionHistory};
use crate::plan::RouteRule;

/// Hash of the identifier of a client attempt.
pub type AttemptKey = u64;

/// Maximum number of recorded origins, of about 150 bytes each; the oldest are dropped.
const ORIGINS_MAX: usize = 20_000;

/// Origins of recent streams, by the client attempt that brought the first event.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    origins: HashMap<AttemptKey, StreamOrigin>,
    /// Attempts and the times at which they were recorded, oldest first.
    recorded: VecDeque<(u64, AttemptKey)>,
}

impl OriginTable {
    /// Records where a stream began; a later record for the same attempt is ignored.
    pub fn record(&mut self, attempt: AttemptKey, origin: StreamOrigin, now_ms: u64) {
        if self.origins.contains_key(&attempt) {
            return;
        }
        self.origins.insert(attempt, origin);
        self.recorded.push_back((now_ms, attempt));
        if self.recorded.len() > ORIGINS_MAX {
            self.remove_oldest();
        }
    }

    /// Returns where the stream of a client attempt began.
    #[must_use]
    pub fn get(&self, attempt: AttemptKey) -> Option<&StreamOrigin> {
        self.origins.get(&attempt)
    }

    /// Removes the origins that were recorded longer than `retention_ms` ago.
    pub fn expire(&mut self, retention_ms: u64, now_ms: u64) {
        while let Some((recorded_ms, _)) = self.recorded.front()
            && now_ms.saturating_sub(*recorded_ms) > retention_ms
        {
            self.remove_oldest();
        }
    }

    /// Returns the number of recorded origins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no origin is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn remove_oldest(&mut self) {
        if let Some((_, attempt)) = self.recorded.pop_front() {
            self.origins.remove(&attempt);
        }
    }
}

/// Why a stream that a caller takes up can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginRefusal {
    /// No VM that was asked knows where the stream began, and several versions or services
    /// may have begun it.
    Unknown,
    /// The route no longer leads to the service that the stream began at.
    ServiceLeftRoute,
}

/// Decides at which service and version a stream that a caller takes up goes on.
///
/// A stream whose origin is not `known` goes on only if a single version can have begun it by
/// `history` and by `recorded`, the stored record as read since the request arrived. The list
/// of a VM that was out of step lacks the versions that have joined since.
///
/// # Errors
///
/// Fails if the stream must not go on at any replica.
pub fn decide_origin(
    route: &RouteRule,
    known: Option<StreamOrigin>,
    history: &VersionHistory,
    recorded: Option<&[StreamOrigin]>,
    window_ms: u64,
    now_ms: u64,
) -> Result<StreamOrigin, OriginRefusal> {
    if let Some(origin) = known {
        let mut services = route.services.iter();
        let is_on_route = services.any(|candidate| candidate.service == origin.service);
        return is_on_route
            .then_some(origin)
            .ok_or(OriginRefusal::ServiceLeftRoute);
    }
    let [only] = route.services.as_slice() else {
        return Err(OriginRefusal::Unknown);
    };
    let version = history.sole_version(&only.service, window_ms, now_ms);
    let software_version = version.cloned().ok_or(OriginRefusal::Unknown)?;
    let recorded = recorded.ok_or(OriginRefusal::Unknown)?;
    let mut others = recorded.iter().filter(|origin| {
        origin.service == only.service && origin.software_version != software_version
    });
    if others.next().is_some() {
        return Err(OriginRefusal::Unknown);
    }
    Ok(StreamOrigin {
        service: only.service.clone(),
        software_version,
    })
}
