//! Times for which a version of the configuration needs streams and programs to be remembered.

use serde::{Deserialize, Serialize};

/// Times of a version of the configuration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct MemorySpans {
    /// Time from the first event of a stream to the last attempt to take it up.
    pub resume_ms: u64,
    /// Time from the last request of a program to the next one.
    pub retention_ms: u64,
    /// Time for which a request may run.
    pub request_ms: u64,
}

impl MemorySpans {
    /// Returns the longer of each time.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            resume_ms: self.resume_ms.max(other.resume_ms),
            retention_ms: self.retention_ms.max(other.retention_ms),
            request_ms: self.request_ms.max(other.request_ms),
        }
    }

    /// Returns whether any of the times is longer than that of `other`.
    #[must_use]
    pub fn exceeds(self, other: Self) -> bool {
        self.max(other) != other
    }
}
