//! Outlier ejection: stops sending to failing replicas and probes them later.

use std::time::Duration;

use ibisdale_core::TimeStamp;

use super::settings::RoutingSettings;

/// Number of doublings after which the ejection time stops growing.
const EJECTION_DOUBLINGS_MAX: u32 = 10;

/// Whether a replica may receive calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    /// The replica takes calls.
    Available,
    /// The ejection time has passed; the replica takes one call as a probe.
    ProbeDue,
    /// The replica takes no calls for this long.
    Ejected(Duration),
}

/// Failures of one replica observed by this daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureRecord {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<TimeStamp>,
    probe_expires_at: Option<TimeStamp>,
}

impl FailureRecord {
    pub(crate) fn availability(&self, now: TimeStamp) -> Availability {
        let Some(until) = self.ejected_until else {
            return Availability::Available;
        };
        if now < until {
            return Availability::Ejected(until.since(now));
        }
        match self.probe_expires_at {
            Some(probe_expires_at) if now < probe_expires_at => {
                Availability::Ejected(probe_expires_at.since(now))
            }
            _ => Availability::ProbeDue,
        }
    }

    /// Records that a probe was sent; no other is sent until it ends or expires.
    pub(crate) fn begin_probe(&mut self, now: TimeStamp, settings: &RoutingSettings) {
        self.probe_expires_at = Some(now.plus(Duration::from_millis(settings.ejection_max_ms)));
    }

    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a call that ended without showing whether the replica works, and stops
    /// waiting for a probe.
    pub(crate) fn record_inconclusive(&mut self) {
        self.probe_expires_at = None;
    }

    pub(crate) fn record_failure(&mut self, now: TimeStamp, settings: &RoutingSettings) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let is_ejected = self.ejected_until.is_some();
        if is_ejected
            && self.availability(now) != Availability::ProbeDue
            && self.probe_expires_at.is_none()
        {
            return;
        }
        if is_ejected || self.consecutive_failures >= settings.ejection_failures {
            self.eject(now, settings);
        }
    }

    /// Records that no connection could be opened, which ejects the replica without
    /// waiting for further failures.
    pub(crate) fn record_unreachable(&mut self, now: TimeStamp, settings: &RoutingSettings) {
        self.consecutive_failures = self.consecutive_failures.max(settings.ejection_failures);
        self.record_failure(now, settings);
    }

    fn eject(&mut self, now: TimeStamp, settings: &RoutingSettings) {
        let doublings = self.ejections.min(EJECTION_DOUBLINGS_MAX);
        let millis = settings.ejection_ms.saturating_mul(1 << doublings);
        let millis = millis.min(settings.ejection_max_ms);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now.plus(Duration::from_millis(millis)));
        self.probe_expires_at = None;
    }
}
