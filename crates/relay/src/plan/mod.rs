//! Typed representation of the active configuration.

mod limits;
mod route;
mod service;
mod table;
mod workspace;

pub use limits::TrafficLimits;
pub use route::{RouteKind, RouteRule, WeightedService};
pub use service::{EngineSpec, ServiceSpec};
pub use table::DeploymentPlan;
pub use workspace::WorkspaceSpec;
