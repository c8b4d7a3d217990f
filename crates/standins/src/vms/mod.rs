//! The platform's list of VMs, with a settable lag.

mod server;

pub use server::VmListServer;
