//! Sums in which the past counts less and less.

use ibisdale_core::TimeStamp;

/// Time in which a part falls to 1/e of itself, in milliseconds.
const DECAY_MS: f64 = 10_000.0;

/// A sum whose parts decay exponentially with age.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentSum {
    value: f64,
    at: TimeStamp,
}

impl RecentSum {
    pub(crate) fn add(&mut self, amount: f64, now: TimeStamp) {
        self.value = self.get(now) + amount;
        self.at = self.at.max(now);
    }

    pub(crate) fn get(&self, now: TimeStamp) -> f64 {
        let age_ms = now.since(self.at).as_secs_f64() * 1_000.0;
        self.value * (-age_ms / DECAY_MS).exp()
    }
}
