//! The routing decision.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use rand::Rng;
use rand::seq::index::sample;

use super::cost::{CandidateCost, candidate_cost};
use super::outlier::Availability;
use super::replica::ReplicaKey;
use super::request::{RefusalReason, RoutingDecision, RoutingRefusal, RoutingRequest};
use super::set::ReplicaSet;

/// Random draws per wanted sample before falling back to a scan of all replicas.
const DRAWS_PER_SAMPLE: usize = 4;

/// Retry delay when the set has no live replica.
const NO_REPLICA_RETRY: Duration = Duration::from_secs(1);

/// Minimum retry delay when replicas are busy, in milliseconds.
const BUSY_RETRY_MIN_MS: f64 = 10.0;

/// Cheapest candidates found so far.
#[derive(Clone, Copy, Debug, Default)]
struct CandidateSummary {
    /// Cheapest replica that is not busy.
    best: Option<CandidateCost>,
    /// Cheapest busy replica.
    busy: Option<CandidateCost>,
    /// Shortest time until an ejected replica may be probed.
    earliest_probe_in: Option<Duration>,
}

impl CandidateSummary {
    fn consider(&mut self, set: &ReplicaSet, cost: CandidateCost) {
        let slot = if cost.is_busy(set) {
            &mut self.busy
        } else {
            &mut self.best
        };
        if slot.is_none_or(|known| cost.total_ms < known.total_ms) {
            *slot = Some(cost);
        }
    }

    fn record_ejected(&mut self, probe_in: Duration) {
        self.earliest_probe_in = Some(
            self.earliest_probe_in
                .map_or(probe_in, |known| known.min(probe_in)),
        );
    }
}

/// Chooses the replica for a call.
///
/// A replica that has a prefix of the prompt cached is preferred unless waiting
/// there costs more than recomputing the prefix elsewhere. Otherwise the cheapest
/// of a few replicas sampled at random is chosen. Load reports are corrected by
/// this daemon's calls that have started or ended since. Leaving replicas receive
/// no new calls; a replica ejected after failures receives a single probe once its
/// ejection time has passed.
///
/// After sending the call, the caller records it with [`ReplicaSet::begin`].
///
/// # Errors
///
/// Fails when no replica is live, when all are ejected, when all are busy, when
/// waiting for a busy replica with a cached prefix is cheaper than using another,
/// or when the chosen replica is not expected to return the first token before the
/// deadline. The refusal contains a retry delay.
pub fn choose_replica(
    set: &ReplicaSet,
    request: &RoutingRequest,
    now: TimeStamp,
    rng: &mut impl Rng,
) -> Result<RoutingDecision, RoutingRefusal> {
    if set.live_keys().is_empty() {
        return Err(RoutingRefusal {
            reason: RefusalReason::NoReplica,
            retry_after: NO_REPLICA_RETRY,
        });
    }
    if let Some(decision) = probe(set, request, now) {
        return Ok(decision);
    }
    let mut summary = CandidateSummary::default();
    consider_cached(set, request, now, &mut summary);
    consider_sampled(set, request, now, rng, &mut summary);
    if summary.best.is_none() {
        consider_all(set, request, now, &mut summary);
    }
    decide(set, request, now, &summary)
}

/// Returns a decision that probes an ejected replica, if a probe is due.
fn probe(set: &ReplicaSet, request: &RoutingRequest, now: TimeStamp) -> Option<RoutingDecision> {
    let key = set.probe_candidate(now)?;
    if request.avoided == Some(key) {
        return None;
    }
    let cost = candidate_cost(set, key, set.state(key)?, request, now);
    Some(RoutingDecision {
        replica: key,
        expected_wait_ms: ceil_ms(cost.wait_ms),
        expected_cached_tokens: cost.cached_tokens,
        is_probe: true,
    })
}

/// Adds a replica to the summary; returns whether it is available.
fn consider(
    set: &ReplicaSet,
    request: &RoutingRequest,
    now: TimeStamp,
    key: ReplicaKey,
    summary: &mut CandidateSummary,
) -> bool {
    let Some(state) = set.state(key) else {
        return false;
    };
    if state.live_index.is_none() || request.avoided == Some(key) {
        return false;
    }
    match state.failures.availability(now) {
        Availability::Available => {
            summary.consider(set, candidate_cost(set, key, state, request, now));
            true
        }
        Availability::ProbeDue => {
            summary.record_ejected(Duration::ZERO);
            false
        }
        Availability::Ejected(probe_in) => {
            summary.record_ejected(probe_in);
            false
        }
    }
}

