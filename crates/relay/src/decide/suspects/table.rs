//! Requests in flight when replicas ended, and what is known of each.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::fingerprint::{RequestFingerprint, RequestIdentity};
use crate::decide::limits::StartKey;

/// Number of replicas that a request may end, one after the other, before it is condemned.
pub const CRASHES_MAX: u8 = 3;
/// Crashes from which requests that share a head run one at a time; copies of one request do so
/// from the first crash on.
const HEAD_PERMIT_CRASHES: u8 = 2;
/// Time after its last crash for which a request is suspected or condemned, in milliseconds.
pub const RETENTION_MS: u64 = 10 * 60 * 1_000;
/// Time for which a request that was served is remembered, in milliseconds; longer than VMs
/// repeat to each other that it was suspected.
const SERVED_RETENTION_MS: u64 = 30_000;
/// Maximum number of requests that are remembered.
const RECORDS_MAX: usize = 10_000;

/// What is known of requests with the same fingerprint that were in flight when replicas ended.
///
/// A copy counts only if it was sent after the crash before, so replicas that end at the same
/// time, as those of a rack do, count once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CrashHistory {
    /// Number of times that the request was suspected and then served.
    generation: u32,
    /// Replicas that have ended under it since, one after the other.
    crashes: u8,
    /// The last of them; 0 if there is none.
    last_start: StartKey,
}

impl CrashHistory {
    /// Returns the number of replicas that have ended under the request, one after the other,
    /// since it was last served.
    #[must_use]
    pub fn crashes(self) -> u8 {
        self.crashes
    }

    /// Returns whether the request is refused.
    #[must_use]
    pub fn is_condemned(self) -> bool {
        self.crashes >= CRASHES_MAX
    }

    /// Returns whether the request may have ended a replica.
    #[must_use]
    pub fn is_suspect(self) -> bool {
        self.crashes > 0
    }

    /// Orders histories of the same request; the greater one includes what the other knows.
    fn rank(self) -> (bool, u32, u8) {
        (self.is_condemned(), self.generation, self.crashes)
    }
}

/// What a VM knows of a fingerprint, as it is sent to other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct SuspectReport {
    /// Hash of the request.
    pub fingerprint: RequestFingerprint,
    /// What is known of it.
    pub history: CrashHistory,
    /// Time since the last crash or, if it was served since, since then, in milliseconds.
    pub age_ms: u64,
}

impl SuspectReport {
    /// Describes a request that was condemned `age_ms` milliseconds ago.
    #[must_use]
    pub fn condemned(fingerprint: RequestFingerprint, age_ms: u64) -> Self {
        let history = CrashHistory {
            crashes: CRASHES_MAX,
            ..CrashHistory::default()
        };
        Self {
            fingerprint,
            history,
            age_ms,
        }
    }
}

/// What follows from what is known of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestStanding {
    /// Largest number of replicas that have ended under one of its fingerprints.
    pub crashes: u8,
    /// Fingerprint for which a permit is needed to run it; `None` if none is.
    pub permit: Option<RequestFingerprint>,
    /// Fingerprint for which it is refused; `None` if it may run.
    pub condemned: Option<RequestFingerprint>,
}

/// A change of what is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectChange {
    /// Hash of the request.
    pub fingerprint: RequestFingerprint,
    /// Number of crashes before the change.
    pub before: u8,
    /// Number of crashes after it; 0 if the request was served.
    pub crashes: u8,
}

#[derive(Clone, Copy, Debug)]
struct SuspectRecord {
    history: CrashHistory,
    /// Relative to the start of this process; another VM may have seen it earlier.
    changed_ms: i64,
    /// When this VM itself saw the last change; `None` if another VM reported it.
    own_change_ms: Option<u64>,
}

impl SuspectRecord {
    fn report(&self, fingerprint: RequestFingerprint, now_ms: u64) -> SuspectReport {
        SuspectReport {
            fingerprint,
            history: self.history,
            age_ms: self.age_ms(now_ms),
        }
    }

