//! What a VM knows when it acts as home.

use super::ledger::BudgetLedger;
use super::losses::LossFacts;
use crate::decide::members::MemberTable;

/// What a VM knows when it takes a step as home.
#[derive(Debug)]
pub struct HomeView<'a> {
    /// Accounts of programs.
    pub ledger: &'a mut BudgetLedger,
    /// The other VMs.
    pub members: &'a mut MemberTable,
    /// What VMs may have lost.
    pub losses: LossFacts<'a>,
    /// Whether other VMs that act as home can be found.
    pub knows_fleet: bool,
    /// Whether the stored records have been read since the last loss.
    pub knows_records: bool,
    /// Whether this is the first start of all VMs.
    pub is_first_start: bool,
    /// Time for which programs are remembered, in milliseconds.
    pub retention_ms: u64,
    /// Current time, in milliseconds since the start of the process.
    pub now_ms: u64,
}
