//! Distributed rate limits of workspaces.

mod ledger;
mod report;
mod workspace;

pub use ledger::QuotaLedger;
pub use report::{
    AdmissionCounters, ProgramStage, QuotaTolerance, RateRefusal, RefusalCause, WindowReport,
    WorkspaceKey,
};
