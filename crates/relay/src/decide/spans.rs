//! Requests of the last window, counted in spans of time.

use std::collections::VecDeque;

/// Length of the spans that admissions are counted in, in milliseconds.
pub(crate) const SPAN_MS: u64 = 250;

/// Requests counted in spans of time.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestSpans {
    /// Ends of spans with the requests in them.
    ///
    /// Ends before the start of the process are negative.
    spans: VecDeque<(i64, f64)>,
    /// Requests in all spans.
    pub(crate) total: f64,
}

impl RequestSpans {
    pub(crate) fn count(&mut self, requests: f64, now_ms: u64) {
        self.total += requests;
        let now_ms = signed(now_ms);
        match self.spans.back_mut() {
            Some((end_ms, count)) if *end_ms > now_ms => *count += requests,
            _ => self.spans.push_back((now_ms + signed(SPAN_MS), requests)),
        }
    }

    pub(crate) fn expire(&mut self, now_ms: u64, window_ms: u64) {
        while let Some((end_ms, count)) = self.spans.front().copied() {
            if end_ms + signed(window_ms) > signed(now_ms) {
                break;
            }
            self.total -= count;
            self.spans.pop_front();
        }
    }

    /// Spreads requests evenly over the last window.
    pub(crate) fn spread(&mut self, requests: f64, now_ms: u64, window_ms: u64) {
        let spans = (window_ms / SPAN_MS).max(1);
        #[expect(clippy::cast_precision_loss, reason = "a few spans")]
        let count = requests / spans as f64;
        for span in 0..spans {
            let age_ms = (spans - 1 - span) * SPAN_MS;
            let end_ms = signed(now_ms) - signed(age_ms);
            self.total += count;
            self.spans.push_back((end_ms, count));
        }
    }

    /// Returns the requests in spans of [`SPAN_MS`], the newest first.
    pub(crate) fn shape(&self, now_ms: u64, window_ms: u64) -> Vec<u32> {
        let most = usize::try_from(window_ms / SPAN_MS + 1).unwrap_or(usize::MAX);
        let mut counts: Vec<f64> = Vec::new();
        for (end_ms, count) in &self.spans {
            let age_ms = u64::try_from(signed(now_ms) - end_ms).unwrap_or(0);
            let place = usize::try_from(age_ms / SPAN_MS).unwrap_or(usize::MAX);
            if place < most {
                counts.resize(counts.len().max(place + 1), 0.0);
                counts[place] += count;
            }
        }
        let counts = counts.into_iter();
        counts
            .map(|count| u32::try_from(whole(count)).unwrap_or(u32::MAX))
            .collect()
    }

    /// Takes requests in spans of [`SPAN_MS`], the newest first.
    pub(crate) fn take_shape(&mut self, counts: &[u32], now_ms: u64) {
        self.clear();
        for (place, count) in counts.iter().enumerate().rev() {
            let age_ms = signed(place as u64 * SPAN_MS);
            let count = f64::from(*count);
            self.total += count;
            self.spans.push_back((signed(now_ms) - age_ms, count));
        }
    }

    /// Returns the time until `requests` have left the window, in milliseconds.
    pub(crate) fn time_to_free(&self, requests: f64, now_ms: u64, window_ms: u64) -> u64 {
        let mut freed = 0.0;
        for (end_ms, count) in &self.spans {
            freed += count;
            if freed >= requests {
                let at_ms = end_ms + signed(window_ms);
                return u64::try_from(at_ms - signed(now_ms)).unwrap_or(0);
            }
        }
        window_ms
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Rounds a count up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts are small and not negative"
)]
pub(crate) fn whole(count: f64) -> u64 {
    count.max(0.0).ceil() as u64
}

fn signed(time_ms: u64) -> i64 {
    i64::try_from(time_ms).unwrap_or(i64::MAX)
}
