//! History store of a holder: segment files in a data folder.
//!
//! All functions block on the disk; a daemon calls them off its executor.
//!
//! Each segment is a file of frames. A frame has a header (length, CRC32,
//! kind, slot, epoch, program, sequence) and a payload. One call of
//! [`HistoryStore::append`] writes a batch and syncs it once. A sealed epoch
//! and the drop of a program are frames too, so that the order of all changes
//! is the order of frames.

mod compact;
mod disk;
mod error;
mod frame;
mod history;
mod index;
mod open;
mod segment;

pub use disk::{DiskFault, DiskOperation, StoreDisk};
pub use error::{FindingKind, StoreError, StoreFinding};
pub use history::{
    AppendStatus, HistoryStore, SealReply, StoreOptions, StoreUsage, StoredHistory, StoredRecord,
};
