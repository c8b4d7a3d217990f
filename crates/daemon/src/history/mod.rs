//! Copies of programs' histories on daemons with a data folder.

mod convert;
mod holder;
mod reader;
mod writer;

pub(crate) use holder::HistoryHolder;
pub(crate) use reader::{SlotRecovery, recover_slot};
pub(crate) use writer::{AppendJob, HistoryWriter, StoreResult};
