//! Log-structured history store of a holder, in segment files in a data folder.
//!
//! All functions block on disk I/O; the daemon calls them outside its async
//! executor.
//!
//! Each segment is a sequence of frames. A frame consists of a header (payload
//! length, kind, slot, epoch, program, sequence, and CRC32 checksums of the
//! payload and the header) and a payload. Each call of [`HistoryStore::append`]
//! writes its records as one batch with a single sync. Seals and drops are
//! frames too, so that replaying the frames applies all changes in their
//! original order.

mod compact;
mod frame;
mod history;
mod index;
mod open;

pub use history::{
    AppendStatus, HistoryStore, SealReply, StoreOptions, StoreUsage, StoredHistory, StoredRecord,
};
pub use ibisdale_segments::{
    DamageKind, DiskOperation, FaultHook, StoreDamage, StoreDisk, StoreError,
};
