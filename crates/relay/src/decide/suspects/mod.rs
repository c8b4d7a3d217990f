//! Requests that may have ended replicas.

mod fingerprint;
mod runs;
mod table;

pub use fingerprint::{RequestFingerprint, RequestIdentity};
pub use runs::{RunDecision, RunLedger, RunQuery};
pub use table::{
    CRASHES_MAX, CrashHistory, RETENTION_MS, RequestStanding, SuspectChange, SuspectReport,
    SuspectTable,
};
