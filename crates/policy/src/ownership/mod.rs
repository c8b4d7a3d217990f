//! Slot ownership as a state machine without I/O or a clock.
//!
//! Each daemon holds one lease and keeps a record of itself that expires with
//! the lease. The record of a slot holds its owner and its epoch and is only
//! changed by transactions that compare its revision. [`OwnershipMachine`]
//! returns the calls to make to the key-value service and is passed their
//! results and the current time.

mod call;
mod keys;
mod machine;
mod options;
mod plan;
mod record;
mod registration;
mod release;
mod schedule;
mod snapshot;
mod takeover;
mod timing;
mod view;
mod writer;

pub use call::{
    CallFailure, CallId, ConditionalWrite, FleetRead, IssuedCall, KeyChange, KeyCondition,
    KeyEntry, KeyWrite, StoreCall, StoreResponse, WriteOutcome,
};
pub use keys::{DAEMON_PREFIX, JOURNAL_PREFIX, SLOT_PREFIX, daemon_key, journal_key, slot_key};
pub use machine::OwnershipMachine;
pub use options::{DaemonProfile, OwnershipOptions};
pub use plan::{PlanDaemon, PlanOwner, SlotMove, plan_moves};
pub use record::{DaemonRecord, RegistrationId, SlotRecord};
pub use snapshot::{LiveDaemon, OwnershipSnapshot, RegistrationPhase, SlotOwner};
