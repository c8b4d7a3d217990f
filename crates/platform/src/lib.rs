//! Clients for the platform's key-value service and VM list.
//!
//! Nothing here decides: an error tells whether a call may have taken effect,
//! and the caller settles what that means.

mod counts;
mod kv;
mod vms;
pub mod wire;

pub use counts::{KvCallCounts, KvCallKind};
pub use kv::{
    KvChange, KvClient, KvCompare, KvEntry, KvError, KvFailure, KvOptions, KvPut, KvRevision,
    KvSnapshot, KvTxn, KvTxnOutcome, KvWatch, LeaseGrant, LeaseId, LeaseStatus, WatchNotice,
};
pub use vms::{VmListClient, VmListError, VmListOptions, VmListSnapshot};
