//! How fast a body arrives from its client, or a response is taken by it.

use std::cmp::Reverse;

/// Time without data by whose multiples transfers are compared, in milliseconds; longer than the
/// pauses between the packets of a client that is sending.
const STALL_STEP_MS: u64 = 500;
/// Age from which the rate of a transfer is known, in milliseconds.
const RATE_KNOWN_MS: u64 = 500;
/// Rate that is assumed for a younger transfer, in bytes per second; transfers that have been
/// slower make room for it.
const ASSUMED_BYTES_PER_S: u64 = 64 * 1_024;

/// Rank of a transfer among those that hold memory; the least has made the least progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProgressRank {
    stalled_steps: Reverse<u64>,
    bytes_per_s: u64,
}

impl ProgressRank {
    /// Rank of a transfer that has just begun.
    pub(crate) const FRESH: Self = Self {
        stalled_steps: Reverse(0),
        bytes_per_s: ASSUMED_BYTES_PER_S,
    };
}

/// Bytes of a transfer and their times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferProgress {
    transferred: u64,
    began_ms: u64,
    last_data_ms: u64,
}

impl TransferProgress {
    pub(crate) fn begin(now_ms: u64) -> Self {
        Self {
            transferred: 0,
            began_ms: now_ms,
            last_data_ms: now_ms,
        }
    }

    pub(crate) fn record(&mut self, size: usize, now_ms: u64) {
        self.transferred += size as u64;
        self.last_data_ms = now_ms;
    }

    /// Returns the time without data, in milliseconds.
    pub(crate) fn stalled_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_data_ms)
    }

    pub(crate) fn rank(&self, now_ms: u64) -> ProgressRank {
        let age_ms = now_ms.saturating_sub(self.began_ms);
        let rate = self.transferred.saturating_mul(1_000) / age_ms.max(RATE_KNOWN_MS);
        let is_young = age_ms < RATE_KNOWN_MS;
        ProgressRank {
            stalled_steps: Reverse(self.stalled_ms(now_ms) / STALL_STEP_MS),
            bytes_per_s: if is_young {
                rate.max(ASSUMED_BYTES_PER_S)
            } else {
                rate
            },
        }
    }
}
