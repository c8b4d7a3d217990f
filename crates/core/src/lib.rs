//! Identifiers, refusals and digests that all ibisdale packages share.
//!
//! Nothing here performs I/O or reads a clock: times are passed in.

pub mod admin;
mod digest;
mod ids;
mod names;
mod refusal;
mod time;

pub use digest::HistoryDigest;
pub use ids::{IdError, ProgramId, RequestId, SLOT_COUNT, SlotId, StepNumber};
pub use names::{
    AttemptKey, DaemonName, KeyName, ModelName, NAME_MAX_BYTES, NameError, ProgramName, RouteName,
    ServiceName, WorkspaceName,
};
pub use refusal::{RefusalCode, RequestRefusal, RunState};
pub use time::{MILLIS_PER_SECOND, TimeStamp};
