//! Write-ahead journal of paid actions, which must not run twice.
//!
//! The intent to run an action is recorded before the action is sent. A daemon has
//! one journal per registration, stored as one value in the key-value service. Each
//! write is conditional on the revision that it replaces and on the revisions of the
//! slots involved, so that nothing is recorded after another daemon has sealed the
//! journal or taken over a slot.

mod entry;
mod queue;
mod writer;

pub use entry::{EntryState, JournalEntry, JournalValue};
pub use queue::{IntentRequest, IntentTicket};
pub(crate) use writer::CommitGroup;
pub use writer::{IntentReceipt, IntentVerdict, JournalLimits, JournalWriter, NotCommittedReason};
