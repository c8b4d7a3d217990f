//! Decides whether an outage of the key-value service concerned only this VM.
//!
//! Answers the load after an outage: the service may have dropped the entries of replicas
//! that are still there, but not while it answered other VMs. A replica that is kept
//! although it was removed gets requests after it has stopped serving.

use std::time::{Duration, Instant};

/// Largest difference between the times at which VMs detect the start or the end of the
/// same outage.
const DETECTION_SKEW: Duration = Duration::from_millis(800);

/// An outage as this VM sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceOutage {
    began_at: Instant,
    /// Earliest known contact of another VM that can't be from before the outage.
    peer_contact_at: Option<Instant>,
}

impl ServiceOutage {
    /// Creates an outage that this VM noticed at `began_at`.
    #[must_use]
    pub fn new(began_at: Instant) -> Self {
        Self {
            began_at,
            peer_contact_at: None,
        }
    }

    /// Returns when this VM noticed the outage.
    #[must_use]
    pub fn began_at(&self) -> Instant {
        self.began_at
    }

    /// Records when the service last answered another VM; called during the outage, since
    /// only the latest contact is known at its end.
    pub fn record_peer_contact(&mut self, contact_at: Instant) {
        if contact_at > self.began_at + DETECTION_SKEW {
            self.peer_contact_at.get_or_insert(contact_at);
        }
    }

    /// Returns whether the service answered other VMs in the midst of an outage that ends
    /// now.
    #[must_use]
    pub fn is_local(&self, now: Instant) -> bool {
        self.peer_contact_at
            .is_some_and(|contact_at| contact_at + DETECTION_SKEW < now)
    }
}
