//! Decision logic without I/O; functions take the current time as an argument.
//!
//! Nothing in this module performs I/O or reads a clock; times are milliseconds
//! since the start of the process unless stated otherwise.

mod budget;
mod cold;
mod evacuation;
mod event_pace;
mod in_flight_counts;
mod limits;
mod member_facts;
mod members;
mod memory_spans;
mod momentary_factor;
mod origins;
mod outage;
mod placement;
mod plan_knowledge;
mod quota;
mod readers;
mod replica_changes;
mod replica_speed;
mod replicas;
mod replies;
mod retry;
mod rotation;
mod sliding_window;
mod state_sources;
mod suspects;
mod versions;

pub use ibisdale_core::{hash_bytes, rendezvous_weight};

pub use budget::{
    AccountCopy, AccountReply, BudgetLedger, BudgetShare, BudgetVerdict, CeilingClaim, CeilingRead,
    CeilingReads, ClaimOutcome, ClaimStatus, HomeDecision, HomeRole, HomeSearch, HomeStep,
    HomeView, LossFacts, LossTable, PEER_REPORT_TIMEOUT_MS, ProgramKey, SearchTarget,
    StoredCeiling, TakeoverFinding, TakeoverInput, TakeoverRecord, VmLoss, VmProcess, WitnessReply,
    assess_takeover, has_lost_partner, may_have_lost_pair, missing_copies,
};
pub use cold::{COLD_GRANT_MAX_AGE_MS, ColdReport, ColdRule, ColdTable, ColdTolerance};
pub use evacuation::{DomainSelection, EvacuationChange, EvacuationReport, EvacuationTable};
pub use event_pace::EventPace;
pub use in_flight_counts::InFlightCount;
pub use limits::{
    GrantCandidate, GrantLedger, GrantOutcome, GrantQuery, GrantShare, LimitChange, LimitReport,
    LimitStatement, LimitTable, StartKey,
};
pub use member_facts::{MemberFacts, NewProcess, VmKey};
pub use members::{HOMES_MAX, HomeCandidate, MemberTable, RankedPeer};
pub use memory_spans::{SpanHistory, SpanReport};
pub use momentary_factor::read_momentary_factor;
pub use origins::{AttemptKey, OriginRefusal, OriginTable, decide_origin};
pub use outage::{AnswerRecord, ServiceOutage, may_be_cut_off};
pub use placement::{PlacementChoice, PlacementInput, choose_replicas};
pub use plan_knowledge::PlanKnowledge;
pub use quota::{
    AdmissionCounters, ProgramStage, QuotaLedger, QuotaTolerance, RateRefusal, RefusalCause,
    WindowReport, WorkspaceKey,
};
pub use readers::{
    ReaderCandidate, ReaderRanks, ReaderRole, is_reader, is_unavailable, reader_rank,
    substitute_retry_ms,
};
pub use replica_speed::{SpeedReport, SpeedSpan, SpeedTable, StepChange, truncate_start};
pub use replicas::{AttemptOutcome, ReplicaInfo, ReplicaKey, ReplicaLoad, ReplicaTable};
pub use replies::RecentDecisions;
pub use retry::{AttemptFailure, RetryDecision, RetryInput, decide_retry, promises_not_run};
pub use rotation::{PeerRotation, ROUND_MS, rounds_per_pass};
pub use state_sources::SourceQueue;
pub use suspects::{
    CRASHES_MAX, CrashHistory, RETENTION_MS, RequestFingerprint, RequestIdentity, RequestStanding,
    RunDecision, RunLedger, RunQuery, SuspectChange, SuspectReport, SuspectTable,
};
pub use versions::{FleetContact, StreamOrigin, VersionHistory};