/// Considers the replicas that have a prefix of the prompt cached.
fn consider_cached(
    set: &ReplicaSet,
    request: &RoutingRequest,
    now: TimeStamp,
    summary: &mut CandidateSummary,
) {
    for prefix in &request.shared_prefixes {
        for placement in set.prefixes().placements(prefix.session) {
            consider(set, request, now, placement.replica, summary);
        }
    }
}

/// Considers a few replicas sampled at random.
fn consider_sampled(
    set: &ReplicaSet,
    request: &RoutingRequest,
    now: TimeStamp,
    rng: &mut impl Rng,
    summary: &mut CandidateSummary,
) {
    let keys = set.live_keys();
    let wanted = set.weights().sample_count;
    let draws = keys.len().min(wanted * DRAWS_PER_SAMPLE);
    let mut found = 0;
    for index in sample(rng, keys.len(), draws) {
        if found >= wanted {
            return;
        }
        if consider(set, request, now, keys[index], summary) {
            found += 1;
        }
    }
}

/// Considers every live replica; the avoided one only when there is no other.
fn consider_all(
    set: &ReplicaSet,
    request: &RoutingRequest,
    now: TimeStamp,
    summary: &mut CandidateSummary,
) {
    for key in set.live_keys() {
        consider(set, request, now, *key, summary);
    }
    if summary.best.is_none() && summary.busy.is_none() && request.avoided.is_some() {
        let request = RoutingRequest {
            avoided: None,
            ..request.clone()
        };
        for key in set.live_keys() {
            consider(set, &request, now, *key, summary);
        }
    }
}

fn decide(
    set: &ReplicaSet,
    request: &RoutingRequest,
    now: TimeStamp,
    summary: &CandidateSummary,
) -> Result<RoutingDecision, RoutingRefusal> {
    match (summary.best, summary.busy) {
        (Some(best), Some(busy)) if should_wait_for_prefix(&best, &busy) => {
            Err(busy_refusal(set, &busy, RefusalReason::PrefixBusy))
        }
        (Some(best), _) => accept(request, now, best),
        (None, Some(busy)) => Err(busy_refusal(set, &busy, RefusalReason::AllBusy)),
        (None, None) => Err(RoutingRefusal {
            reason: RefusalReason::AllFailing,
            retry_after: summary.earliest_probe_in.unwrap_or(NO_REPLICA_RETRY),
        }),
    }
}

/// Returns whether waiting for the busy replica costs less than using the best free
/// one because more of the prompt is cached there.
fn should_wait_for_prefix(best: &CandidateCost, busy: &CandidateCost) -> bool {
    busy.cached_tokens > best.cached_tokens && busy.total_ms < best.total_ms
}

fn busy_refusal(set: &ReplicaSet, busy: &CandidateCost, reason: RefusalReason) -> RoutingRefusal {
    let weights = set.weights();
    let limit = set
        .state(busy.replica)
        .map_or(1, |state| state.spec.running_limit);
    let retry_ms = (weights.service_ms / f64::from(limit)).max(BUSY_RETRY_MIN_MS);
    RoutingRefusal {
        reason,
        retry_after: Duration::from_millis(ceil_ms(retry_ms)),
    }
}

fn accept(
    request: &RoutingRequest,
    now: TimeStamp,
    cost: CandidateCost,
) -> Result<RoutingDecision, RoutingRefusal> {
    let wait_ms = ceil_ms(cost.wait_ms);
    let wait = Duration::from_millis(wait_ms);
    if request
        .deadline
        .is_some_and(|deadline| now.plus(wait) > deadline)
    {
        return Err(RoutingRefusal {
            reason: RefusalReason::DeadlineTooClose,
            retry_after: wait,
        });
    }
    Ok(RoutingDecision {
        replica: cost.replica,
        expected_wait_ms: wait_ms,
        expected_cached_tokens: cost.cached_tokens,
        is_probe: false,
    })
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn ceil_ms(millis: f64) -> u64 {
    millis.ceil() as u64
}
