//! Ownership of slots and the journal of paid actions, driven against the
//! key-value service.

mod calls;
mod clock;
mod control;
mod driver;
mod feed;
mod message;

pub use clock::ProcessClock;
pub use driver::{OwnershipDriver, OwnershipHandle};
pub use message::{CommittedIntent, IntentError, PaidIntent, PinnedSlot};
