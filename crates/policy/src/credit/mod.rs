//! Distributed rate limiting: rate and burst of a workspace across all daemons.
//!
//! The rate is divided into a few parts. Each part has one token bucket, owned by
//! a daemon called its home. The other daemons borrow credit from the home for a
//! short time and spend it without a further call. Lent credit counts against the
//! burst until it is spent, returned or expired, so all daemons together never
//! exceed rate and burst. When a home fails, one part of the rate is unavailable
//! until the part has a new home.

mod amount;
mod borrower;
mod home;

pub use amount::{CREDIT_PARTS_MAX, CreditAmount, CreditRate};
pub use borrower::{BorrowRequest, BorrowState, CreditBorrower};
pub use home::{BorrowReply, CreditHome, CreditReturn, GrantId};
