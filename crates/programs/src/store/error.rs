//! Errors and findings of the history store.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::store::disk::DiskOperation;

/// Tells why the store can't work.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The disk refused an operation.
    #[snafu(display("{operation} of {} failed: {source}", path.display()))]
    Disk {
        /// What was tried.
        operation: DiskOperation,
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// An earlier write or sync failed: what the disk holds is not known until
    /// the store is opened again.
    #[snafu(display("the store is closed to writes after a failed write"))]
    Poisoned,
    /// The stored record is damaged.
    #[snafu(display("{finding}"))]
    Damaged {
        /// What is damaged, and where.
        finding: StoreFinding,
    },
}

impl StoreError {
    /// Tells whether the disk has no space left.
    #[must_use]
    pub fn is_disk_full(&self) -> bool {
        matches!(self, Self::Disk { source, .. }
            if matches!(source.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded))
    }
}

/// Kind of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingKind {
    /// The last segment ended within a frame; the rest of it was cut off.
    TruncatedTail,
    /// A frame's checksum does not match; the frame is refused.
    BadChecksum,
    /// A frame's header makes no sense; the rest of the segment is refused.
    BadHeader,
    /// A program's record is missing before this one.
    MissingRecord,
}

/// Damage found in a segment file, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("{} at byte {offset}: {kind:?}, {length} bytes", path.display()))]
pub struct StoreFinding {
    /// The segment file.
    pub path: PathBuf,
    /// Position of the damage, in bytes.
    pub offset: u64,
    /// Length of the damage, in bytes.
    pub length: u64,
    /// What is wrong.
    pub kind: FindingKind,
}
