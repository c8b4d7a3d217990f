//! Errors of a store and damage in its files.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::disk::DiskOperation;

/// Error in a store operation.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// A disk operation failed.
    #[snafu(display("can't {operation} {}: {source}", path.display()))]
    Disk {
        /// The operation that failed.
        operation: DiskOperation,
        /// Path of the file or folder.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// An earlier write or sync failed, so the contents of the disk are unknown
    /// until the store is reopened. Also returned if a segment is missing.
    #[snafu(display("a write or sync failed earlier, or a segment is missing"))]
    Poisoned,
    /// A stored record is damaged.
    #[snafu(display("{damage}"))]
    Damaged {
        /// Kind and location of the damage.
        damage: StoreDamage,
    },
}

impl StoreError {
    /// Returns whether the disk or its quota has no space left.
    #[must_use]
    pub fn is_disk_full(&self) -> bool {
        matches!(self, Self::Disk { source, .. }
            if matches!(source.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded))
    }
}

/// Kind of damage found in a segment file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DamageKind {
    /// The segment ends within a frame. The store removed the incomplete frame if
    /// it was in the last segment.
    IncompleteFrame,
    /// The payload checksum of a frame does not match; the frame is skipped.
    BadChecksum,
    /// A frame header is invalid; the rest of the segment is skipped.
    BadHeader,
    /// Records that belong before the one at this offset are missing.
    MissingRecord,
}

/// Damage found in a segment file, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("{} at byte {offset}: {kind:?}, {length} bytes", path.display()))]
pub struct StoreDamage {
    /// Path of the segment file.
    pub path: PathBuf,
    /// Offset of the damage in the file, in bytes.
    pub offset: u64,
    /// Length of the affected range, in bytes.
    pub length: u64,
    /// Kind of damage.
    pub kind: DamageKind,
}
