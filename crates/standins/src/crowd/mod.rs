//! Crowds of clients that misbehave, and what they cost a process, for tests and the soak.

mod clients;
mod messages;
mod usage;

pub use clients::{ClientCrowd, CrowdPlan, exchange};
pub use messages::{CrowdRequest, chunked_body, pipelined};
pub use usage::{DescriptorWatch, ProcessUsage, UsageError};
