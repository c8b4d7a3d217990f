//! The gateway configuration.

mod limits;
mod memory_spans;
mod route;
mod service;
mod table;
mod workspace;

pub use limits::TrafficLimits;
pub use memory_spans::MemorySpans;
pub use route::{ExecutionSemantics, RouteRule, WeightedService};
pub use service::{EngineSpec, ServiceSpec};
pub use table::DeploymentPlan;
pub use workspace::WorkspaceSpec;
