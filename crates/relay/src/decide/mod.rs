//! Decisions as plain state and functions over the time passed in.
//!
//! Nothing here performs I/O or reads a clock; times are milliseconds since the
//! start of the process.

mod budget;
mod hash;
mod members;
mod placing;
mod quota;
mod readers;
mod replicas;
mod retry;
mod spans;

pub use budget::{
    BudgetLedger, BudgetShare, BudgetVerdict, CeilingClaim, ClaimStatus, ProgramKey, StoredCeiling,
};
pub use hash::{rendezvous_rank, stable_hash};
pub use members::{MemberFacts, MemberTable, VmKey};
pub use placing::{PlacingRequest, choose_replica};
pub use quota::{
    ProgramStage, QuotaLedger, QuotaReport, QuotaTolerance, RateRefusal, RefusalCause,
    WindowReport, WorkspaceKey,
};
pub use readers::{is_reader, reader_rank};
pub use replicas::{CallOutcome, FlightCount, ReplicaFact, ReplicaKey, ReplicaLoad, ReplicaTable};
pub use retry::{AttemptEnd, NextStep, RetryRule, next_step};
