//! Replicas that are cold: slow for some seconds after a start, a return of their failure domain,
//! or at any other time.
//!
//! This module handles the load of replicas that crash under their usual rate while they are
//! cold, in particular a whole failure domain that returns at once. Such a replica gets only
//! granted requests (see `limits`); this module determines until when it is cold and at which rate
//! the homes of its service may grant requests.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::limits::{COLD_BURST, GRANT_PERCENT, StartKey};
use super::replicas::ReplicaInfo;
use ibisdale_core::hash_bytes;

/// Longest time for which a single statement makes a replica cold, in milliseconds; bounds the
/// effect of a wrong entry or header.
const COLD_MAX_MS: u64 = 600_000;
/// Maximum number of starts that are remembered; the one that was raised first is dropped.
const RECORDS_MAX: usize = 16_384;
/// Period to which the bound on requests applies, in seconds.
const WINDOW_S: f64 = 1.0;
/// Maximum time between asking for a grant and sending the request to a cold replica, in
/// milliseconds; more than the time for asking a home and opening a connection within a region.
pub const COLD_GRANT_MAX_AGE_MS: u64 = 200;
/// Difference in the time that two requests need from the last check of the grant to the replica,
/// in milliseconds; a bounded difference is required, since granted requests may bunch up.
const TRANSIT_JITTER_MS: u64 = 50;

/// Excess over the rate of cold replicas that the operators allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor by which the rate may be exceeded in any second.
    pub excess: f64,
    /// Number of requests allowed in any second in addition to that.
    pub slack: f64,
}

