//! How long work currently takes on a replica's machine, as the replica reports it.

/// Range of the number that a replica reports; other numbers are ignored.
const REPORTED_RANGE: (f64, f64) = (1.0, 10_000.0);
/// Reported number of a machine on which work takes the usual time.
const REPORTED_USUAL: f64 = 100.0;
/// Range of the momentary factor.
pub(super) const FACTOR_RANGE: (f64, f64) = (0.25, 8.0);
/// Time after which a momentary factor is discarded, in milliseconds.
const FACTOR_MAX_AGE_MS: u64 = 1_500;

/// Reads the number in which a replica reports how long work takes on its machine.
///
/// Returns the factor relative to the usual time, or `None` if the text is no decimal from 1 to
/// 10,000.
#[must_use]
pub fn read_momentary_factor(text: &str) -> Option<f64> {
    let is_decimal = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    if !text.bytes().all(is_decimal) {
        return None;
    }
    let number: f64 = text.parse().ok()?;
    let (min, max) = REPORTED_RANGE;
    let is_valid = (min..=max).contains(&number);
    is_valid.then(|| (number / REPORTED_USUAL).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1))
}

/// Momentary factor and when it was reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct MomentaryFactor {
    pub(super) factor: f64,
    pub(super) at_ms: u64,
}

impl MomentaryFactor {
    pub(super) fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.at_ms) <= FACTOR_MAX_AGE_MS
    }
}
