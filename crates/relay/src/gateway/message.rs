//! Messages between daemons, one a datagram.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::decide::{
    BudgetShare, BudgetVerdict, CeilingClaim, InFlightCount, MemberFacts, ProgramKey, ProgramStage,
    QuotaReport, RateRefusal, VmKey, WindowReport, WorkspaceKey,
};

/// A message between daemons.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum PeerMessage {
    /// What a VM says of itself, sent in each round.
    State {
        facts: MemberFacts,
        /// Version of the configuration in force; 0 where none is known.
        plan_version: u64,
        /// Version of the list of replicas; 0 where none is known.
        replicas_version: u64,
        /// Time since the key-value service last answered, in milliseconds.
        feed_age_ms: Option<u64>,
        quota: Vec<QuotaReport>,
        /// Requests that the VM has at the replicas.
        flights: Vec<InFlightCount>,
        /// When the VMs last lost what they had counted, in milliseconds since
        /// the Unix epoch; 0 for never, absent where it is not known yet.
        counted_since: Option<u64>,
    },
    /// Other VMs, told to one that was unknown.
    Known {
        peers: Vec<SocketAddrV4>,
        /// Requests of all VMs in the last window, by workspace.
        window: Vec<WindowReport>,
    },
    /// All of a VM's own counters, told to one that was unknown.
    Counters {
        vm: VmKey,
        incarnation: u64,
        counters: Vec<QuotaReport>,
    },
    /// What a VM that leaves has counted of programs, for their next home.
    Handover {
        accounts: Vec<(ProgramKey, Vec<BudgetShare>)>,
    },
    /// A VM has left and has handed over all it counted.
    Left { vm: VmKey, incarnation: u64 },
    /// Asks a program's home for tokens.
    Reserve {
        ask: u64,
        program: ProgramKey,
        budget: u64,
        tokens: u64,
        share: BudgetShare,
        /// Shares of other VMs that the asker knows.
        known: Vec<BudgetShare>,
    },
    /// The home's answer; `None` where it could not store a ceiling.
    Reserved {
        ask: u64,
        verdict: Option<BudgetVerdict>,
        shares: Vec<BudgetShare>,
    },
    /// Tells a program's home what a call used.
    Settle {
        ask: u64,
        program: ProgramKey,
        share: BudgetShare,
    },
    /// Confirms a settlement.
    Settled { ask: u64 },
    /// Asks for all shares of a program.
    Gather { ask: u64, program: ProgramKey },
    /// All shares that a VM knows.
    Gathered { ask: u64, shares: Vec<BudgetShare> },
    /// Asks the VM that writes for all to store a ceiling.
    Store { ask: u64, claim: CeilingClaim },
    /// Tells whether a ceiling is stored.
    Stored { ask: u64, stored: bool },
    /// Asks a workspace's home for one request of its rate.
    Admit {
        ask: u64,
        workspace: WorkspaceKey,
        stage: ProgramStage,
    },
    /// The home's answer: why, if it refuses.
    Admitted {
        ask: u64,
        shortage: Option<RateRefusal>,
    },
}

impl PeerMessage {
    /// Returns the number of the question that this message answers.
    pub(crate) fn answered_ask(&self) -> Option<u64> {
        match self {
            Self::Reserved { ask, .. }
            | Self::Settled { ask }
            | Self::Gathered { ask, .. }
            | Self::Stored { ask, .. }
            | Self::Admitted { ask, .. } => Some(*ask),
            _ => None,
        }
    }
}
