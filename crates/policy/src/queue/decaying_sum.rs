//! Exponentially decaying sums.

use ibisdale_core::TimeStamp;

/// Time in which an added amount decays to 1/e of its value, in milliseconds.
const TIME_CONSTANT_MS: f64 = 10_000.0;

/// Sum whose added amounts decay exponentially with age.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum {
    value: f64,
    at: TimeStamp,
}

impl DecayingSum {
    pub(crate) fn add(&mut self, amount: f64, now: TimeStamp) {
        self.value = self.get(now) + amount;
        self.at = self.at.max(now);
    }

    pub(crate) fn get(&self, now: TimeStamp) -> f64 {
        let age_ms = now.since(self.at).as_secs_f64() * 1_000.0;
        self.value * (-age_ms / TIME_CONSTANT_MS).exp()
    }
}
