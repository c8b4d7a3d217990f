//! Selection of the upstream replica that serves a call.

mod choice;
mod cost;
mod in_flight;
mod outlier;
mod prefix;
mod replica;
mod request;
mod set;
mod settings;
mod subset;

pub use choice::choose_replica;
pub use in_flight::{CallOutcome, CallReport, InFlightKey};
pub use prefix::{SessionId, SharedPrefix};
pub use replica::{LoadReport, ReplicaKey, ReplicaSpec, ReplicaStatus};
pub use request::{RefusalReason, RoutingDecision, RoutingRefusal, RoutingRequest};
pub use set::{DomainKey, ReplicaSet};
pub use settings::RoutingSettings;
pub use subset::{required_watchers, watched_replicas};
