//! The configuration in force, as typed values.

mod limits;
mod route;
mod service;
mod table;
mod workspace;

pub use limits::TrafficLimits;
pub use route::{RepeatRule, RouteRule, ServiceShare};
pub use service::{EngineFacts, ServiceSpec};
pub use table::DeploymentPlan;
pub use workspace::WorkspaceGrant;
