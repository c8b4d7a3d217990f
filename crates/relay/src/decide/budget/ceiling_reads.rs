//! Times at which a VM reads the stored ceilings after losses of VMs.
//!
//! Handles many losses in a short time: every VM detects each of them, and each read is a
//! billed call. A read is made only if this VM has to act as home of a program whose counts may
//! be lost, and covers all losses that were detected before it started.

/// Time after the detection of a loss in which further losses are awaited before a read, in
/// milliseconds; a gossip round, in which the losses of an event are detected.
const COLLECT_MS: u64 = 250;

/// A read of the stored ceilings that has started.
#[derive(Clone, Copy, Debug)]
pub struct CeilingRead {
    covered: u64,
}

/// Losses of VMs and the reads of the stored ceilings that cover them.
#[derive(Clone, Copy, Debug, Default)]
pub struct CeilingReads {
    /// Number of losses that were detected.
    detected: u64,
    /// Number of losses, the earliest first, that a completed read covers.
    covered: u64,
    /// Detection of the first loss after the last read started, in milliseconds.
    pending_since_ms: Option<u64>,
    is_requested: bool,
}

impl CeilingReads {
    /// Records the detection of a loss.
    pub fn record_loss(&mut self, now_ms: u64) {
        self.detected += 1;
        self.pending_since_ms.get_or_insert(now_ms);
    }

    /// Returns whether a loss was detected that no completed read covers.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        self.covered < self.detected
    }

    /// Requests a read for the losses that are not covered, if there are any.
    pub fn request(&mut self) {
        self.is_requested = self.is_needed();
    }

    /// Starts a read if one is requested and further losses have been awaited.
    pub fn start(&mut self, now_ms: u64) -> Option<CeilingRead> {
        let is_due = self
            .pending_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + COLLECT_MS);
        if !self.is_requested || !is_due {
            return None;
        }
        self.is_requested = false;
        self.pending_since_ms = None;
        Some(CeilingRead {
            covered: self.detected,
        })
    }

    /// Records that a read has returned all ceilings.
    pub fn complete(&mut self, read: CeilingRead) {
        self.covered = self.covered.max(read.covered);
        self.is_requested &= self.is_needed();
    }

    /// Records that a read has failed; the next one may start at once.
    pub fn fail(&mut self, read: CeilingRead) {
        if read.covered > self.covered {
            self.pending_since_ms = Some(0);
        }
    }
}
