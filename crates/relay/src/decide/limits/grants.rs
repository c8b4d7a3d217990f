//! Division of limits among the VMs.
//!
//! A replica's limit holds for all VMs together and is often below one request per VM and
//! second, so VMs don't divide it: for each request to a limited replica they ask a home of the
//! replica's service, which grants as many requests as the limit allows.
//!
//! VMs may differ for some seconds in who is the home. A VM therefore grants the whole limit only
//! if it is the first home for the VM that asks and for itself, and a part of it otherwise. A VM
//! that hears only some of the others grants their share of a limit, since those that it does not
//! hear may have a home of their own.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::table::StartKey;
use crate::decide::members::HOMES_MAX;

/// Part of a limit that a home grants, by its rank, in percent; those of a lower rank are asked
/// while the first one does not answer.
pub(crate) const GRANT_PERCENT: [f64; HOMES_MAX] = [100.0, 25.0, 10.0];
/// Time whose requests a home may grant at once beyond the first one, if none were asked for
/// before, in seconds.
const BURST_S: f64 = 1.0;
/// Number of requests to a cold replica that a home may grant at once; see
/// `ColdTolerance::granted_per_s`.
pub(crate) const COLD_BURST: f64 = 1.0;
/// Smallest part of a replica's burst that must be available for a program to begin there.
const BEGIN_PART_MIN: f64 = 0.7;
/// Weight of a request in the average of the requests' work.
const MEAN_WEIGHT: f64 = 0.02;
/// Time without a request after which a program is not expected to go on, in milliseconds.
const PROGRAM_IDLE_MS: u64 = 10_000;
/// Range of the time after which a refused request may be sent again, in milliseconds.
const WAIT_RANGE_MS: (u64, u64) = (100, 4_000);
/// Maximum number of announced returns that are tracked for a service.
const PENDING_RETURNS_MAX: usize = 1_000;

/// A limited replica that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantCandidate {
    /// Start of the replica.
    pub start: StartKey,
    /// Limit of the replica in requests per second; `None` if it has ended.
    pub per_s: Option<f64>,
    /// Whether the replica is cold, so that its limit applies to each single second.
    pub is_cold: bool,
}

impl GrantCandidate {
    /// Returns the number of requests that a home may grant at once.
    fn capacity(&self) -> f64 {
        if self.is_cold {
            COLD_BURST
        } else {
            capacity(self.per_s.unwrap_or_default())
        }
    }
}

/// Part of the limits that a VM grants at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantShare {
    /// Rank of the VM among the homes, from 0: the lower one of its own view and that of the VM
    /// that asks.
    pub rank: usize,
    /// Known VMs, including this one.
    pub vm_count: usize,
    /// Number of these VMs that are silent.
    pub silent_count: usize,
    /// Number of VMs that were silent until recently.
    pub returned_count: usize,
    /// Whether this VM, if it is the first home, has been so for long enough that an earlier
    /// one has learned of it.
    pub is_settled: bool,
}

impl GrantShare {
    fn part(self) -> f64 {
        let percent = GRANT_PERCENT[self.rank.min(HOMES_MAX - 1)];
        #[expect(clippy::cast_precision_loss, reason = "a few hundred VMs")]
        let [vm_count, silent_count] = [self.vm_count, self.silent_count].map(|count| count as f64);
        percent / 100.0 * (1.0 - silent_count / vm_count.max(1.0))
    }

    /// Returns the part for cold replicas, whose limit leaves no room for the time in which VMs
    /// differ in who is the home.
    ///
    /// A first home grants the part of the second one until it is settled, and a VM that has
    /// returned counts as silent for as long. The square keeps the sum of the parts near 1 if VMs
    /// that are cut off are removed from the list of the others and not from their own.
    fn cold_part(self) -> f64 {
        let rank = self.rank.max(usize::from(!self.is_settled));
        let silent_count = self.silent_count + self.returned_count;
        let heard = Self {
            rank: 0,
            silent_count: silent_count.min(self.vm_count),
            ..self
        };
        let heard_part = heard.part();
        GRANT_PERCENT[rank.min(HOMES_MAX - 1)] / 100.0 * heard_part * heard_part
    }
}

