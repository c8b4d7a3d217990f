//! The routing decision.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use rand::Rng;
use rand::seq::index::sample;

use super::cost::{CandidateCost, candidate_cost};
use super::outlier::Availability;
use super::replica::ReplicaKey;
use super::request::{ChoiceRequest, RefusalReason, RoutingDecision, RoutingRefusal};
use super::set::ReplicaSet;

/// Draws per wanted sample before the whole set is looked at.
const DRAWS_PER_SAMPLE: usize = 4;

/// Time after which a set without live replicas is worth another look.
const NO_REPLICA_RETRY: Duration = Duration::from_secs(1);

/// Shortest time after which busy replicas are worth another look.
const BUSY_RETRY_MIN_MS: f64 = 10.0;

/// What the candidates looked at so far amount to.
#[derive(Clone, Copy, Debug, Default)]
struct CandidateTally {
    best: Option<CandidateCost>,
    busy: Option<CandidateCost>,
    opens_in: Option<Duration>,
}

impl CandidateTally {
    fn consider(&mut self, set: &ReplicaSet, cost: CandidateCost) {
        let place = if cost.is_busy(set) {
            &mut self.busy
        } else {
            &mut self.best
        };
        if place.is_none_or(|known| cost.total_ms < known.total_ms) {
            *place = Some(cost);
        }
    }

    fn note_closed(&mut self, opens_in: Duration) {
        self.opens_in = Some(self.opens_in.map_or(opens_in, |known| known.min(opens_in)));
    }
}

/// Chooses the replica for a call.
///
/// Stays with a replica that has the prompt's prefix cached unless waiting there
/// costs more than computing the prefix again elsewhere. Otherwise the cheaper
/// of a few replicas drawn at random is taken, by their load reports corrected
/// with own calls in flight. Leaving replicas get nothing new; a replica avoided
/// after failures gets one probing call once its time is up.
///
/// The caller follows a decision with [`ReplicaSet::begin`].
///
/// # Errors
///
/// Fails when no replica is live, all are avoided or busy, or none is expected
/// to answer before the deadline; the refusal says when to come back.
pub fn choose(
    set: &ReplicaSet,
    request: &ChoiceRequest,
    now: TimeStamp,
    random: &mut impl Rng,
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
    let mut tally = CandidateTally::default();
    consider_cached(set, request, now, &mut tally);
    consider_sampled(set, request, now, random, &mut tally);
    if tally.best.is_none() {
        consider_all(set, request, now, &mut tally);
    }
    decide(set, request, now, &tally)
}

fn probe(set: &ReplicaSet, request: &ChoiceRequest, now: TimeStamp) -> Option<RoutingDecision> {
    let key = set.probe_candidate(now)?;
    if request.avoided == Some(key) {
        return None;
    }
    let cost = candidate_cost(set, key, set.state(key)?, request, now);
    Some(RoutingDecision {
        replica: key,
        expected_wait_ms: whole_ms(cost.wait_ms),
        expected_cached_tokens: cost.cached_tokens,
        is_probe: true,
    })
}

fn consider(
    set: &ReplicaSet,
    request: &ChoiceRequest,
    now: TimeStamp,
    key: ReplicaKey,
    tally: &mut CandidateTally,
) -> bool {
    let Some(state) = set.state(key) else {
        return false;
    };
    if state.live_index.is_none() || request.avoided == Some(key) {
        return false;
    }
    match state.failures.availability(now) {
        Availability::Open => {
            tally.consider(set, candidate_cost(set, key, state, request, now));
            true
        }
        Availability::Probe => {
            tally.note_closed(Duration::ZERO);
            false
        }
        Availability::Closed(opens_in) => {
            tally.note_closed(opens_in);
            false
        }
    }
}

fn consider_cached(
    set: &ReplicaSet,
    request: &ChoiceRequest,
    now: TimeStamp,
    tally: &mut CandidateTally,
) {
    for claim in &request.claims {
        for placement in set.prefixes().placements(claim.session) {
            consider(set, request, now, placement.replica, tally);
        }
    }
}

fn consider_sampled(
    set: &ReplicaSet,
    request: &ChoiceRequest,
    now: TimeStamp,
    random: &mut impl Rng,
    tally: &mut CandidateTally,
) {
    let keys = set.live_keys();
    let wanted = set.weights().sample_count;
    let draws = keys.len().min(wanted * DRAWS_PER_SAMPLE);
    let mut found = 0;
    for index in sample(random, keys.len(), draws) {
        if found >= wanted {
            return;
        }
        if consider(set, request, now, keys[index], tally) {
            found += 1;
        }
    }
}

fn consider_all(
    set: &ReplicaSet,
    request: &ChoiceRequest,
    now: TimeStamp,
    tally: &mut CandidateTally,
) {
    for key in set.live_keys() {
        consider(set, request, now, *key, tally);
    }
    if tally.best.is_none() && tally.busy.is_none() && request.avoided.is_some() {
        let request = ChoiceRequest {
            avoided: None,
            ..request.clone()
        };
        for key in set.live_keys() {
            consider(set, &request, now, *key, tally);
        }
    }
}

fn decide(
    set: &ReplicaSet,
    request: &ChoiceRequest,
    now: TimeStamp,
    tally: &CandidateTally,
) -> Result<RoutingDecision, RoutingRefusal> {
    match (tally.best, tally.busy) {
        (Some(best), Some(busy)) if is_worth_waiting(&best, &busy) => {
            Err(busy_refusal(set, &busy, RefusalReason::PrefixBusy))
        }
        (Some(best), _) => accept(request, now, best),
        (None, Some(busy)) => Err(busy_refusal(set, &busy, RefusalReason::AllBusy)),
        (None, None) => Err(RoutingRefusal {
            reason: RefusalReason::AllFailing,
            retry_after: tally.opens_in.unwrap_or(NO_REPLICA_RETRY),
        }),
    }
}

fn is_worth_waiting(best: &CandidateCost, busy: &CandidateCost) -> bool {
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
        retry_after: Duration::from_millis(whole_ms(retry_ms)),
    }
}

fn accept(
    request: &ChoiceRequest,
    now: TimeStamp,
    cost: CandidateCost,
) -> Result<RoutingDecision, RoutingRefusal> {
    let wait_ms = whole_ms(cost.wait_ms);
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
fn whole_ms(millis: f64) -> u64 {
    millis.ceil() as u64
}
