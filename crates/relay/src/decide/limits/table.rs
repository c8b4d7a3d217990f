//! Limits of replicas that a VM knows of.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::statement::LimitStatement;

/// Hash of a replica's identifier and start time; a replica that starts again has no limit.
pub type StartKey = u64;

/// Maximum number of starts of replicas that are remembered; those whose last response is the
/// oldest are dropped.
const RECORDS_MAX: usize = 16_384;

/// Time after the last response of a replica that is not listed after which its limit is
/// forgotten, in milliseconds; entries of replicas may be missing during an outage.
const RETENTION_MS: u64 = 600_000;

/// Limit of a replica, as a VM tells others.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LimitReport {
    /// Start of the replica.
    pub start: StartKey,
    /// Requests per second that the replica takes from all VMs together; `None` if its limit
    /// has ended.
    pub per_s: Option<f64>,
    /// Time since the response that said so, in milliseconds.
    pub age_ms: u64,
}

/// A limit that was named, changed or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Start of the replica.
    pub start: StartKey,
    /// Limit so far, in requests per second; `None` if there was none.
    pub before: Option<f64>,
    /// New limit, in requests per second; `None` if it has ended.
    pub per_s: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct LimitRecord {
    per_s: Option<f64>,
    /// When the last response that named or ended the limit was received.
    observed_ms: u64,
    /// When this VM itself learned of the last change from a response.
    own_change_ms: Option<u64>,
}

/// Limits of replicas, from the responses to this VM and the reports of others.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    records: HashMap<StartKey, LimitRecord>,
}

impl LimitTable {
    /// Returns the limit of a replica in requests per second, if it names one.
    #[must_use]
    pub fn limit(&self, start: StartKey) -> Option<f64> {
        self.records.get(&start)?.per_s
    }

    /// Returns the number of limited replicas.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.per_s.is_some()).count()
    }

    /// Records what a response says; returns the change, if there is one.
    ///
    /// An unreadable limit changes nothing. A response without a limit ends it only if its
    /// request was sent after the limit was last named: responses on different connections may
    /// overtake each other. `sent_ms` is `None` if it is not known when the request was sent.
    pub fn observe(
        &mut self,
        start: StartKey,
        statement: LimitStatement,
        sent_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let known = self.records.get(&start).copied();
        let before = known.and_then(|record| record.per_s);
        let per_s = match statement {
            LimitStatement::Unreadable => return None,
            LimitStatement::PerSecond(per_s) => Some(per_s),
            LimitStatement::Absent => {
                let named_ms = known.filter(|record| record.per_s.is_some())?.observed_ms;
                if sent_ms.is_none_or(|sent_ms| sent_ms <= named_ms) {
                    return None;
                }
                None
            }
        };
        let is_change = per_s != before;
        let own_change_ms = if is_change {
            Some(now_ms)
        } else {
            known.and_then(|record| record.own_change_ms)
        };
        let record = LimitRecord {
            per_s,
            observed_ms: now_ms,
            own_change_ms,
        };
        self.insert(start, record);
        is_change.then_some(LimitChange {
            start,
            before,
            per_s,
        })
    }

    /// Takes over what other VMs have learned later than this one; returns the changes.
    pub fn merge(&mut self, reports: &[LimitReport], now_ms: u64) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for report in reports {
            let observed_ms = now_ms.saturating_sub(report.age_ms);
            let known = self.records.get(&report.start);
            if known.is_some_and(|record| record.observed_ms >= observed_ms) {
                continue;
            }
            let before = known.and_then(|record| record.per_s);
            let record = LimitRecord {
                per_s: report.per_s,
                observed_ms,
                own_change_ms: None,
            };
            self.insert(report.start, record);
            if before != report.per_s {
                changes.push(LimitChange {
                    start: report.start,
                    before,
                    per_s: report.per_s,
                });
            }
        }
        changes
    }

    /// Returns what this VM knows of the limits of replicas that have named one.
    #[must_use]
    pub fn reports(&self, now_ms: u64) -> Vec<LimitReport> {
        let records = self.records.iter();
        records
            .map(|(start, record)| record.report(*start, now_ms))
            .collect()
    }

    /// Returns the changes that this VM has learned of from responses since `since_ms`.
    #[must_use]
    pub fn own_reports(&self, since_ms: u64, now_ms: u64) -> Vec<LimitReport> {
        let records = self.records.iter();
        let recent = records.filter(|(_, record)| record.own_change_ms >= Some(since_ms));
        recent
            .map(|(start, record)| record.report(*start, now_ms))
            .collect()
    }

    /// Returns what this VM knows of one replica's limit.
    #[must_use]
    pub fn report(&self, start: StartKey, now_ms: u64) -> Option<LimitReport> {
        let record = self.records.get(&start)?;
        Some(record.report(start, now_ms))
    }

    /// Removes the limits of replicas that have long been delisted.
    pub fn expire(&mut self, is_listed: impl Fn(StartKey) -> bool, now_ms: u64) {
        self.records.retain(|start, record| {
            now_ms.saturating_sub(record.observed_ms) < RETENTION_MS || is_listed(*start)
        });
    }

    fn insert(&mut self, start: StartKey, record: LimitRecord) {
        if self.records.len() >= RECORDS_MAX && !self.records.contains_key(&start) {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, known)| known.observed_ms);
            if let Some(oldest) = oldest.map(|(start, _)| *start) {
                self.records.remove(&oldest);
            }
        }
        self.records.insert(start, record);
    }
}

impl LimitRecord {
    fn report(self, start: StartKey, now_ms: u64) -> LimitReport {
        LimitReport {
            start,
            per_s: self.per_s,
            age_ms: now_ms.saturating_sub(self.observed_ms),
        }
    }
}