/// Decision of a home on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum GrantOutcome {
    /// The request may be sent to this replica.
    Granted(StartKey),
    /// No candidate has room before `after_ms` milliseconds have passed.
    NoRoom {
        /// Time until a replica is expected to have room, in milliseconds.
        after_ms: u64,
    },
}

/// A request for a grant, as a home decides on it.
#[derive(Clone, Copy, Debug)]
pub struct GrantQuery<'a> {
    /// Hash of the service's name.
    pub service: u64,
    /// Hash of the affinity key; `None` if the request has no affinity.
    pub affinity: Option<u64>,
    /// Work of the request at an engine, in prompt tokens; 0 if unknown.
    pub work: u64,
    /// Replicas that could take the request, the preferred one first.
    pub candidates: &'a [GrantCandidate],
    /// Whether the caller is refused if none has room; it is told when to return, which later
    /// callers that are refused wait for.
    pub is_refusal_final: bool,
}

/// Requests that a VM may grant for one replica.
#[derive(Clone, Debug)]
struct GrantBucket {
    available: f64,
    updated_ms: u64,
    /// Affinity keys of the programs that the replica serves, and when it last got a request of
    /// them.
    programs: HashMap<u64, u64>,
}

impl GrantBucket {
    fn new(now_ms: u64) -> Self {
        // Another home may have granted the limit just before.
        Self {
            available: 0.0,
            updated_ms: now_ms,
            programs: HashMap::new(),
        }
    }

    /// Adds what may be granted since the last request.
    fn renew(&mut self, granted_per_s: f64, capacity: f64, now_ms: u64) {
        #[expect(clippy::cast_precision_loss, reason = "below 2^53")]
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        let renewed = self.available + elapsed_s * granted_per_s;
        self.available = renewed.min(capacity);
        self.updated_ms = now_ms;
    }

    fn serves(&self, affinity: Option<u64>) -> bool {
        affinity.is_some_and(|affinity| self.programs.contains_key(&affinity))
    }

    /// Records that a program goes on at another replica.
    fn end_program(&mut self, affinity: Option<u64>) {
        if let Some(affinity) = affinity {
            self.programs.remove(&affinity);
        }
    }

    fn take(&mut self, affinity: Option<u64>, now_ms: u64) {
        self.available -= 1.0;
        if let Some(affinity) = affinity {
            self.programs.insert(affinity, now_ms);
        }
    }
}

/// What a home knows of the requests to a service whose replicas name limits.
#[derive(Clone, Debug, Default)]
struct ServiceDemand {
    /// Moving average of the requests' work, in prompt tokens.
    mean_work: f64,
    /// Times at which refused requests were told to return.
    pending_returns: VecDeque<u64>,
}

impl ServiceDemand {
    /// Returns the part of a replica's burst that must be available for a program to begin
    /// there, up to 1, and adds its request to the average.
    #[expect(clippy::cast_precision_loss, reason = "millions of tokens")]
    fn begin_part(&mut self, work: u64) -> f64 {
        let work = work.max(1) as f64;
        if self.mean_work == 0.0 {
            self.mean_work = work;
        }
        self.mean_work += (work - self.mean_work) * MEAN_WEIGHT;
        (self.mean_work / work).clamp(BEGIN_PART_MIN, 1.0)
    }

    /// Returns the number of refused requests that have not returned yet.
    fn pending_count(&mut self, now_ms: u64) -> usize {
        let pending = &mut self.pending_returns;
        while pending.front().is_some_and(|at_ms| *at_ms <= now_ms) {
            pending.pop_front();
        }
        pending.len()
    }
}

/// Requests that a VM may grant as a home.
#[derive(Clone, Debug, Default)]
pub struct GrantLedger {
    buckets: HashMap<StartKey, GrantBucket>,
    /// Demand by service.
    demands: HashMap<u64, ServiceDemand>,
}

