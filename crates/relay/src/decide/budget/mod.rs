//! Token budgets of programs.
//!
//! The calls of a program may reach any VM. Each VM counts the tokens that it has
//! delivered and the tokens reserved for its running calls; this is its share of the
//! program's usage. The program's home VM adds up the shares and grants further calls.
//!
//! Before a grant goes out, another VM, the witness, accepts a copy of the account and with
//! it the epoch of the home's role. A VM that has given the role to another home refuses an
//! older epoch, so that a home that stood still learns of its successor before it grants.
//! A home without the regular witness, or whose predecessor may still run, first replaces
//! the record of the program in the store; two homes can't both do so without one of them
//! learning of the other.
//!
//! Beyond a fixed part of the budget, the home stores a ceiling before it grants a call.
//! After the loss of both VMs that knew an account, the ceiling bounds the tokens that may
//! already have been delivered. The home grants one call beyond the fixed part or the
//! ceiling without a new ceiling: if counts are then lost, the program may exceed its
//! budget by this call, which is allowed.

mod account;
mod ceiling;
mod ceiling_reads;
mod home;
mod ledger;
mod losses;
mod share;
mod takeover;

pub use ceiling::{CeilingClaim, ClaimOutcome, ClaimStatus, StoredCeiling};
pub use ceiling_reads::{CeilingRead, CeilingReads};
pub use home::{HomeDecision, HomeStep, HomeView, TakeoverRecord, WitnessReply, missing_copies};
pub use ledger::{BudgetLedger, BudgetVerdict};
pub use losses::{LossFacts, LossTable, VmLoss, may_have_lost_pair};
pub use share::{AccountCopy, BudgetShare, HomeRole, ProgramKey, VmProcess};
pub use takeover::{AccountReply, TakeoverFinding, TakeoverInput, assess_takeover};
