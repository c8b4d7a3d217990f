//! Scheduling decisions as plain functions over time passed in; performs no I/O.

mod admission;
mod credit;
mod membership;
mod profile;
mod queue;
mod retry;
mod routing;

pub use admission::{AdmissionController, AdmissionLimits, AdmissionRefusal, AdmissionRequest};
pub use credit::{
    BorrowState, CREDIT_PARTS_MAX, CreditAmount, CreditAnswer, CreditBorrower, CreditHome,
    CreditOrder, CreditRate, CreditReturn, GrantId,
};
pub use membership::{
    MemberFacts, MemberKey, MemberOptions, MemberState, MemberTable, MemberUpdate, MemberVersion,
    ProbeKind, ProbeOrder,
};
pub use profile::{PolicyProfile, ProfileError};
pub use queue::{
    CallKey, CallRequest, FairQueue, PoppedCall, PushError, PushOutcome, QueueWeights, WorkspaceKey,
};
pub use retry::{
    AttemptReport, BudgetLimits, FailureKind, RetryBudget, RetryDecision, RetryPolicy, StopReason,
};
pub use routing::{
    ChoiceRequest, DomainKey, FlightKey, FlightOutcome, FlightReport, LoadReport, PrefixClaim,
    RefusalReason, ReplicaKey, ReplicaSet, ReplicaSpec, ReplicaStatus, RoutingDecision,
    RoutingRefusal, RoutingWeights, SessionId, choose, subset, watchers,
};

pub mod journal;
pub mod ownership;
