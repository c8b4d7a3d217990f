//! Messages between daemons, one a datagram.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::decide::{BudgetShare, BudgetVerdict, MemberFacts, ProgramKey, QuotaReport};

/// A message between daemons.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum PeerMessage {
    /// What a VM says of itself, sent in each round.
    State {
        facts: MemberFacts,
        /// Version of the configuration in force; 0 where none is known.
        plan_version: u64,
        /// Time since the key-value service last answered, in milliseconds.
        feed_age_ms: Option<u64>,
        quota: Vec<QuotaReport>,
    },
    /// Other VMs, told to one that was unknown.
    Known { peers: Vec<SocketAddrV4> },
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
    Gathered {
        ask: u64,
        shares: Vec<BudgetShare>,
    },
}

impl PeerMessage {
    /// Returns the number of the question that this message answers.
    pub(crate) fn answered_ask(&self) -> Option<u64> {
        match self {
            Self::Reserved { ask, .. } | Self::Settled { ask } | Self::Gathered { ask, .. } => {
                Some(*ask)
            }
            _ => None,
        }
    }
}
