//! Clients for the platform's key-value service and VM list.

mod counts;
pub mod wire;

pub use counts::{KvCallCounts, KvCallKind};
