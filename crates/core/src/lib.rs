//! Identifiers, refusals, digests and admin API types shared by all ibisdale crates.
//!
//! This crate performs no I/O and reads no clock; callers pass times in.

pub mod admin;
mod digest;
mod hash;
mod ids;
mod names;
mod refusal;
mod time;

pub use digest::HistoryDigest;
pub use hash::{hash_bytes, rendezvous_weight};
pub use ids::{IdError, ProgramId, RequestId, SLOT_COUNT, SlotId, StepNumber};
pub use names::{
    AttemptKey, DaemonName, KeyName, ModelName, NAME_MAX_BYTES, NameError, ProgramName, RouteName,
    ServiceName, WorkspaceName,
};
pub use refusal::{RefusalCode, RequestRefusal, RunState};
pub use time::{MILLIS_PER_SECOND, TimeStamp};
