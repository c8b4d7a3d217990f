//! Learned speed of replicas.
//!
//! Handles services whose replicas differ in speed, permanently or for some seconds, long before
//! they are full. A VM of a large fleet sees a given replica only every few seconds, so the VMs
//! exchange the times that they measure. The table is empty of effect for a service until one of
//! its replicas has reported how long work takes on its machine.
//!
//! The speed of a replica is the median time per unit of work of its service's replicas, divided
//! by its own. It is quantized to a few steps with hysteresis: a program that changes its replica
//! has its prompt read again, which costs more than a small difference in speed.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::limits::StartKey;
use super::momentary_factor::{FACTOR_RANGE, MomentaryFactor};

/// Range of the momentary factor that counts as usual.
const FACTOR_USUAL_RANGE: (f64, f64) = (0.8, 1.25);
/// Minimum weight of a reported factor in the usual factor of the replica; the first factors have
/// larger ones, so that a wrong one that is always reported is corrected soon.
const USUAL_FACTOR_WEIGHT_MIN: f64 = 0.02;
/// Time after which measured times are discarded, in milliseconds.
const TIME_MAX_AGE_MS: u64 = 30_000;
/// Time over which measured times are averaged, in milliseconds.
const AVERAGE_MS: f64 = 1_000.0;
/// Range of the weight of one measured time in the average. The smallest lets a burst of
/// observations count, the largest keeps a single slow response from being the average.
const SAMPLE_WEIGHT_RANGE: (f64, f64) = (0.02, 0.3);
/// Number of measured times from which the speed of a replica is known.
const SAMPLES_MIN: u32 = 8;
/// Ratio of the speeds of two successive steps.
const STEP_RATIO: f64 = 1.5;
/// Range of the steps.
const STEP_RANGE: (f64, f64) = (-2.0, 2.0);
/// Distance from the current step at which the step changes. Above 0.5, so that a speed between
/// two steps does not alternate; the first step begins at a speed of 1.33 or 0.75.
const STEP_HYSTERESIS: f64 = 0.7;
/// Time for which a speed must be that far from the current step before the step changes, in
/// milliseconds; longer than the bursts of some 600 ms in which machines are slow.
const STEP_CONFIRMATION_MS: u64 = 1_000;
/// Minimum time between two changes of a replica's step, in milliseconds.
const STEP_MIN_MS: u64 = 2_000;
/// Maximum number of reports in a message.
const REPORTS_MAX: usize = 64;
/// Exponent of the speed in the weight of rendezvous hashing while replicas are far below their
/// slots, so that fast ones get more than in proportion to their speed.
const IDLE_WEIGHT_EXPONENT: f64 = 2.0;
/// Exponent of the speed in that weight otherwise. With a larger one, fast replicas were filled
/// above their slots and their programs moved to others.
const BUSY_WEIGHT_EXPONENT: f64 = 0.5;
/// Shares of the slots in use above which a service is busy and below which it is no longer. They
/// are far apart, since each change moves programs.
const BUSY_UTILIZATION: (f64, f64) = (0.45, 0.3);

/// What a VM has measured of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct SpeedReport {
    /// Truncated key of the replica's start.
    pub start_hash: u32,
    /// Average time per unit of work at the usual factor, in microseconds; 0 if none was measured.
    pub unit_us: u32,
    /// Last momentary factor in percent; 0 if it is too old.
    pub factor_percent: u16,
    /// Age of the measured time, in milliseconds.
    pub age_ms: u16,
    /// Age of the momentary factor, in milliseconds.
    pub factor_age_ms: u16,
}

/// A change of a replica's step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepChange {
    /// Truncated key of the replica's start.
    pub start_hash: u32,
    /// Step before the change.
    pub before: i8,
    /// Step after the change; positive steps are faster than the median.
    pub step: i8,
}

/// Smallest and largest learned speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedSpan {
    /// Speed of the slowest replica; 1 if none is known.
    pub min: f64,
    /// Speed of the fastest replica; 1 if none is known.
    pub max: f64,
}

/// Average of measured times.
#[derive(Clone, Copy, Debug, Default)]
struct AverageTime {
    unit_us: f64,
    samples: u32,
    at_ms: u64,
}

