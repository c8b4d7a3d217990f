//! Options of the feed.

use std::time::Duration;

use ibisdale_settings::store::CHUNK_MAX_BYTES;

/// Time by default between confirmations of the revision in force.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(5);
/// Time by default in which an apply must be settled.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Revisions by default that are kept.
const KEPT_REVISIONS: usize = 50;

/// How the settings are followed and applied.
#[derive(Clone, Copy, Debug)]
pub struct FeedOptions {
    confirm_interval: Duration,
    apply_timeout: Duration,
    kept_revisions: usize,
    chunk_bytes: usize,
}

impl Default for FeedOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl FeedOptions {
    /// Creates the default options.
    #[must_use]
    pub fn new() -> Self {
        Self {
            confirm_interval: CONFIRM_INTERVAL,
            apply_timeout: APPLY_TIMEOUT,
            kept_revisions: KEPT_REVISIONS,
            chunk_bytes: CHUNK_MAX_BYTES,
        }
    }

    /// Sets the time between confirmations of the revision in force.
    #[must_use]
    pub fn confirm_interval(mut self, interval: Duration) -> Self {
        self.confirm_interval = interval;
        self
    }

    /// Sets the time in which an apply must be settled.
    #[must_use]
    pub fn apply_timeout(mut self, timeout: Duration) -> Self {
        self.apply_timeout = timeout;
        self
    }

    /// Sets the number of revisions that are kept; at least 1.
    #[must_use]
    pub fn kept_revisions(mut self, revisions: usize) -> Self {
        self.kept_revisions = revisions.max(1);
        self
    }

    /// Sets the size of the chunks that texts are stored in, in bytes; at most what
    /// the service holds.
    #[must_use]
    pub fn chunk_bytes(mut self, bytes: usize) -> Self {
        self.chunk_bytes = bytes.clamp(1, CHUNK_MAX_BYTES);
        self
    }

    /// Returns the time between confirmations of the revision in force.
    #[must_use]
    pub fn get_confirm_interval(&self) -> Duration {
        self.confirm_interval
    }

    /// Returns the time in which an apply must be settled.
    #[must_use]
    pub fn get_apply_timeout(&self) -> Duration {
        self.apply_timeout
    }

    /// Returns the number of revisions that are kept.
    #[must_use]
    pub fn get_kept_revisions(&self) -> usize {
        self.kept_revisions
    }

    /// Returns the size of the chunks that texts are stored in, in bytes.
    #[must_use]
    pub fn get_chunk_bytes(&self) -> usize {
        self.chunk_bytes
    }
}
