//! The journal of paid actions: what is recorded before an action that must not
//! run twice, and when.
//!
//! A daemon keeps one journal a registration, as one value in the key-value
//! service. Each write names the revision that it replaces and the revisions of
//! the slots it concerns, so that nothing is recorded after another daemon has
//! sealed the journal or taken a slot.

mod book;
mod entry;
mod queue;

pub(crate) use book::CommitGroup;
pub use book::{IntentReceipt, IntentVerdict, JournalBook, JournalLimits, NotCommittedReason};
pub use entry::{EntryState, JournalEntry, JournalValue};
pub use queue::{IntentRequest, IntentTicket};