impl GrantLedger {
    /// Grants a request to a candidate that has room: the one that has got the requests with
    /// the same affinity so far, or else the first one.
    ///
    /// An engine that gets some of a program's requests has to read again what it has not seen,
    /// so a program begins at a limited replica only while its programs leave enough room. As the
    /// limit counts requests, programs whose requests are more work begin there with less room.
    pub fn grant(
        &mut self,
        query: &GrantQuery<'_>,
        share: GrantShare,
        now_ms: u64,
    ) -> GrantOutcome {
        let (part, cold_part) = (share.part(), share.cold_part());
        let (mut total_per_s, mut total_available) = (0.0, 0.0);
        for candidate in query.candidates {
            let Some(per_s) = candidate.per_s else {
                return GrantOutcome::Granted(candidate.start);
            };
            let bucket = self.buckets.entry(candidate.start);
            let bucket = bucket.or_insert_with(|| GrantBucket::new(now_ms));
            let part = if candidate.is_cold { cold_part } else { part };
            bucket.renew(per_s * part, candidate.capacity(), now_ms);
            total_per_s += per_s * part;
            total_available += bucket.available;
        }
        if let Some(start) = self.choose(query) {
            if let Some(bucket) = self.buckets.get_mut(&start) {
                bucket.take(query.affinity, now_ms);
            }
            return GrantOutcome::Granted(start);
        }
        let demand = self.demands.entry(query.service).or_default();
        let pending_count = demand.pending_count(now_ms);
        #[expect(clippy::cast_precision_loss, reason = "at most PENDING_RETURNS_MAX")]
        let missing = (pending_count + 1) as f64 - total_available;
        let after_ms = wait_ms(missing, total_per_s);
        if query.is_refusal_final && pending_count < PENDING_RETURNS_MAX {
            demand.pending_returns.push_back(now_ms + after_ms);
        }
        GrantOutcome::NoRoom { after_ms }
    }

    /// Chooses a candidate that has room.
    fn choose(&mut self, query: &GrantQuery<'_>) -> Option<StartKey> {
        let demand = self.demands.entry(query.service).or_default();
        let begin_part = demand.begin_part(query.work);
        let takes_any = query.affinity.is_none() || query.is_refusal_final;
        let mut first = None;
        for candidate in query.candidates {
            let burst = candidate.capacity() - 1.0;
            let bucket = self.buckets.get_mut(&candidate.start)?;
            if bucket.serves(query.affinity) {
                if bucket.available >= 1.0 {
                    return Some(candidate.start);
                }
                bucket.end_program(query.affinity);
            }
            let needed = if takes_any {
                1.0
            } else {
                1.0 + burst * begin_part
            };
            if first.is_none() && bucket.available >= needed {
                first = Some(candidate.start);
            }
        }
        first
    }

    /// Removes the replicas for which `is_limited` returns `false`; if they name a limit again,
    /// nothing is granted at once.
    pub fn retain(&mut self, is_limited: impl Fn(StartKey) -> bool, now_ms: u64) {
        self.buckets.retain(|start, _| is_limited(*start));
        for bucket in self.buckets.values_mut() {
            let programs = &mut bucket.programs;
            programs.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < PROGRAM_IDLE_MS);
        }
    }
}

/// Returns the number of requests that a home may grant at once to a replica that names a limit.
fn capacity(per_s: f64) -> f64 {
    1.0 + per_s * BURST_S
}

/// Returns the time after which `missing` requests may be granted, in milliseconds.
fn wait_ms(missing: f64, per_s: f64) -> u64 {
    let wait = missing.max(0.0) * 1_000.0 / per_s.max(f64::MIN_POSITIVE);
    let (min_ms, max_ms) = WAIT_RANGE_MS;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "large values saturate"
    )]
    let wait_ms = wait as u64;
    wait_ms.clamp(min_ms, max_ms)
}
