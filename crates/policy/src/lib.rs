//! Policy logic without I/O: the current time and the random generator are
//! arguments.

mod admission;
mod credit;
mod membership;
mod profile;
mod queue;
mod retry;
mod routing;

pub use admission::{AdmissionController, AdmissionRefusal, AdmissionRequest, AdmissionSettings};
pub use credit::{
    BorrowReply, BorrowRequest, BorrowState, CREDIT_PARTS_MAX, CreditAmount, CreditBorrower,
    CreditHome, CreditRate, CreditReturn, GrantId,
};
pub use membership::{
    MemberFacts, MemberKey, MemberOptions, MemberState, MemberTable, MemberUpdate, MemberVersion,
    Probe, ProbeKind,
};
pub use profile::{PolicyProfile, ProfileError};
pub use queue::{
    CallKey, CallRequest, FairQueue, PushError, PushOutcome, QueueSettings, QueuedCall,
    WorkspaceKey,
};
pub use retry::{
    AttemptReport, FailureKind, RetryBudget, RetryBudgetSettings, RetryDecision, RetryPolicy,
    StopReason,
};
pub use routing::{
    CallOutcome, CallReport, DomainKey, InFlightKey, LoadReport, RefusalReason, ReplicaKey,
    ReplicaSet, ReplicaSpec, ReplicaStatus, RoutingDecision, RoutingRefusal, RoutingRequest,
    RoutingSettings, SessionId, SharedPrefix, choose_replica, required_watchers, watched_replicas,
};

pub mod journal;
pub mod ownership;
