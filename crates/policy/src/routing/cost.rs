//! Expected cost of a call at a replica.

use ibisdale_core::TimeStamp;

use super::prefix::PrefixClaim;
use super::replica::{ReplicaKey, ReplicaState};
use super::request::ChoiceRequest;
use super::set::ReplicaSet;

const TOKENS_PER_KILOTOKEN: f64 = 1_000.0;

/// A replica and what the call is expected to cost there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateCost {
    pub(crate) replica: ReplicaKey,
    /// Time until the first token, in milliseconds.
    pub(crate) wait_ms: f64,
    /// Time until the first token, delay by other calls and delay of other
    /// calls, in milliseconds.
    pub(crate) total_ms: f64,
    pub(crate) cached_tokens: u32,
    /// Calls the replica would hold waiting.
    pub(crate) waiting: u32,
    is_out_of_reach: bool,
}

impl CandidateCost {
    /// Tells whether the replica holds more waiting calls than it should.
    pub(crate) fn is_busy(&self, set: &ReplicaSet) -> bool {
        if self.is_out_of_reach {
            return true;
        }
        let weights = set.weights();
        let allowance = if self.cached_tokens > 0 {
            weights.prefix_queue_allowance
        } else {
            weights.queue_allowance
        };
        self.waiting > allowance
    }
}

/// Returns the tokens of `claim` that the replica is expected to have cached.
fn claimed_tokens(
    set: &ReplicaSet,
    key: ReplicaKey,
    state: &ReplicaState,
    claim: &PrefixClaim,
) -> u32 {
    set.prefixes()
        .placements(claim.session)
        .iter()
        .find(|placement| placement.replica == key)
        .map_or(0, |placement| {
            placement.trusted_tokens(state.gap_at).min(claim.tokens)
        })
}

/// Returns the prompt tokens that the replica is expected to have cached.
pub(crate) fn cached_tokens(
    set: &ReplicaSet,
    key: ReplicaKey,
    state: &ReplicaState,
    request: &ChoiceRequest,
) -> u32 {
    let longest = request
        .claims
        .iter()
        .map(|claim| claimed_tokens(set, key, state, claim))
        .max()
        .unwrap_or(0);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let trusted = (f64::from(longest) * state.cache_trust) as u32;
    trusted.min(request.prompt_tokens)
}

/// Estimates what the call costs at a replica.
pub(crate) fn candidate_cost(
    set: &ReplicaSet,
    key: ReplicaKey,
    state: &ReplicaState,
    request: &ChoiceRequest,
    now: TimeStamp,
) -> CandidateCost {
    let weights = set.weights();
    let cached_tokens = cached_tokens(set, key, state, request);
    let calls = state.expected_calls(now, weights.report_max_age_ms);
    let limit = state.spec.running_limit;
    let waiting = calls.saturating_add(1).saturating_sub(limit);
    let own_backlog = f64::from(u32::try_from(state.own_prefill_tokens).unwrap_or(u32::MAX));
    let uncached = f64::from(request.prompt_tokens - cached_tokens);
    let prefill_ms =
        (own_backlog + uncached) / TOKENS_PER_KILOTOKEN * weights.prefill_ms_per_kilotoken;
    let queue_ms = f64::from(waiting) * weights.service_ms / f64::from(limit);
    let wait_ms = (prefill_ms + queue_ms) * state.slowness;
    let load_ms = f64::from(calls.min(limit)) * weights.load_ms_per_running * state.slowness;
    let disturbance_ms = uncached / TOKENS_PER_KILOTOKEN
        * weights.prefill_ms_per_kilotoken
        * f64::from(calls.min(limit))
        * weights.disturbance;
    let is_remote = request
        .domain
        .is_some_and(|domain| domain != state.spec.domain);
    let distance_ms = if is_remote {
        weights.cross_domain_ms
    } else {
        0.0
    };
    CandidateCost {
        replica: key,
        wait_ms,
        total_ms: wait_ms + load_ms + disturbance_ms + distance_ms,
        cached_tokens,
        waiting,
        is_out_of_reach: request.is_over_share
            && f64::from(calls.saturating_add(1)) > f64::from(limit) * weights.over_share_part,
    }
}
