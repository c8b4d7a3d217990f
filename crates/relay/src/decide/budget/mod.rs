//! Token budgets of programs.
//!
//! The calls of a program may reach any VM. Each VM counts the tokens that it has
//! delivered and the tokens reserved for its running calls; this is its share of the
//! program's usage. The program's home VM adds up the shares and grants further calls.
//!
//! # What an account assumes
//!
//! Two processes keep each account: the home, and the witness that accepts a copy before each
//! grant goes out. They are the members of a role, which has an epoch; a VM that has given the
//! role to another home refuses an older one. Whatever loses knowledge (a kill, a freeze, a cut, a
//! late answer), one statement holds:
//!
//! - **A member knows all that was granted in its role.** A home that has the reply of a member of
//!   the latest role, or is one, counts exactly. What any other VM knows may be old.
//! - **A role that begins without a reply of each member that may still run begins with a record in
//!   the store**, before its first grant. So a member that was passed over finds the record, and a
//!   home that may have been passed over (two VMs were lost together since it knew the role, so that
//!   a later role may be lost with them) looks for one before it grants.
//! - **What no member can tell is bounded**: by the record, or by the part of the budget that needs
//!   none. All of it counts as spent. Beyond the bound one call may have been granted, which the
//!   rule allows once; such an account grants nothing more without a record.
//!
//! - **A record is known by those that it was passed on to as well.** A home that takes over goes on
//!   under the record of the one before it. So the VM that stored the record knows what was granted
//!   under it only together with all VMs that it told of it.
//! - **A VM that was absent knows nothing of that time.** It has kept what it knew, but two others may
//!   have kept the account without it.
//!
//! A member whose partner is gone finds another one at once, so that it takes the loss of two VMs
//! within a moment to lose an account, and the loss of one costs no program what it has left.

mod account;
mod ceiling;
mod ceiling_reads;
mod home;
mod ledger;
mod losses;
mod peers;
mod search;
mod share;
mod takeover;
mod view;

pub use ceiling::{CeilingClaim, ClaimOutcome, ClaimStatus, StoredCeiling};
pub use ceiling_reads::{CeilingRead, CeilingReads};
pub use home::{HomeDecision, HomeStep, TakeoverRecord, WitnessReply};
pub use ledger::{BudgetLedger, BudgetVerdict};
pub use losses::{LossFacts, LossTable, PEER_REPORT_TIMEOUT_MS, VmLoss, may_have_lost_pair};
pub use peers::{has_lost_partner, missing_copies};
pub use search::{HomeSearch, SearchTarget};
pub use share::{AccountCopy, BudgetShare, HomeRole, ProgramKey, VmProcess};
pub use takeover::{AccountReply, TakeoverFinding, TakeoverInput, assess_takeover};
pub use view::HomeView;
