//! How long what a VM remembers of streams and programs still matters.
//!
//! A stream or a program may have begun under a version of the configuration that has been
//! replaced since, and its callers come back within the times of that version. So a time that a
//! new version shortens still counts until all that began under the version before it has ended.
//! Origins of streams, listed software versions, accounts of programs and losses of VMs take their
//! times from here; kept turns and the rates of workspaces have their own. Load: changes of the
//! configuration, of which a VM may miss some that others have applied.

use serde::{Deserialize, Serialize};

use crate::plan::MemorySpans;

/// Time by which VMs may differ in when they apply a version, in milliseconds.
const APPLY_SLACK_MS: u64 = 5_000;
/// Difference of times up to which two reports are about the same replacement, in milliseconds.
const SAME_REPLACEMENT_MS: i64 = 1_000;
/// Maximum number of remembered replacements; more are joined.
const REPLACEMENTS_MAX: usize = 8;

/// Times of a replaced version, as one VM reports them to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct SpanReport {
    /// Times of the version.
    pub spans: MemorySpans,
    /// Time since it was replaced, in milliseconds.
    pub age_ms: u64,
}

/// Times of the version in force and of those that it has replaced.
#[derive(Clone, Debug, Default)]
pub struct SpanHistory {
    in_force: MemorySpans,
    replaced: Vec<ReplacedSpans>,
}

#[derive(Clone, Copy, Debug)]
struct ReplacedSpans {
    spans: MemorySpans,
    /// Negative if the version was replaced before this process started.
    replaced_ms: i64,
}

impl ReplacedSpans {
    fn new(spans: MemorySpans, age_ms: u64, now_ms: u64) -> Self {
        Self {
            spans,
            replaced_ms: now_ms.cast_signed().saturating_sub_unsigned(age_ms),
        }
    }

    fn age_ms(self, now_ms: u64) -> u64 {
        let age_ms = now_ms.cast_signed().saturating_sub(self.replaced_ms);
        age_ms.max(0).cast_unsigned()
    }

    /// Returns the times for which something that began under the version may still matter.
    ///
    /// The last request of the version may end that much later than the version.
    fn remaining(self, now_ms: u64) -> MemorySpans {
        let age_ms = self.age_ms(now_ms);
        let lasts = |span_ms: u64| {
            let end_ms = span_ms.saturating_add(self.spans.request_ms);
            age_ms < end_ms.saturating_add(APPLY_SLACK_MS)
        };
        let keep = |span_ms: u64| if lasts(span_ms) { span_ms } else { 0 };
        MemorySpans {
            resume_ms: keep(self.spans.resume_ms),
            retention_ms: keep(self.spans.retention_ms),
            request_ms: keep(self.spans.request_ms),
        }
    }

    fn covers(self, other: Self) -> bool {
        !other.spans.exceeds(self.spans) && self.replaced_ms >= other.replaced_ms
    }

    fn join(self, other: Self) -> Self {
        Self {
            spans: self.spans.max(other.spans),
            replaced_ms: self.replaced_ms.max(other.replaced_ms),
        }
    }
}

impl SpanHistory {
    /// Creates a history with the times that count without a version.
    #[must_use]
    pub fn new(spans: MemorySpans) -> Self {
        Self {
            in_force: spans,
            replaced: Vec::new(),
        }
    }

    /// Records that a version with `spans` is in force from now on.
    pub fn replace(&mut self, spans: MemorySpans, now_ms: u64) {
        let before = std::mem::replace(&mut self.in_force, spans);
        if before.exceeds(spans) {
            self.insert(ReplacedSpans::new(before, 0, now_ms));
        }
    }

    /// Records the times of a version that was in force at an unknown time until now.
    pub fn restore(&mut self, spans: MemorySpans, now_ms: u64) {
        let report = SpanReport { spans, age_ms: 0 };
        self.merge(&[report], now_ms);
    }

    /// Records the times of versions that another VM has replaced.
    pub fn merge(&mut self, reports: &[SpanReport], now_ms: u64) {
        for report in reports {
            let replaced = ReplacedSpans::new(report.spans, report.age_ms, now_ms);
            // A report takes time on its way, and must not become younger by being passed on.
            let known = self.replaced.iter().any(|known| {
                known.spans == replaced.spans
                    && known.replaced_ms.saturating_add(SAME_REPLACEMENT_MS) >= replaced.replaced_ms
            });
            if !known && replaced.remaining(now_ms).exceeds(self.in_force) {
                self.insert(replaced);
            }
        }
    }

    /// Returns the replaced versions whose times still count.
    #[must_use]
    pub fn reports(&self, now_ms: u64) -> Vec<SpanReport> {
        let lasting = self.replaced.iter().filter(|replaced| {
            let remaining = replaced.remaining(now_ms);
            remaining.exceeds(self.in_force)
        });
        let reports = lasting.map(|replaced| SpanReport {
            spans: replaced.spans,
            age_ms: replaced.age_ms(now_ms),
        });
        reports.collect()
    }

    /// Returns the times that count now: the longest of the version in force and of those under
    /// which something may have begun that has not ended.
    #[must_use]
    pub fn effective(&self, now_ms: u64) -> MemorySpans {
        let replaced = self.replaced.iter();
        let remaining = replaced.map(|replaced| replaced.remaining(now_ms));
        remaining.fold(self.in_force, MemorySpans::max)
    }

    /// Removes the versions whose times no longer count.
    pub fn expire(&mut self, now_ms: u64) {
        self.replaced
            .retain(|replaced| replaced.remaining(now_ms) != MemorySpans::default());
    }

    fn insert(&mut self, replaced: ReplacedSpans) {
        if self.replaced.iter().any(|known| known.covers(replaced)) {
            return;
        }
        self.replaced.retain(|known| !replaced.covers(*known));
        self.replaced.push(replaced);
        if self.replaced.len() > REPLACEMENTS_MAX {
            self.replaced.sort_by_key(|known| known.replaced_ms);
            let oldest = self.replaced.remove(0);
            self.replaced[0] = self.replaced[0].join(oldest);
        }
    }
}
