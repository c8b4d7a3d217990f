//! Rate and burst of a workspace across all daemons, by credit.
//!
//! A workspace's rate is cut into a few parts, each with a home that owns its
//! one bucket. The other daemons borrow credit for a short time and spend it
//! without asking. What is lent counts against the burst until it is spent,
//! returned or expired, so all daemons together never exceed rate and burst;
//! the loss of one home costs one part of the rate until it has a new home.

mod amount;
mod borrower;
mod home;

pub use amount::{CREDIT_PARTS_MAX, CreditAmount, CreditRate};
pub use borrower::{BorrowState, CreditBorrower, CreditOrder};
pub use home::{CreditAnswer, CreditHome, CreditReturn, GrantId};
