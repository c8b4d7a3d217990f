//! File operations of the store, with a hook for fault injection.

use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::Arc;

use snafu::ResultExt;

use crate::error::{DiskSnafu, StoreError};

/// Operation on a segment file or the data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskOperation {
    /// Creates the data folder.
    CreateFolder,
    /// Lists the data folder.
    List,
    /// Opens or creates a segment.
    Open,
    /// Reads a segment.
    Read,
    /// Appends to a segment.
    Write,
    /// Syncs a segment or the folder.
    Sync,
    /// Truncates a segment.
    Truncate,
    /// Removes a segment.
    Remove,
}

impl fmt::Display for DiskOperation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::CreateFolder => "create the folder",
            Self::List => "list",
            Self::Open => "open",
            Self::Read => "read",
            Self::Write => "write to",
            Self::Sync => "sync",
            Self::Truncate => "truncate",
            Self::Remove => "remove",
        })
    }
}

/// Hook that runs before each disk operation. If it returns an error, the operation
/// is not run and fails with this error.
pub type FaultHook = Arc<dyn Fn(DiskOperation, &Path) -> io::Result<()> + Send + Sync>;

/// Disk access of the store.
#[derive(Clone)]
pub struct StoreDisk {
    fault_hook: FaultHook,
}

impl Default for StoreDisk {
    fn default() -> Self {
        Self::with_fault_hook(Arc::new(|_, _| Ok(())))
    }
}

impl fmt::Debug for StoreDisk {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("StoreDisk").finish_non_exhaustive()
    }
}

impl StoreDisk {
    /// Creates disk access that calls `fault_hook` before each operation.
    #[must_use]
    pub fn with_fault_hook(fault_hook: FaultHook) -> Self {
        Self { fault_hook }
    }

    /// Runs one operation and adds the operation and path to its error.
    ///
    /// # Errors
    ///
    /// Returns an error if the operation fails.
    pub fn run<T>(
        &self,
        operation: DiskOperation,
        path: &Path,
        action: impl FnOnce() -> io::Result<T>,
    ) -> Result<T, StoreError> {
        (self.fault_hook)(operation, path)
            .and_then(|()| action())
            .context(DiskSnafu { operation, path })
    }

    /// Opens a file for reading and appending, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the operation fails.
    pub fn open(&self, path: &Path) -> Result<File, StoreError> {
        self.run(DiskOperation::Open, path, || {
            OpenOptions::new()
                .read(true)
                .append(true)
                .create(true)
                .open(path)
        })
    }

    /// Appends bytes to a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the operation fails.
    pub fn write(&self, path: &Path, mut file: &File, bytes: &[u8]) -> Result<(), StoreError> {
        self.run(DiskOperation::Write, path, || file.write_all(bytes))
    }

    /// Syncs the data of a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the operation fails.
    pub fn sync(&self, path: &Path, file: &File) -> Result<(), StoreError> {
        self.run(DiskOperation::Sync, path, || file.sync_data())
    }

    /// Syncs a folder, so that new and removed names persist.
    ///
    /// # Errors
    ///
    /// Returns an error if the operation fails.
    pub fn sync_folder(&self, path: &Path) -> Result<(), StoreError> {
        self.run(DiskOperation::Sync, path, || File::open(path)?.sync_all())
    }

    /// Fills a buffer from a position in a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the operation fails.
    pub fn read_at(
        &self,
        path: &Path,
        file: &File,
        offset: u64,
        buffer: &mut [u8],
    ) -> Result<(), StoreError> {
        self.run(DiskOperation::Read, path, || {
            file.read_exact_at(buffer, offset)
        })
    }
}
