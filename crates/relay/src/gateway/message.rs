//! Messages between VMs, each sent as one datagram.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::decide::{
    AccountCopy, AdmissionCounters, AttemptKey, BudgetShare, BudgetVerdict, CeilingClaim,
    ClaimOutcome, ColdReport, EvacuationReport, GrantOutcome, InFlightCount, LimitReport,
    MemberFacts, ProgramKey, ProgramStage, RateRefusal, RequestFingerprint, RunDecision, RunQuery,
    SpanReport, SpeedReport, StartKey, StreamOrigin, SuspectReport, VmKey, VmProcess, WindowReport,
    WorkspaceKey,
};

/// A limited replica that could take a request, with what the sender knows of its limits.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct CandidateReport {
    pub(crate) start: StartKey,
    /// Limit that the replica has named, and the time since the response that said so, in
    /// milliseconds.
    pub(crate) named: Option<(Option<f64>, u64)>,
    /// Time for which the replica stays cold, in milliseconds; 0 if it is not.
    pub(crate) cold_left_ms: u64,
}

/// A request that a home may grant to one of several limited replicas.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct GrantRequest {
    /// Hash of the service's name.
    pub(crate) service: u64,
    /// Hash of the affinity key; `None` if the request has no affinity.
    pub(crate) affinity: Option<u64>,
    /// Work of the request at an engine, in prompt tokens; 0 if unknown.
    pub(crate) work: u64,
    /// Replicas that could take the request, the preferred one first.
    pub(crate) candidates: Vec<CandidateReport>,
    /// Whether the caller is refused if none has room.
    pub(crate) is_refusal_final: bool,
}

/// Decision of the home of the suspects, and what it knows of the request.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct RunReply {
    pub(crate) decision: RunDecision,
    pub(crate) report: Option<SuspectReport>,
}

