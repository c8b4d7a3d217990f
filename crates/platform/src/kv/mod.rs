//! Client of the key-value service.

mod client;
mod connection;
mod entry;
mod error;
mod exchange;
mod lease;
mod options;
mod txn;
mod watch;

pub use client::KvClient;
pub use entry::{KvChange, KvEntry, KvPut, KvRevision, KvSnapshot, LeaseId};
pub use error::{KvError, KvFailure};
pub use lease::{LeaseGrant, LeaseStatus};
pub use options::KvOptions;
pub use txn::{KvCompare, KvTxn, KvTxnOutcome};
pub use watch::{KvWatch, WatchNotice};
