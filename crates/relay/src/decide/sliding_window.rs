//! Sliding-window counter with fixed-length buckets.

use std::collections::VecDeque;

/// Length of a bucket, in milliseconds.
pub(crate) const BUCKET_MS: u64 = 250;

/// Counts requests or program starts in time buckets; [`Self::expire`] removes the buckets
/// that are older than the window.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlidingWindow {
    /// End time and request count of each bucket, oldest first.
    ///
    /// Times before the start of the process are negative.
    buckets: VecDeque<(i64, f64)>,
    /// Sum of the counts of all buckets.
    pub(crate) total: f64,
}

impl SlidingWindow {
    /// Adds requests to the current bucket; opens a new one if the last has ended.
    pub(crate) fn add(&mut self, requests: f64, now_ms: u64) {
        self.total += requests;
        let now_ms = to_i64(now_ms);
        match self.buckets.back_mut() {
            Some((end_ms, count)) if *end_ms > now_ms => *count += requests,
            _ => self
                .buckets
                .push_back((now_ms + to_i64(BUCKET_MS), requests)),
        }
    }

    /// Removes the buckets that ended at least one window ago; returns their count.
    pub(crate) fn expire(&mut self, now_ms: u64, window_ms: u64) -> f64 {
        let before = self.total;
        while let Some((end_ms, count)) = self.buckets.front().copied() {
            if end_ms + to_i64(window_ms) > to_i64(now_ms) {
                break;
            }
            self.total -= count;
            self.buckets.pop_front();
        }
        before - self.total
    }

    /// Distributes `requests` evenly over the buckets of the last window.
    pub(crate) fn fill_evenly(&mut self, requests: f64, now_ms: u64, window_ms: u64) {
        let buckets = (window_ms / BUCKET_MS).max(1);
        #[expect(clippy::cast_precision_loss, reason = "a few buckets")]
        let count = requests / buckets as f64;
        for index in 0..buckets {
            let age_ms = (buckets - 1 - index) * BUCKET_MS;
            let end_ms = to_i64(now_ms) - to_i64(age_ms);
            self.total += count;
            self.buckets.push_back((end_ms, count));
        }
    }

    /// Returns the request counts in intervals of [`BUCKET_MS`] before now, newest first.
    pub(crate) fn bucket_counts(&self, now_ms: u64, window_ms: u64) -> Vec<u32> {
        let max_buckets = usize::try_from(window_ms / BUCKET_MS + 1).unwrap_or(usize::MAX);
        let mut counts: Vec<f64> = Vec::new();
        for (end_ms, count) in &self.buckets {
            let age_ms = u64::try_from(to_i64(now_ms) - end_ms).unwrap_or(0);
            let index = usize::try_from(age_ms / BUCKET_MS).unwrap_or(usize::MAX);
            if index < max_buckets {
                counts.resize(counts.len().max(index + 1), 0.0);
                counts[index] += count;
            }
        }
        let counts = counts.into_iter();
        counts
            .map(|count| u32::try_from(ceil_to_u64(count)).unwrap_or(u32::MAX))
            .collect()
    }

    /// Replaces all buckets by `counts`, which [`Self::bucket_counts`] returned.
    pub(crate) fn set_bucket_counts(&mut self, counts: &[u32], now_ms: u64) {
        self.clear();
        for (index, count) in counts.iter().enumerate().rev() {
            let age_ms = to_i64(index as u64 * BUCKET_MS);
            let count = f64::from(*count);
            self.total += count;
            self.buckets.push_back((to_i64(now_ms) - age_ms, count));
        }
    }

    /// Returns the time until the oldest `requests` requests leave the window, in
    /// milliseconds; the whole window if it holds fewer, 0 if none has to leave.
    pub(crate) fn time_to_free(&self, requests: f64, now_ms: u64, window_ms: u64) -> u64 {
        if requests <= 0.0 {
            return 0;
        }
        let mut freed = 0.0;
        for (end_ms, count) in &self.buckets {
            freed += count;
            if freed >= requests {
                let at_ms = end_ms + to_i64(window_ms);
                return u64::try_from(at_ms - to_i64(now_ms)).unwrap_or(0);
            }
        }
        window_ms
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Rounds a count up to an integer; negative values become 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small, and clamped to 0"
)]
pub(crate) fn ceil_to_u64(count: f64) -> u64 {
    count.max(0.0).ceil() as u64
}

fn to_i64(time_ms: u64) -> i64 {
    i64::try_from(time_ms).unwrap_or(i64::MAX)
}
