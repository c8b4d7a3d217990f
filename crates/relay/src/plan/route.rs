//! Routes from hosts and path prefixes to services.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Execution semantics of a route's requests.
///
/// Decides whether a request that may have been executed can be sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionSemantics {
    /// The request is idempotent and may be executed any number of times.
    Repeatable,
    /// The request is executed at most once.
    #[default]
    Once,
    /// The response is an event stream; the request is executed at most once.
    StreamOnce,
    /// The response is an event stream that another replica can resume after the last
    /// event received.
    StreamResumable,
}

impl ExecutionSemantics {
    /// Returns whether the response is an event stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumable)
    }

    /// Returns whether a request that may have been executed can be sent again.
    #[must_use]
    pub fn can_resend(self) -> bool {
        matches!(self, Self::Repeatable | Self::StreamResumable)
    }
}

/// A service and its weight in the traffic of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Bytes,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A routing rule for requests to a host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Bytes,
    /// Host name of the request; matched case-insensitively, without the port.
    pub host: Bytes,
    /// Path prefix, with a leading and a trailing slash.
    pub path_prefix: Bytes,
    /// Execution semantics of the requests.
    pub kind: ExecutionSemantics,
    /// Maximum time until a response is complete, in milliseconds.
    pub timeout_ms: u64,
    /// Target response time, in milliseconds.
    pub slo_ms: u64,
    /// Maximum number of replicas that may execute a request.
    pub attempts: u32,
    /// Scheduling priority; 0 is the highest.
    pub priority: u8,
    /// Time for which the state of a program is kept after its last request, in
    /// milliseconds.
    pub retention_ms: u64,
    /// Whether the system keeps the turns, so that a caller sends only what is new in each.
    pub keeps_turns: bool,
    /// Whether requests with the same affinity cookie prefer the same replica, which serves
    /// them faster; ignored for streams.
    pub is_sticky: bool,
    /// Whether requests are accepted without a key.
    pub is_open: bool,
    /// Services that receive the route's traffic.
    pub services: Vec<WeightedService>,
}

impl RouteRule {
    /// Chooses a service in proportion to the weights; `None` if there are no services.
    ///
    /// If all weights are 0, the first service is chosen.
    #[must_use]
    pub fn choose_service(&self, random: u32) -> Option<&Bytes> {
        let total: u32 = self.services.iter().map(|candidate| candidate.weight).sum();
        let mut offset = if total == 0 { 0 } else { random % total };
        for candidate in &self.services {
            if offset < candidate.weight || total == 0 {
                return Some(&candidate.service);
            }
            offset -= candidate.weight;
        }
        None
    }
}
