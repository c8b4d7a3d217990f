//! Routes: which requests go to which service, and how.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What may be repeated after a request may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// The request may run any number of times.
    Repeatable,
    /// The request runs at most once.
    #[default]
    Once,
    /// An event stream that runs at most once.
    StreamOnce,
    /// An event stream that may go on elsewhere after its last event.
    StreamResumable,
}

impl RepeatRule {
    /// Tells whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumable)
    }

    /// Tells whether a request that may have run may be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::StreamResumable)
    }
}

/// A service's part in a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: Bytes,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// A rule for the requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Bytes,
    /// Host that the request names, in lower case.
    pub host: Bytes,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: Bytes,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// Longest time a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time in which an answer is worth most, in milliseconds.
    pub objective_ms: u64,
    /// Most replicas that one attempt is sent to.
    pub attempts: u32,
    /// Urgency; 0 comes first.
    pub priority: u8,
    /// Time after its last call in which a program may return, in milliseconds.
    pub retention_ms: u64,
    /// Tells whether a replica that served the same object is faster.
    pub is_sticky: bool,
    /// Tells whether no key is needed.
    pub is_open: bool,
    /// Services and their shares; never empty.
    pub services: Vec<ServiceShare>,
}

impl RouteRule {
    /// Chooses a service by weight; `draw` is a random number.
    #[must_use]
    pub fn choose_service(&self, draw: u32) -> Option<&Bytes> {
        let total: u32 = self.services.iter().map(|share| share.weight).sum();
        let mut rest = if total == 0 { 0 } else { draw % total };
        for share in &self.services {
            if rest < share.weight || total == 0 {
                return Some(&share.service);
            }
            rest -= share.weight;
        }
        None
    }
}
