//! Shares of a program's usage, and the copies of its account that VMs exchange.

use serde::{Deserialize, Serialize};

use crate::decide::member_facts::VmKey;
use ibisdale_core::rendezvous_weight;

/// Hash of a program's identifier.
pub type ProgramKey = u64;

/// One start of a VM's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct VmProcess {
    /// The VM.
    pub vm: VmKey,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Tokens of one call of a program, or of all calls in a range that have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct BudgetShare {
    /// VM that serves the calls.
    pub vm: VmKey,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the first call. A process never uses a number twice.
    pub first: u64,
    /// Number of the last call; all calls of the program in the range are part of the share.
    pub last: u64,
    /// Tokens delivered to the caller.
    pub spent: u64,
    /// Tokens reserved for a running call.
    pub reserved: u64,
}

/// What identifies a share among all shares of a program.
pub(super) type ShareKey = (VmProcess, u64);

impl BudgetShare {
    /// Returns the process that serves the calls.
    #[must_use]
    pub fn process(&self) -> VmProcess {
        VmProcess {
            vm: self.vm,
            incarnation: self.incarnation,
        }
    }

    pub(super) fn key(&self) -> ShareKey {
        (self.process(), self.first)
    }

    pub(super) fn total(&self) -> u64 {
        // A message from another VM may hold any number.
        self.spent.saturating_add(self.reserved)
    }
}

/// The role of a program's home, which one process has in an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct HomeRole {
    /// Increases whenever the home or its witness changes.
    pub epoch: u64,
    /// Process that grants the program's calls.
    pub home: VmProcess,
    /// Process that has a copy of all grants; `None` before the first one.
    pub witness: Option<VmProcess>,
}

impl HomeRole {
    /// Returns the identifier of the records that the home stores in this epoch.
    #[must_use]
    pub fn record(&self) -> u64 {
        // Used as a plain hash of the three values.
        rendezvous_weight(
            rendezvous_weight(self.home.incarnation, self.epoch),
            self.home.vm,
        )
    }

    /// Returns the home and its witness, the processes that know all that was granted.
    pub fn members(&self) -> impl Iterator<Item = VmProcess> {
        [Some(self.home), self.witness].into_iter().flatten()
    }

    pub(super) fn has_member(&self, process: VmProcess) -> bool {
        self.members().any(|member| member == process)
    }
}

/// A VM's knowledge of a program's account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct AccountCopy {
    /// Highest epoch known; above that of `role` once another VM has asked for the role.
    pub epoch: u64,
    /// Latest role known.
    pub role: Option<HomeRole>,
    /// Time since the VM has known the role, in milliseconds.
    pub role_age_ms: u64,
    /// All shares known.
    pub shares: Vec<BudgetShare>,
    /// Tokens that are assumed to be spent but are not part of any share.
    pub assumed_spent: u64,
    /// Whether counts were lost, and with them perhaps a call beyond the stored bound.
    pub may_miss_call: bool,
    /// Tokens that may be delivered under the stored ceiling; 0 if none is known.
    pub ceiling: u64,
    /// Identifier of the latest stored record known; 0 if none is known.
    pub record: u64,
    /// Tokens that had been delivered when a home stored that record, or when one took over that
    /// knew of no other home.
    pub recorded_tokens: u64,
    /// Whether the home has to store a record of its epoch before it grants a call.
    pub needs_record: bool,
    /// Identifiers of records, stored or not, under which the process knows all that was granted,
    /// but for calls that the processes of `passed_on` granted.
    ///
    /// Part of the reply to a home that takes over only, as is `passed_on`.
    pub known_records: Vec<u64>,
    /// Identifiers of the records that were part of replies to processes that asked for the role, with
    /// the process, which may have granted calls under them.
    pub passed_on: Vec<(u64, VmProcess)>,
}

impl AccountCopy {
    /// Returns the epoch of the latest role known; 0 if none is known.
    pub(super) fn role_epoch(&self) -> u64 {
        self.role.map_or(0, |role| role.epoch)
    }

    /// Returns whether `process` acts as home by this copy.
    #[must_use]
    pub fn is_home(&self, process: VmProcess) -> bool {
        self.role
            .is_some_and(|role| role.home == process && role.epoch == self.epoch)
    }
}
