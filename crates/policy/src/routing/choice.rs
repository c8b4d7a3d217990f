//! Choice of the replica for a call.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use rand::Rng;
use rand::seq::index::sample;

use super::cost::{CandidateCost, candidate_cost};
use super::outlier::Availability;
use super::replica::ReplicaKey;
use super::request::{RefusalReason, RoutingDecision, RoutingRefusal, RoutingRequest};
use super::set::ReplicaSet;

/// Maximum number of random draws per wanted sample; draws of unavailable replicas
/// do not count as samples.
const DRAWS_PER_SAMPLE: usize = 4;

/// Retry delay when the set has no live replica.
const NO_REPLICA_RETRY: Duration = Duration::from_secs(1);

/// Minimum retry delay when replicas are busy, in milliseconds.
const BUSY_RETRY_MIN_MS: f64 = 10.0;

/// Cheapest candidates found so far.
#[derive(Clone, Copy, Debug, Default)]
struct CandidateSummary {
    /// Cheapest replica that is not busy.
    best_free: Option<CandidateCost>,
    /// Cheapest busy replica.
    best_busy: Option<CandidateCost>,
    /// Shortest time until an ejected replica may be probed.
    earliest_probe_in: Option<Duration>,
}

impl CandidateSummary {
    fn consider(&mut self, set: &ReplicaSet, cost: CandidateCost) {
        let slot = if cost.is_busy(set) {
            &mut self.best_busy
        } else {
            &mut self.best_free
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
/// Record the call with [`ReplicaSet::begin_call`] once it is sent.
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
    if let Some(decision) = probe_decision(set, request, now) {
        return Ok(decision);
    }
    let mut summary = CandidateSummary::default();
    consider_cached(set, request, now, &mut summary);
    consider_sampled(set, request, now, rng, &mut summary);
    if summary.best_free.is_none() {
        consider_all(set, request, now, &mut summary);
    }
    decide(set, request, now, &summary)
}

/// Returns a decision that probes an ejected replica, if a probe is due.
fn probe_decision(
    set: &ReplicaSet,
    request: &RoutingRequest,
    now: TimeStamp,
) -> Option<RoutingDecision> {
    let key = set.probe_candidate(now)?;
    if request.avoided == Some(key) {
        return None;
    }
    let cost = candidate_cost(set, key, set.state(key)?, request, now);
    Some(RoutingDecision {
        replica: key,
        expected_first_token_ms: ceil_ms(cost.first_token_ms),
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
        for cached in set.prefixes().cached_prefixes(prefix.session) {
            consider(set, request, now, cached.replica, summary);
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
    let wanted = set.settings().sample_count;
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
    if summary.best_free.is_none() && summary.best_busy.is_none() && request.avoided.is_some() {
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
    match (summary.best_free, summary.best_busy) {
        (Some(free), Some(busy)) if should_wait_for_prefix(&free, &busy) => {
            Err(busy_refusal(set, &busy, RefusalReason::PrefixBusy))
        }
        (Some(free), _) => accept(request, now, free),
        (None, Some(busy)) => Err(busy_refusal(set, &busy, RefusalReason::AllBusy)),
        (None, None) => Err(RoutingRefusal {
            reason: RefusalReason::AllFailing,
            retry_after: summary.earliest_probe_in.unwrap_or(NO_REPLICA_RETRY),
        }),
    }
}

/// Returns whether waiting for the busy replica costs less than using the best free
/// one because more of the prompt is cached there.
fn should_wait_for_prefix(free: &CandidateCost, busy: &CandidateCost) -> bool {
    busy.cached_tokens > free.cached_tokens && busy.total_ms < free.total_ms
}

fn busy_refusal(set: &ReplicaSet, busy: &CandidateCost, reason: RefusalReason) -> RoutingRefusal {
    let settings = set.settings();
    let limit = set
        .state(busy.replica)
        .map_or(1, |state| state.spec.running_limit);
    let retry_ms = (settings.service_ms / f64::from(limit)).max(BUSY_RETRY_MIN_MS);
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
    let first_token_ms = ceil_ms(cost.first_token_ms);
    let expected_first_token = Duration::from_millis(first_token_ms);
    if request
        .first_token_deadline
        .is_some_and(|deadline| now.plus(expected_first_token) > deadline)
    {
        return Err(RoutingRefusal {
            reason: RefusalReason::DeadlineTooClose,
            retry_after: expected_first_token,
        });
    }
    Ok(RoutingDecision {
        replica: cost.replica,
        expected_first_token_ms: first_token_ms,
        expected_cached_tokens: cost.cached_tokens,
        is_probe: false,
    })
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn ceil_ms(millis: f64) -> u64 {
    millis.ceil() as u64
}