    fn is_expired(&self, now_ms: u64) -> bool {
        let retention_ms = if self.history.is_suspect() {
            RETENTION_MS
        } else {
            SERVED_RETENTION_MS
        };
        self.age_ms(now_ms) >= retention_ms
    }

    fn age_ms(&self, now_ms: u64) -> u64 {
        let age_ms = signed(now_ms).saturating_sub(self.changed_ms);
        u64::try_from(age_ms).unwrap_or_default()
    }
}

/// Requests that were in flight when replicas ended.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    records: HashMap<RequestFingerprint, SuspectRecord>,
}

impl SuspectTable {
    /// Returns whether no request is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the numbers of suspected and of condemned requests.
    #[must_use]
    pub fn count(&self) -> (usize, usize) {
        let histories = || self.records.values().map(|record| record.history);
        let condemned = histories().filter(|history| history.is_condemned()).count();
        let suspects = histories().filter(|history| history.is_suspect()).count();
        (suspects - condemned, condemned)
    }

    /// Returns what is known of one fingerprint; the default if it never was suspected.
    #[must_use]
    pub fn history(&self, fingerprint: RequestFingerprint) -> CrashHistory {
        let record = self.records.get(&fingerprint);
        record.map_or_else(CrashHistory::default, |record| record.history)
    }

    /// Returns what follows for a request from what is known of its fingerprints.
    #[must_use]
    pub fn standing(&self, request: &RequestIdentity) -> RequestStanding {
        let mut standing = RequestStanding::default();
        for fingerprint in request.all() {
            let history = self.history(fingerprint);
            standing.crashes = standing.crashes.max(history.crashes);
            if history.is_condemned() && standing.condemned.is_none() {
                standing.condemned = Some(fingerprint);
            }
            let permit_crashes = if fingerprint == request.full() {
                1
            } else {
                HEAD_PERMIT_CRASHES
            };
            if history.crashes >= permit_crashes {
                standing.permit = Some(fingerprint);
            }
        }
        standing
    }

