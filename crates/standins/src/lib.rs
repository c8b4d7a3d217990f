//! Small stand-ins for the platform, model engines and plain services, for tests and demonstrations.

mod crowd;
mod engine;
mod host;
mod keys;
mod kv;
mod scripted;
mod service;
mod vms;

pub use crowd::{
    ClientCrowd, CrowdPlan, CrowdRequest, DescriptorWatch, ProcessUsage, UsageError, chunked_body,
    exchange, pipelined,
};
pub use engine::{
    EngineCounters, EngineFault, EngineOptions, EngineRole, EngineServer, PromptMessage,
    compose_answer,
};
pub use kv::{KvServer, OutageKind};
pub use scripted::{ScriptEnd, ScriptedServer};
pub use service::{ServiceCounters, ServiceFault, ServiceOptions, ServiceServer};
pub use vms::VmListServer;
