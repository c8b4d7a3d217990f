//! Avoidance of replicas that fail, with probing back.

use std::time::Duration;

use ibisdale_core::TimeStamp;

use super::weights::RoutingWeights;

/// Doublings after which the avoidance time stops growing.
const EJECTION_DOUBLINGS_MAX: u32 = 10;

/// Tells whether a replica may get a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    /// Takes calls.
    Open,
    /// Takes one call, which shows whether it works again.
    Probe,
    /// Takes none for this long.
    Closed(Duration),
}

/// Failures of one replica as seen by this daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureRecord {
    failures_in_row: u32,
    ejections: u32,
    closed_until: Option<TimeStamp>,
    probe_until: Option<TimeStamp>,
}

impl FailureRecord {
    pub(crate) fn availability(&self, now: TimeStamp) -> Availability {
        let Some(until) = self.closed_until else {
            return Availability::Open;
        };
        if now < until {
            return Availability::Closed(until.since(now));
        }
        match self.probe_until {
            Some(probe_until) if now < probe_until => Availability::Closed(probe_until.since(now)),
            _ => Availability::Probe,
        }
    }

    /// Notes that a probe was sent; no other follows until it ends or times out.
    pub(crate) fn begin_probe(&mut self, now: TimeStamp, weights: &RoutingWeights) {
        self.probe_until = Some(now.plus(Duration::from_millis(weights.ejection_max_ms)));
    }

    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes that a probe ended without showing whether the replica works.
    pub(crate) fn record_unproven(&mut self) {
        self.probe_until = None;
    }

    pub(crate) fn record_failure(&mut self, now: TimeStamp, weights: &RoutingWeights) {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        let is_ejected = self.closed_until.is_some();
        if is_ejected && self.availability(now) != Availability::Probe && self.probe_until.is_none()
        {
            return;
        }
        if is_ejected || self.failures_in_row >= weights.ejection_failures {
            self.eject(now, weights);
        }
    }

    /// Notes that no connection could be opened, which needs no second proof.
    pub(crate) fn record_unreachable(&mut self, now: TimeStamp, weights: &RoutingWeights) {
        self.failures_in_row = self.failures_in_row.max(weights.ejection_failures);
        self.record_failure(now, weights);
    }

    fn eject(&mut self, now: TimeStamp, weights: &RoutingWeights) {
        let doublings = self.ejections.min(EJECTION_DOUBLINGS_MAX);
        let millis = weights.ejection_ms.saturating_mul(1 << doublings);
        let millis = millis.min(weights.ejection_max_ms);
        self.ejections = self.ejections.saturating_add(1);
        self.closed_until = Some(now.plus(Duration::from_millis(millis)));
        self.probe_until = None;
    }
}
