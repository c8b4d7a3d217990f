//! Ownership of slots as a state machine over time passed in.
//!
//! Each daemon holds one lease and a record under it. A slot's record names its
//! owner and an epoch, and is changed only by writes that name the revision
//! they replace. The machine asks for calls to the key-value service and is
//! told their answers; it performs no I/O itself.

mod call;
mod keys;
mod machine;
mod options;
mod pace;
mod plan;
mod record;
mod release;
mod schedule;
mod session;
mod snapshot;
mod takeover;
mod view;
mod writer;

pub use call::{
    CallFailure, CallId, FleetRead, GuardedWrite, IssuedCall, KeyChange, KeyCondition, KeyEntry,
    KeyWrite, StoreAnswer, StoreCall, WriteOutcome,
};
pub use keys::{DAEMON_PREFIX, JOURNAL_PREFIX, SLOT_PREFIX, daemon_key, journal_key, slot_key};
pub use machine::OwnershipMachine;
pub use options::{DaemonProfile, OwnershipOptions};
pub use plan::{PlanDaemon, PlanOwner, SlotMove, plan_moves};
pub use record::{DaemonRecord, OwnerIdentity, SlotRecord};
pub use snapshot::{LiveDaemon, OwnershipSnapshot, SessionPhase, SlotOwner};
