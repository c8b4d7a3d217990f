//! Times for which this VM remembers streams and programs.

use super::state::Gateway;
use crate::decide::SpanReport;
use crate::plan::MemorySpans;

/// Time beyond the configured retention for which programs are remembered, in
/// milliseconds; covers calls in transit.
const RETENTION_SLACK_MS: u64 = 5_000;

impl Gateway {
    /// Returns the times that count now; `None` without a configuration.
    #[must_use]
    pub fn memory_spans(&self) -> Option<MemorySpans> {
        let spans = self.state.spans.borrow();
        let has_plan = self.state.has_plan.get();
        has_plan.then(|| spans.effective(self.now_ms()))
    }

    /// Adds times that counted before the start of this VM.
    pub fn restore_spans(&self, recorded: MemorySpans) {
        let mut spans = self.state.spans.borrow_mut();
        spans.restore(recorded, self.now_ms());
    }

    /// Returns how long after its first event a stream may still be taken up.
    pub(crate) fn resume_window_ms(&self) -> u64 {
        let spans = self.state.spans.borrow();
        spans.effective(self.now_ms()).resume_ms
    }

    /// Returns how long programs are remembered after their last call.
    ///
    /// After this time, counts lost with a dead VM no longer matter.
    pub(crate) fn program_retention_ms(&self) -> u64 {
        let spans = self.state.spans.borrow();
        spans.effective(self.now_ms()).retention_ms + RETENTION_SLACK_MS
    }
}

/// Adds the times that count at another VM.
pub(crate) fn merge_spans(gateway: &Gateway, reports: &[SpanReport]) {
    let now_ms = gateway.now_ms();
    gateway.state.spans.borrow_mut().merge(reports, now_ms);
}
