//! Choice of the upstream replica that serves a call.

mod choice;
mod cost;
mod flight;
mod outlier;
mod prefix;
mod replica;
mod request;
mod set;
mod subset;
mod weights;

pub use choice::choose;
pub use flight::{FlightKey, FlightOutcome, FlightReport};
pub use prefix::{PrefixClaim, SessionId};
pub use replica::{LoadReport, ReplicaKey, ReplicaSpec, ReplicaStatus};
pub use request::{ChoiceRequest, RefusalReason, RoutingDecision, RoutingRefusal};
pub use set::{DomainKey, ReplicaSet};
pub use subset::{subset, watchers};
pub use weights::RoutingWeights;
