//! Replication of histories: which holders store a slot's histories, when an
//! append is fully replicated, and which histories are copied to new holders.
//!
//! A holder is a daemon that stores copies of histories. The design assumes that
//! the slot's entry in the key-value service names the slot's holders and that
//! only the owner changes them, by compare-and-swap. A record is fully
//! replicated once *all* of them have stored it. A new owner therefore needs to
//! seal and read only *one* of them to find every fully replicated record and to
//! prevent the previous owner from fully replicating another one.

mod holders;
mod progress;
mod queue;

pub use holders::{
    FailureDomain, HolderKey, HolderShortage, HolderState, HolderTable, ReplicationPolicy,
};
pub use progress::{AppendEffect, ReplicationProgress};
pub use queue::{ReplicationQueue, ReplicationTask};
