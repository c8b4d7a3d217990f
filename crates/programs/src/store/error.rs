//! Errors and findings of the history store.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::store::disk::DiskOperation;

/// Error of a store operation.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// A disk operation failed.
    #[snafu(display("{operation} of {} failed: {source}", path.display()))]
    Disk {
        /// The operation that failed.
        operation: DiskOperation,
        /// Path of the file or folder.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// An earlier write or sync failed, so the contents of the disk are unknown
    /// until the store is reopened.
    #[snafu(display("the store is closed to writes after a failed write"))]
    Poisoned,
    /// A stored record is damaged.
    #[snafu(display("{finding}"))]
    Damaged {
        /// Kind and location of the damage.
        finding: StoreFinding,
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
pub enum FindingKind {
    /// The segment ends within a frame. In the last segment the incomplete frame
    /// was truncated.
    TruncatedTail,
    /// The payload checksum of a frame does not match; the frame is skipped.
    BadChecksum,
    /// A frame header is invalid; the rest of the segment is skipped.
    BadHeader,
    /// Records of the program that precede this one are missing.
    MissingRecord,
}

/// Damage found in a segment file, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("{} at byte {offset}: {kind:?}, {length} bytes", path.display()))]
pub struct StoreFinding {
    /// Path of the segment file.
    pub path: PathBuf,
    /// Offset of the damage in the file, in bytes.
    pub offset: u64,
    /// Length of the damage, in bytes.
    pub length: u64,
    /// Kind of damage.
    pub kind: FindingKind,
}
