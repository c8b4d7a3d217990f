//! Small stand-ins for the platform, model engines and plain services, for tests and demonstrations.

mod kv;
mod vms;

pub use kv::{KvServer, OutageKind};
pub use vms::VmListServer;
