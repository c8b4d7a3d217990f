//! Distributed rate limits of workspaces.

mod ledger;
mod replies;
mod report;
mod workspace;

pub use ledger::QuotaLedger;
pub use replies::RecentDecisions;
pub use report::{
    AdmissionCounters, ProgramStage, QuotaTolerance, RateRefusal, RefusalCause, WindowReport,
    WorkspaceKey,
};