impl AverageTime {
    fn add(&mut self, unit_us: f64, at_ms: u64) {
        if self.samples == 0 {
            self.unit_us = unit_us;
        } else {
            #[expect(clippy::cast_precision_loss, reason = "at most some minutes")]
            let elapsed_ms = at_ms.saturating_sub(self.at_ms) as f64;
            let (min, max) = SAMPLE_WEIGHT_RANGE;
            let initial_weight = 1.0 / f64::from(self.samples.saturating_add(1));
            let weight = (elapsed_ms / AVERAGE_MS).clamp(min, max);
            let weight = weight.max(initial_weight.min(max));
            self.unit_us += weight * (unit_us - self.unit_us);
        }
        self.samples = self.samples.saturating_add(1);
        self.at_ms = self.at_ms.max(at_ms);
    }

    fn is_recent(&self, max_age_ms: u64, now_ms: u64) -> bool {
        self.samples > 0 && now_ms.saturating_sub(self.at_ms) <= max_age_ms
    }
}

/// What is known of one start of a replica.
#[derive(Clone, Debug)]
struct ReplicaSpeed {
    service: u64,
    /// Times that this VM measured.
    own: AverageTime,
    /// Times that all VMs measured.
    all: AverageTime,
    own_factor: Option<MomentaryFactor>,
    factor: Option<MomentaryFactor>,
    /// Average of the reported factors. Measured times are divided by the momentary factor in
    /// relation to it, so that a wrong factor that is always reported has no effect.
    usual_factor: f64,
    factor_count: u32,
    step: i8,
    changed_ms: Option<u64>,
    /// Since when the speed has been far from the current step.
    deviating_since_ms: Option<u64>,
}

impl ReplicaSpeed {
    fn new(service: u64) -> Self {
        Self {
            service,
            own: AverageTime::default(),
            all: AverageTime::default(),
            own_factor: None,
            factor: None,
            usual_factor: 1.0,
            factor_count: 0,
            step: 0,
            changed_ms: None,
            deviating_since_ms: None,
        }
    }

    fn record_factor(&mut self, factor: MomentaryFactor) {
        self.factor_count = self.factor_count.saturating_add(1);
        // The initial value counts as one report.
        let weight = 1.0 / (f64::from(self.factor_count) + 1.0);
        let weight = weight.max(USUAL_FACTOR_WEIGHT_MIN);
        self.usual_factor += weight * (factor.factor - self.usual_factor);
        if self.factor.is_none_or(|known| known.at_ms <= factor.at_ms) {
            self.factor = Some(factor);
        }
    }

    /// Returns the momentary factor in relation to the usual one; 1 if it is not known.
    fn relative_factor(&self, now_ms: u64) -> f64 {
        let factor = self.factor.filter(|factor| factor.is_recent(now_ms));
        let (min, max) = FACTOR_RANGE;
        factor.map_or(1.0, |factor| {
            (factor.factor / self.usual_factor).clamp(min, max)
        })
    }

    fn known_unit_us(&self, now_ms: u64) -> Option<f64> {
        let is_known =
            self.all.samples >= SAMPLES_MIN && self.all.is_recent(TIME_MAX_AGE_MS, now_ms);
        is_known.then_some(self.all.unit_us)
    }

    /// Moves the step to that of `speed` if it is far enough from the current one.
    fn update_step(&mut self, speed: f64, now_ms: u64) -> Option<i8> {
        let position = speed.ln() / STEP_RATIO.ln();
        let position = position.clamp(STEP_RANGE.0, STEP_RANGE.1);
        let is_settled = self
            .changed_ms
            .is_none_or(|changed_ms| now_ms.saturating_sub(changed_ms) >= STEP_MIN_MS);
        if (position - f64::from(self.step)).abs() < STEP_HYSTERESIS {
            self.deviating_since_ms = None;
            return None;
        }
        let since_ms = *self.deviating_since_ms.get_or_insert(now_ms);
        if !is_settled || now_ms.saturating_sub(since_ms) < STEP_CONFIRMATION_MS {
            return None;
        }
        self.deviating_since_ms = None;
        #[expect(clippy::cast_possible_truncation, reason = "clamped to the steps")]
        let step = position.round() as i8;
        self.changed_ms = Some(now_ms);
        Some(std::mem::replace(&mut self.step, step))
    }
}

/// Table of the speeds of all listed replicas.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    replicas: HashMap<u32, ReplicaSpeed>,
    /// Services of which a replica has reported a factor.
    enabled: HashSet<u64>,
    /// Services that use much of their slots.
    busy: HashSet<u64>,
    /// When a peer's report was last merged.
    merged_ms: Option<u64>,
}

impl SpeedTable {
    /// Replaces the list of replicas, given by start and service; what is known of those that
    /// stay listed is kept.
    pub fn set_replicas(&mut self, listed: impl Iterator<Item = (StartKey, u64)>) {
        let mut previous = std::mem::take(&mut self.replicas);
        for (start, service) in listed {
            let hash = truncate_start(start);
            let known = previous.remove(&hash);
            let known = known.filter(|known| known.service == service);
            self.replicas
                .insert(hash, known.unwrap_or_else(|| ReplicaSpeed::new(service)));
        }
    }

