//! Rate limits of workspaces: credit borrowed from their homes.

mod borrowing;
mod driver;
mod handle;
mod homes;
mod wire;

pub(crate) use driver::{CreditChannel, start_credit};
pub(crate) use handle::{CreditHandle, RateSubject};