    /// Records that a replica ended while it had the request, which was sent at `sent_ms`.
    ///
    /// Returns the changes; there is none if the crash was counted before: the copy ran beside one
    /// that has been counted, or was sent to a replica that had already ended. Of the fingerprints
    /// that reach [`CRASHES_MAX`] only the longest is condemned, as fewer other requests share it.
    pub fn record_crash(
        &mut self,
        request: &RequestIdentity,
        sent_ms: u64,
        start: StartKey,
        now_ms: u64,
    ) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        let mut max_crashes = CRASHES_MAX;
        for fingerprint in request.all() {
            let record = self.records.get(&fingerprint);
            let known = self.history(fingerprint);
            let ran_beside = record.is_some_and(|record| signed(sent_ms) < record.changed_ms);
            if known.is_suspect() && (ran_beside || known.last_start == start) {
                continue;
            }
            let crashes = (known.crashes + 1).min(max_crashes);
            if crashes >= CRASHES_MAX {
                max_crashes = CRASHES_MAX - 1;
            }
            if crashes <= known.crashes {
                continue;
            }
            let history = CrashHistory {
                generation: known.generation,
                crashes,
                last_start: start,
            };
            changes.push(self.record_own(fingerprint, history, now_ms));
        }
        changes
    }

    /// Records that the request got a complete response, which one that ends each replica never
    /// gets.
    pub fn record_served(&mut self, request: &RequestIdentity, now_ms: u64) -> Vec<SuspectChange> {
        let cleared = request.all().collect();
        self.clear(cleared, now_ms)
    }

    /// Records that the request has brought events, so others that share its head do not end
    /// replicas as they begin to run.
    pub fn record_progress(
        &mut self,
        request: &RequestIdentity,
        now_ms: u64,
    ) -> Vec<SuspectChange> {
        self.clear(request.heads().to_vec(), now_ms)
    }

    fn clear(&mut self, fingerprints: Vec<RequestFingerprint>, now_ms: u64) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        for fingerprint in fingerprints {
            let known = self.history(fingerprint);
            if known.is_suspect() && !known.is_condemned() {
                let history = CrashHistory {
                    generation: known.generation + 1,
                    ..CrashHistory::default()
                };
                changes.push(self.record_own(fingerprint, history, now_ms));
            }
        }
        changes
    }

    fn record_own(
        &mut self,
        fingerprint: RequestFingerprint,
        history: CrashHistory,
        now_ms: u64,
    ) -> SuspectChange {
        let before = self.history(fingerprint).crashes;
        let record = SuspectRecord {
            history,
            changed_ms: signed(now_ms),
            own_change_ms: Some(now_ms),
        };
        self.insert(fingerprint, record);
        SuspectChange {
            fingerprint,
            before,
            crashes: history.crashes,
        }
    }

    /// Takes over what other VMs know beyond what this one does; returns the changes.
    pub fn merge(&mut self, reports: &[SuspectReport], now_ms: u64) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        for report in reports {
            let known = self.history(report.fingerprint);
            let record = SuspectRecord {
                history: report.history,
                changed_ms: signed(now_ms).saturating_sub(signed(report.age_ms)),
                own_change_ms: None,
            };
            let is_expired = report.age_ms >= RETENTION_MS;
            if is_expired || report.history.rank() <= known.rank() {
                continue;
            }
            self.insert(report.fingerprint, record);
            if known.crashes != report.history.crashes {
                changes.push(SuspectChange {
                    fingerprint: report.fingerprint,
                    before: known.crashes,
                    crashes: report.history.crashes,
                });
            }
        }
        changes
    }

    /// Returns what this VM knows of one fingerprint; `None` if it never was suspected.
    #[must_use]
    pub fn report(&self, fingerprint: RequestFingerprint, now_ms: u64) -> Option<SuspectReport> {
        let record = self.records.get(&fingerprint)?;
        Some(record.report(fingerprint, now_ms))
    }

    /// Returns what this VM knows of a request.
    #[must_use]
    pub fn request_reports(&self, request: &RequestIdentity, now_ms: u64) -> Vec<SuspectReport> {
        let fingerprints = request.all();
        fingerprints
            .filter_map(|fingerprint| self.report(fingerprint, now_ms))
            .collect()
    }

    /// Returns what this VM knows of the requests for which `is_chosen` returns `true`.
    fn reports_of(
        &self,
        is_chosen: impl Fn(&SuspectRecord) -> bool,
        now_ms: u64,
    ) -> Vec<SuspectReport> {
        let records = self.records.iter();
        let chosen = records.filter(|(_, record)| is_chosen(record));
        chosen
            .map(|(fingerprint, record)| record.report(*fingerprint, now_ms))
            .collect()
    }

    /// Returns what this VM knows of all requests.
    #[must_use]
    pub fn reports(&self, now_ms: u64) -> Vec<SuspectReport> {
        self.reports_of(|_| true, now_ms)
    }

    /// Returns the condemned requests.
    #[must_use]
    pub fn condemned(&self, now_ms: u64) -> Vec<SuspectReport> {
        self.reports_of(|record| record.history.is_condemned(), now_ms)
    }

    /// Returns the changes that this VM itself has seen since `since_ms`.
    #[must_use]
    pub fn own_reports(&self, since_ms: u64, now_ms: u64) -> Vec<SuspectReport> {
        self.reports_of(|record| record.own_change_ms >= Some(since_ms), now_ms)
    }

    /// Removes the requests whose last crash lies [`RETENTION_MS`] back, and those that were
    /// served long ago.
    pub fn expire(&mut self, now_ms: u64) {
        self.records.retain(|_, record| !record.is_expired(now_ms));
    }

    /// Inserts a record; drops the oldest one with the fewest crashes if the table is full.
    fn insert(&mut self, fingerprint: RequestFingerprint, record: SuspectRecord) {
        if self.records.len() >= RECORDS_MAX && !self.records.contains_key(&fingerprint) {
            let least = self
                .records
                .iter()
                .min_by_key(|(_, known)| (known.history.crashes, known.changed_ms));
            if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
                self.records.remove(&least);
            }
        }
        self.records.insert(fingerprint, record);
    }
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