    /// Records the momentary factor that a replica has reported to this VM; returns whether this
    /// enables the part for its service.
    pub fn record_factor(&mut self, start: StartKey, factor: f64, now_ms: u64) -> bool {
        let Some(replica) = self.replicas.get_mut(&truncate_start(start)) else {
            return false;
        };
        let (min, max) = FACTOR_RANGE;
        let factor = MomentaryFactor {
            factor: factor.clamp(min, max),
            at_ms: now_ms,
        };
        replica.own_factor = Some(factor);
        replica.record_factor(factor);
        self.enabled.insert(replica.service)
    }

    /// Returns whether the part is enabled for the service of a replica.
    #[must_use]
    pub fn is_enabled(&self, start: StartKey) -> bool {
        let replica = self.replicas.get(&truncate_start(start));
        replica.is_some_and(|replica| self.enabled.contains(&replica.service))
    }

    /// Records the time per unit of work that this VM has measured, in microseconds.
    pub fn record_time(&mut self, start: StartKey, unit_us: u64, now_ms: u64) {
        let Some(replica) = self.replicas.get_mut(&truncate_start(start)) else {
            return;
        };
        if unit_us == 0 || !self.enabled.contains(&replica.service) {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "below a few hours")]
        let unit_us = unit_us as f64 / replica.relative_factor(now_ms);
        replica.own.add(unit_us, now_ms);
        replica.all.add(unit_us, now_ms);
    }

    /// Merges what another VM has measured; returns the truncated starts whose reports
    /// enable the part for their service.
    ///
    /// Reports of replicas that are not listed are ignored.
    pub fn merge(&mut self, reports: &[SpeedReport], now_ms: u64) -> Vec<u32> {
        let mut enabling = Vec::new();
        for report in reports.iter().take(REPORTS_MAX) {
            let Some(replica) = self.replicas.get_mut(&report.start_hash) else {
                continue;
            };
            if self.enabled.insert(replica.service) {
                enabling.push(report.start_hash);
            }
            self.merged_ms = Some(now_ms);
            if report.factor_percent > 0 {
                let (min, max) = FACTOR_RANGE;
                replica.record_factor(MomentaryFactor {
                    factor: (f64::from(report.factor_percent) / 100.0).clamp(min, max),
                    at_ms: now_ms.saturating_sub(report.factor_age_ms.into()),
                });
            }
            if report.unit_us > 0 && u64::from(report.age_ms) <= TIME_MAX_AGE_MS {
                let at_ms = now_ms.saturating_sub(report.age_ms.into());
                replica.all.add(report.unit_us.into(), at_ms);
            }
        }
        enabling
    }

    /// Returns what this VM has measured within the last `max_age_ms`, the latest first.
    #[must_use]
    pub fn reports(&self, max_age_ms: u64, now_ms: u64) -> Vec<SpeedReport> {
        let mut recent: Vec<(u64, SpeedReport)> = self
            .replicas
            .iter()
            .filter_map(|(hash, replica)| {
                let own = Some(replica.own).filter(|own| own.is_recent(max_age_ms, now_ms));
                let factor = replica.own_factor.filter(|factor| {
                    factor.is_recent(now_ms) && now_ms.saturating_sub(factor.at_ms) <= max_age_ms
                });
                let own_at = own.map(|own| own.at_ms);
                let latest = own_at.max(factor.map(|factor| factor.at_ms))?;
                let report = SpeedReport {
                    start_hash: *hash,
                    unit_us: own.map_or(0, |own| round_to_u32(own.unit_us)),
                    factor_percent: factor
                        .map_or(0, |factor| saturate(round_to_u32(factor.factor * 100.0))),
                    age_ms: saturate(now_ms - own_at.unwrap_or(now_ms)),
                    factor_age_ms: saturate(factor.map_or(0, |factor| now_ms - factor.at_ms)),
                };
                Some((latest, report))
            })
            .collect();
        recent
            .sort_unstable_by_key(|(at_ms, report)| (std::cmp::Reverse(*at_ms), report.start_hash));
        recent.truncate(REPORTS_MAX);
        recent.into_iter().map(|(_, report)| report).collect()
    }

    /// Records the share of a service's slots that is in use.
    pub fn record_utilization(&mut self, service: u64, utilization: f64) {
        let (busy_above, idle_below) = BUSY_UTILIZATION;
        if utilization > busy_above {
            self.busy.insert(service);
        } else if utilization < idle_below {
            self.busy.remove(&service);
        }
    }

    /// Updates the steps of all replicas and returns the changes.
    ///
    /// A replica whose speed is not known returns to the step of the usual speed.
    pub fn update_steps(&mut self, now_ms: u64) -> Vec<StepChange> {
        let medians = self.median_times(now_ms);
        let mut changes = Vec::new();
        for (hash, replica) in &mut self.replicas {
            let Some(median_us) = medians.get(&replica.service) else {
                continue;
            };
            for average in [&mut replica.own, &mut replica.all] {
                if !average.is_recent(TIME_MAX_AGE_MS, now_ms) {
                    *average = AverageTime::default();
                }
            }
            let speed = replica.known_unit_us(now_ms);
            let speed = speed.map_or(1.0, |unit_us| median_us.map_or(1.0, |us| us / unit_us));
            if let Some(before) = replica.update_step(speed, now_ms) {
                changes.push(StepChange {
                    start_hash: *hash,
                    before,
                    step: replica.step,
                });
            }
        }
        changes.sort_unstable_by_key(|change| change.start_hash);
        changes
    }

    /// Returns the median time per unit of the replicas of each enabled service; `None` if no
    /// replica's speed is known.
    fn median_times(&self, now_ms: u64) -> HashMap<u64, Option<f64>> {
        let mut times: HashMap<u64, Vec<f64>> = HashMap::new();
        for replica in self.replicas.values() {
            if self.enabled.contains(&replica.service) {
                let known = times.entry(replica.service).or_default();
                known.extend(replica.known_unit_us(now_ms));
            }
        }
        let medians = times.into_iter();
        medians
            .map(|(service, mut known)| (service, median(&mut known)))
            .collect()
    }

    /// Returns the speed of a replica relative to the median, by its step.
    #[must_use]
    pub fn speed(&self, start: StartKey) -> f64 {
        STEP_RATIO.powi(self.step(start).into())
    }

    /// Returns the step of a replica; 0 is the usual speed, positive steps are faster.
    #[must_use]
    pub fn step(&self, start: StartKey) -> i8 {
        let replica = self.replicas.get(&truncate_start(start));
        replica.map_or(0, |replica| replica.step)
    }

    /// Returns the weight of a replica in rendezvous hashing.
    #[must_use]
    pub fn weight(&self, start: StartKey) -> f64 {
        let Some(replica) = self.replicas.get(&truncate_start(start)) else {
            return 1.0;
        };
        let exponent = if self.busy.contains(&replica.service) {
            BUSY_WEIGHT_EXPONENT
        } else {
            IDLE_WEIGHT_EXPONENT
        };
        STEP_RATIO.powf(exponent * f64::from(replica.step))
    }

    /// Returns the time that work currently takes at a replica, relative to the median; small
    /// deviations from its usual time count as none.
    #[must_use]
    pub fn time_factor(&self, start: StartKey, now_ms: u64) -> f64 {
        let replica = self.replicas.get(&truncate_start(start));
        let factor = replica.map_or(1.0, |replica| replica.relative_factor(now_ms));
        let (min, max) = FACTOR_USUAL_RANGE;
        let factor = if (min..=max).contains(&factor) {
            1.0
        } else {
            factor
        };
        factor / self.speed(start)
    }

    /// Returns the smallest and the largest speed of all replicas.
    #[must_use]
    pub fn span(&self) -> SpeedSpan {
        let steps = self.replicas.values().map(|replica| replica.step);
        let speed = |step: Option<i8>| STEP_RATIO.powi(step.unwrap_or(0).into());
        SpeedSpan {
            min: speed(steps.clone().min()),
            max: speed(steps.max()),
        }
    }

    /// Returns the time since a report of a peer was last merged, in milliseconds.
    #[must_use]
    pub fn report_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.merged_ms
            .map(|merged_ms| now_ms.saturating_sub(merged_ms))
    }
}

/// Truncates a start key to save space in messages; a collision only makes the speeds of the
/// replicas involved inexact.
#[expect(clippy::cast_possible_truncation, reason = "only the lower half is used")]
#[must_use]
pub fn truncate_start(start: StartKey) -> u32 {
    start as u32
}

fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    let upper = *values.get(values.len() / 2)?;
    let lower = values[(values.len() - 1) / 2];
    Some(f64::midpoint(lower, upper))
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the range")]
fn round_to_u32(value: f64) -> u32 {
    value.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

fn saturate(value: impl TryInto<u16>) -> u16 {
    value.try_into().unwrap_or(u16::MAX)
}