/// A message between VMs, encoded with postcard.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum PeerMessage {
    /// State and heartbeat of the sending VM, sent in each gossip round.
    State {
        facts: MemberFacts,
        /// Version of the configuration in force; 0 if there is none.
        plan_version: u64,
        /// Time since that version was known to be the newest, in milliseconds.
        plan_age_ms: Option<u64>,
        /// Version of the list of replicas; 0 if there is none.
        replicas_version: u64,
        /// Time since the key-value service last answered any VM, in milliseconds.
        feed_age_ms: Option<u64>,
        /// Time for which that service has answered the VMs without a gap, in milliseconds.
        answers_ms: Option<u64>,
        /// Whether that service refuses the VM's calls or does not answer them.
        is_store_lost: bool,
        quota: Vec<AdmissionCounters>,
        /// Requests that the VM has in flight, by replica.
        in_flight: Vec<InFlightCount>,
        /// When the VMs last lost all counts, in milliseconds since the Unix epoch;
        /// 0 if never, `None` if not known yet.
        counts_lost_at: Option<u64>,
        /// Recent changes of replicas' limits that the VM has learned of from responses.
        limits: Vec<LimitReport>,
        /// Recent changes of what the VM knows of suspected requests.
        suspects: Vec<SuspectReport>,
        /// Failure domains that operators have evacuated.
        evacuations: EvacuationReport,
        /// What the VM has measured of the speed of replicas.
        speeds: Vec<SpeedReport>,
        /// Times of replaced versions of the configuration that still count.
        spans: Vec<SpanReport>,
    },
    /// Known VMs and recent request counts, sent to a VM that was unknown, silent or
    /// restarted.
    PeerList {
        peers: Vec<SocketAddrV4>,
        /// Requests that all VMs admitted in the last quota window, by workspace.
        window_reports: Vec<WindowReport>,
    },
    /// All of a VM's own admission counters, sent to a VM that was unknown, silent or
    /// restarted.
    Counters {
        vm: VmKey,
        incarnation: u64,
        counters: Vec<AdmissionCounters>,
    },
    /// Accounts of programs, sent to the VMs that rank first for them when the sender leaves or
    /// VMs have joined or died.
    Handover {
        call_id: u64,
        programs: Vec<(ProgramKey, AccountCopy)>,
    },
    /// Reply to `Handover`.
    HandedOver { call_id: u64 },
    /// The sending VM leaves and has handed over the accounts that it knows.
    Left { vm: VmKey, incarnation: u64 },
    /// Requests a reservation of tokens from a program's home.
    Reserve {
        call_id: u64,
        program: ProgramKey,
        budget: u64,
        /// Share of the call, with the tokens to reserve.
        share: BudgetShare,
        /// What the sender knows of the account.
        known: AccountCopy,
    },
    /// Reply to `Reserve`; the verdict is `None` if the home could not decide.
    Reserved {
        call_id: u64,
        verdict: Option<BudgetVerdict>,
        account: AccountCopy,
    },
    /// Reply to a `Reserve` that is sent again before the home has decided.
    Deciding { call_id: u64 },
    /// Reports the sender's share to a program's home after a call has ended.
    Settle {
        call_id: u64,
        program: ProgramKey,
        share: BudgetShare,
    },
    /// Reply to `Settle`.
    Settled { call_id: u64 },
    /// Requests the role of a program's home; the receiver ends the epoch that it knows.
    RequestRole {
        call_id: u64,
        program: ProgramKey,
        requester: VmProcess,
    },
    /// Reply to `RequestRole`: what the VM knew; `None` if it knows nothing of the program.
    RoleYielded {
        call_id: u64,
        /// Start time of the process that replies, which the sender may not know yet.
        incarnation: u64,
        account: Option<AccountCopy>,
        /// Time since the VM last returned from an absence, in milliseconds.
        absence_age_ms: Option<u64>,
    },
    /// Sends an account to the witness of its home before a call is granted.
    Replicate {
        call_id: u64,
        program: ProgramKey,
        account: AccountCopy,
    },
    /// Reply to `Replicate`: whether the receiver accepts the sender as home, and what it knows.
    Replicated {
        call_id: u64,
        /// Start time of the process that replies, which the sender may not know yet.
        incarnation: u64,
        is_accepted: bool,
        account: AccountCopy,
    },
    /// Asks the writer VM to store a ceiling.
    Store { call_id: u64, claim: CeilingClaim },
    /// Reply to `Store`.
    Stored { call_id: u64, outcome: ClaimOutcome },
    /// Requests admission of one request from a home of its workspace.
    Admit {
        call_id: u64,
        workspace: WorkspaceKey,
        stage: ProgramStage,
        /// Rank of the receiver among the homes, as known to the sender.
        rank: u8,
    },
    /// Reply to `Admit`; `refusal` is `None` if the request is admitted.
    Admitted {
        call_id: u64,
        refusal: Option<RateRefusal>,
    },
    /// A stream has begun.
    StreamBegan {
        attempt: AttemptKey,
        origin: StreamOrigin,
    },
    /// Requests where the stream of a client attempt began.
    GetOrigin { call_id: u64, attempt: AttemptKey },
    /// Reply to `GetOrigin`; `origin` is `None` if the VM does not know it.
    Origin {
        call_id: u64,
        origin: Option<StreamOrigin>,
    },
    /// A VM's own admission counters, sent in each gossip round to the homes of the
    /// workspaces whose requests it has admitted.
    Admissions {
        vm: VmKey,
        incarnation: u64,
        counters: Vec<AdmissionCounters>,
    },
    /// Limits of replicas that have changed, or all that the sender knows if the receiver was
    /// unknown, silent or restarted.
    Limits { limits: Vec<LimitReport> },
    /// Requests a grant for one request from a home of its service.
    RequestGrant {
        call_id: u64,
        /// Rank of the receiver among the homes, as known to the sender.
        rank: u8,
        request: GrantRequest,
    },
    /// Reply to `RequestGrant`.
    GrantDecided { call_id: u64, outcome: GrantOutcome },
    /// Changes of what is known of suspected requests, or all that the sender knows if the
    /// receiver was unknown, silent or restarted.
    Suspects { suspects: Vec<SuspectReport> },
    /// Requests permission to send a suspected request from the home of the suspects.
    RequestRun { call_id: u64, query: RunQuery },
    /// Reply to `RequestRun`, with what the home knows of the request.
    RunDecided { call_id: u64, reply: RunReply },
    /// Ends a run at the home of the suspects, with what the VM knows of the request.
    EndRun {
        call_id: u64,
        vm: VmKey,
        fingerprint: RequestFingerprint,
        suspects: Vec<SuspectReport>,
    },
    /// Reply to `EndRun`.
    RunEnded { call_id: u64 },
    /// Replicas that a response has shown to be cold, or all that the sender knows if the receiver
    /// was unknown, silent or restarted.
    Cold { cold: Vec<ColdReport> },
    /// Requests the receiver's `State`, since its heartbeat is overdue.
    Probe,
}

impl PeerMessage {
    /// Returns the identifier of the call that this message replies to.
    pub(crate) fn reply_call_id(&self) -> Option<u64> {
        match self {
            Self::Reserved { call_id, .. }
            | Self::Deciding { call_id }
            | Self::Settled { call_id }
            | Self::HandedOver { call_id }
            | Self::RoleYielded { call_id, .. }
            | Self::Replicated { call_id, .. }
            | Self::Stored { call_id, .. }
            | Self::Admitted { call_id, .. }
            | Self::GrantDecided { call_id, .. }
            | Self::RunDecided { call_id, .. }
            | Self::RunEnded { call_id }
            | Self::Origin { call_id, .. } => Some(*call_id),
            _ => None,
        }
    }
}