impl Default for ColdTolerance {
    fn default() -> Self {
        Self {
            excess: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdTolerance {
    /// Returns the rate at which a first home grants requests to a cold replica that tolerates
    /// `per_s` requests per second.
    ///
    /// Requests that arrive within a second were granted within a longer period, at most
    /// [`COLD_GRANT_MAX_AGE_MS`] and the jitter longer. In that period, homes of all ranks grant
    /// their part of the rate and what each has retained. The sum stays within the tolerance.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a few hundred milliseconds")]
    pub fn granted_per_s(self, per_s: f64) -> f64 {
        let period_s = WINDOW_S + (COLD_GRANT_MAX_AGE_MS + TRANSIT_JITTER_MS) as f64 / 1_000.0;
        let parts = GRANT_PERCENT.iter().sum::<f64>() / 100.0;
        let retained = GRANT_PERCENT.len() as f64 * COLD_BURST;
        let bound = per_s * self.excess + self.slack;
        let granted = (bound - retained) / (period_s * parts);
        // The order of the operands replaces a bound that is not a number by 0.
        granted.max(0.0).min(per_s)
    }
}

/// Limit of a service's cold replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Time for which a replica is cold after its domain has returned, in milliseconds.
    pub cold_time_ms: u64,
    /// Requests per second that first homes grant for a cold replica.
    pub granted_per_s: f64,
}

/// A cold replica, as reported to other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ColdReport {
    /// Start of the replica.
    pub start: StartKey,
    /// Hash of its service's name.
    pub service: u64,
    /// Time for which it stays cold, in milliseconds.
    pub left_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct ColdRecord {
    service: u64,
    until_ms: u64,
    /// When the replica was last found to be cold.
    raised_ms: u64,
    /// Remaining time in the entry that was recorded last.
    entry_left_ms: u64,
}

/// Times until which replicas are cold.
#[derive(Clone, Debug, Default)]
pub struct ColdTable {
    rules: HashMap<u64, ColdRule>,
    records: HashMap<StartKey, ColdRecord>,
}

impl ColdTable {
    /// Replaces the services whose cold replicas are limited, by the hashes of their names.
    pub fn set_rules(&mut self, rules: impl Iterator<Item = (u64, ColdRule)>) {
        self.rules = rules.collect();
    }

    /// Returns the rate at which requests to a cold replica are granted, per second; `None` if
    /// the replica is not cold or its service has no limit.
    #[must_use]
    pub fn limit(&self, start: StartKey, now_ms: u64) -> Option<f64> {
        let record = self.records.get(&start)?;
        let rule = self.rules.get(&record.service)?;
        (record.until_ms > now_ms).then_some(rule.granted_per_s)
    }

    /// Returns the number of cold replicas of services with a limit.
    #[must_use]
    pub fn count(&self, now_ms: u64) -> usize {
        self.reports(now_ms).len()
    }

    /// Returns the cold replicas of services with a limit.
    #[must_use]
    pub fn reports(&self, now_ms: u64) -> Vec<ColdReport> {
        let starts = self.records.keys();
        starts
            .filter_map(|start| self.report(*start, now_ms))
            .collect()
    }

    /// Returns the report of a replica to other VMs if it is cold and its service has a limit.
    #[must_use]
    pub fn report(&self, start: StartKey, now_ms: u64) -> Option<ColdReport> {
        self.limit(start, now_ms)?;
        let record = self.records.get(&start)?;
        Some(ColdReport {
            start,
            service: record.service,
            left_ms: record.until_ms - now_ms,
        })
    }

    /// Records an entry that is new or has changed; returns whether the replica has become cold.
    ///
    /// An entry with the remaining time that is known already says nothing new: it is from before
    /// the replica was delisted, or another property has changed.
    pub fn record_entry(&mut self, replica: &ReplicaInfo, now_ms: u64) -> bool {
        let (start, left_ms) = (replica.start_key(), replica.cold_left_ms);
        let known = self.records.get(&start).map(|record| record.entry_left_ms);
        if known.unwrap_or_default() == left_ms {
            return false;
        }
        let has_become_cold = self.raise(start, hash_bytes(&replica.service), left_ms, now_ms);
        if let Some(record) = self.records.get_mut(&start) {
            record.entry_left_ms = left_ms;
        }
        has_become_cold
    }

    /// Records the remaining time that a response states; returns whether the replica has become
    /// cold.
    ///
    /// A shorter time is taken over only if the request was sent after the replica was last found
    /// to be cold; `sent_ms` is `None` if it is not known when it was sent.
    pub fn record_response(
        &mut self,
        replica: &ReplicaInfo,
        left_ms: u64,
        sent_ms: Option<u64>,
        now_ms: u64,
    ) -> bool {
        let start = replica.start_key();
        if let Some(record) = self.records.get_mut(&start)
            && sent_ms.is_some_and(|sent_ms| sent_ms > record.raised_ms)
        {
            record.until_ms = record.until_ms.min(until_ms(left_ms, now_ms));
        }
        self.raise(start, hash_bytes(&replica.service), left_ms, now_ms)
    }

    /// Records that the failure domain of `replicas` takes requests again; returns how many of
    /// them are in a service with a limit.
    pub fn record_return<'a>(
        &mut self,
        replicas: impl Iterator<Item = &'a ReplicaInfo>,
        now_ms: u64,
    ) -> usize {
        let mut count = 0;
        for replica in replicas {
            let service = hash_bytes(&replica.service);
            if let Some(rule) = self.rules.get(&service).copied() {
                self.raise(replica.start_key(), service, rule.cold_time_ms, now_ms);
                count += 1;
            }
        }
        count
    }

    /// Takes over what another VM knows; returns whether the replica has become cold.
    pub fn merge(&mut self, report: &ColdReport, now_ms: u64) -> bool {
        self.raise(report.start, report.service, report.left_ms, now_ms)
    }

    /// Removes the replicas that are no longer cold and not listed.
    pub fn expire(&mut self, is_listed: impl Fn(StartKey) -> bool, now_ms: u64) {
        self.records
            .retain(|start, record| record.until_ms > now_ms || is_listed(*start));
    }

    /// Makes a replica cold for at least `left_ms`; returns whether it was not cold before.
    fn raise(&mut self, start: StartKey, service: u64, left_ms: u64, now_ms: u64) -> bool {
        if left_ms == 0 {
            return false;
        }
        if self.records.len() >= RECORDS_MAX && !self.records.contains_key(&start) {
            self.remove_oldest();
        }
        let record = self.records.entry(start).or_insert(ColdRecord {
            service,
            until_ms: 0,
            raised_ms: now_ms,
            entry_left_ms: 0,
        });
        let was_cold = record.until_ms > now_ms;
        let raised_until_ms = until_ms(left_ms, now_ms);
        if raised_until_ms > record.until_ms {
            record.until_ms = raised_until_ms;
            record.raised_ms = now_ms;
        }
        !was_cold && self.rules.contains_key(&service)
    }

    fn remove_oldest(&mut self) {
        let records = self.records.iter();
        let oldest = records.min_by_key(|(_, record)| record.raised_ms);
        if let Some(oldest) = oldest.map(|(start, _)| *start) {
            self.records.remove(&oldest);
        }
    }
}

fn until_ms(left_ms: u64, now_ms: u64) -> u64 {
    now_ms + left_ms.min(COLD_MAX_MS)
}
