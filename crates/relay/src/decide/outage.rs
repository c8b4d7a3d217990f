//! Decides whether an outage of the key-value service concerned only this VM.
//!
//! Answers the load after an outage: the service may have dropped the entries of replicas
//! that are still there, but not while it answered other VMs. A replica that is kept
//! although it was removed gets requests after it has stopped serving. A VM that was also
//! cut off from the other VMs has to ask them first.

use std::time::{Duration, Instant};

/// Largest difference between the times at which VMs detect the start or the end of the
/// same outage.
const DETECTION_SKEW: Duration = Duration::from_millis(800);
/// Longest time between two answers of the service for which its answers count as unbroken; a
/// reader's watch returns at least once a second.
const ANSWER_GAP_MAX: Duration = Duration::from_millis(1_200);

/// Time without a state of any other VM after which this VM counts as cut off; several gossip
/// rounds.
const CUT_OFF_AFTER: Duration = Duration::from_millis(800);

/// Returns whether this VM may be cut off from most other VMs, of which it knows `known` and
/// takes `silent` for silent; `since_heard` is the time since any of them sent its state.
///
/// VMs that are cut off together may still hear each other.
#[must_use]
pub fn may_be_cut_off(known: usize, silent: usize, since_heard: Option<Duration>) -> bool {
    let hears_none = since_heard.is_none_or(|time| time > CUT_OFF_AFTER);
    known > 0 && (hears_none || 2 * silent >= known)
}

/// When the service answered any VM; times are since the boot of this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerRecord {
    latest: Option<Duration>,
    /// First answer after the last gap of more than [`ANSWER_GAP_MAX`].
    unbroken_since: Duration,
}

impl AnswerRecord {
    /// Records an answer; one from before the latest is ignored.
    pub fn record(&mut self, at: Duration) {
        match self.latest {
            Some(latest) if at <= latest => return,
            Some(latest) if at <= latest + ANSWER_GAP_MAX => {}
            _ => self.unbroken_since = at,
        }
        self.latest = Some(at);
    }

    /// Returns for how long the service has answered without a gap; `None` if it no longer
    /// does.
    #[must_use]
    pub fn unbroken_for(&self, now: Duration) -> Option<Duration> {
        let is_recent = self.latest? + ANSWER_GAP_MAX >= now;
        is_recent.then(|| now.saturating_sub(self.unbroken_since))
    }
}

/// An outage as this VM sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceOutage {
    began_at: Instant,
    /// Earliest known contact of another VM that can't be from before the outage.
    peer_contact_at: Option<Instant>,
    /// Earliest time since which the service has answered another VM without a gap.
    peer_answers_since: Option<Instant>,
    /// Whether this VM may have been cut off from most other VMs too.
    was_cut_off: bool,
}

impl ServiceOutage {
    /// Creates an outage that this VM noticed at `began_at`.
    #[must_use]
    pub fn new(began_at: Instant) -> Self {
        Self {
            began_at,
            peer_contact_at: None,
            peer_answers_since: None,
            was_cut_off: false,
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

    /// Records that this VM may be cut off from most other VMs during the outage.
    pub fn record_cut(&mut self) {
        self.was_cut_off = true;
    }

    /// Returns whether only the other VMs can tell whether the service answered them.
    #[must_use]
    pub fn needs_peer_report(&self) -> bool {
        self.was_cut_off && !self.has_unbroken_answers()
    }

    /// Records since when the service has answered another VM without a gap.
    pub fn record_peer_answers(&mut self, since: Instant) {
        let earliest = self.peer_answers_since.get_or_insert(since);
        *earliest = since.min(*earliest);
    }

    /// Returns whether the service answered another VM all along.
    #[must_use]
    pub fn has_unbroken_answers(&self) -> bool {
        self.peer_answers_since
            .is_some_and(|since| since < self.began_at)
    }

    /// Returns whether the service answered other VMs in the midst of an outage that ends
    /// now.
    #[must_use]
    pub fn is_local(&self, now: Instant) -> bool {
        let contact_at = self.peer_contact_at;
        self.has_unbroken_answers() || contact_at.is_some_and(|at| at + DETECTION_SKEW < now)
    }
}
