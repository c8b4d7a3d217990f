//! Scheduling decisions as pure logic: the current time is an argument, and no I/O
//! is performed.

mod admission;
mod credit;
mod membership;
mod profile;
mod queue;
mod retry;
mod routing;

pub use admission::{AdmissionController, AdmissionLimits, AdmissionRefusal, AdmissionRequest};
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
    CallKey, CallRequest, FairQueue, PoppedCall, PushError, PushOutcome, QueueWeights, WorkspaceKey,
};
pub use retry::{
    AttemptReport, FailureKind, RetryBudget, RetryBudgetLimits, RetryDecision, RetryPolicy,
    StopReason,
};
pub use routing::{
    CallOutcome, CallReport, DomainKey, InFlightKey, LoadReport, RefusalReason, ReplicaKey,
    ReplicaSet, ReplicaSpec, ReplicaStatus, RoutingDecision, RoutingRefusal, RoutingRequest,
    RoutingWeights, SessionId, SharedPrefix, choose_replica, required_watchers, watched_replicas,
};

pub mod journal;
pub mod ownership;
