//! Cost model for sending a call to a replica.

use ibisdale_core::TimeStamp;

use super::prefix::SharedPrefix;
use super::replica::{ReplicaKey, ReplicaState};
use super::request::RoutingRequest;
use super::set::ReplicaSet;

const TOKENS_PER_KILOTOKEN: f64 = 1_000.0;

/// A replica and the expected cost of the call there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateCost {
    pub(crate) replica: ReplicaKey,
    /// Expected time to the first token, in milliseconds.
    pub(crate) first_token_ms: f64,
    /// Total cost in milliseconds: time to the first token, delay caused by running
    /// calls, delay caused to them, and cost of crossing failure domains.
    pub(crate) total_ms: f64,
    pub(crate) cached_tokens: u32,
    /// Number of calls that would wait at the replica, this one included.
    pub(crate) waiting: u32,
    /// Whether the call's workspace is over its share and the replica has no
    /// capacity left for such calls.
    exceeds_over_share_limit: bool,
}

impl CandidateCost {
    /// Returns whether more calls would wait at the replica than allowed, or the call
    /// exceeds the limit for workspaces over their share.
    pub(crate) fn is_busy(&self, set: &ReplicaSet) -> bool {
        if self.exceeds_over_share_limit {
            return true;
        }
        let settings = set.settings();
        let allowance = if self.cached_tokens > 0 {
            settings.prefix_queue_allowance
        } else {
            settings.queue_allowance
        };
        self.waiting > allowance
    }
}

/// Returns how many tokens of `prefix` the replica is expected to have cached.
fn cached_session_tokens(
    set: &ReplicaSet,
    key: ReplicaKey,
    state: &ReplicaState,
    prefix: &SharedPrefix,
) -> u32 {
    set.prefixes()
        .cached_prefixes(prefix.session)
        .iter()
        .find(|cached| cached.replica == key)
        .map_or(0, |cached| {
            cached.expected_tokens(state.last_gap_at).min(prefix.tokens)
        })
}

/// Returns how many prompt tokens the replica is expected to have cached.
pub(crate) fn cached_tokens(
    set: &ReplicaSet,
    key: ReplicaKey,
    state: &ReplicaState,
    request: &RoutingRequest,
) -> u32 {
    let longest = request
        .shared_prefixes
        .iter()
        .map(|prefix| cached_session_tokens(set, key, state, prefix))
        .max()
        .unwrap_or(0);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let expected = (f64::from(longest) * state.cache_confidence) as u32;
    expected.min(request.prompt_tokens)
}

/// Estimates the cost of sending the call to a replica.
pub(crate) fn candidate_cost(
    set: &ReplicaSet,
    key: ReplicaKey,
    state: &ReplicaState,
    request: &RoutingRequest,
    now: TimeStamp,
) -> CandidateCost {
    let settings = set.settings();
    let cached_tokens = cached_tokens(set, key, state, request);
    let calls = state.expected_calls(now, settings.report_max_age_ms);
    let limit = state.spec.running_limit;
    let waiting = calls.saturating_add(1).saturating_sub(limit);
    let own_prefill_tokens = f64::from(u32::try_from(state.own_prefill_tokens).unwrap_or(u32::MAX));
    let uncached = f64::from(request.prompt_tokens - cached_tokens);
    let prefill_ms =
        (own_prefill_tokens + uncached) / TOKENS_PER_KILOTOKEN * settings.prefill_ms_per_kilotoken;
    let queue_ms = f64::from(waiting) * settings.service_ms / f64::from(limit);
    let first_token_ms = (prefill_ms + queue_ms) * state.slowdown;
    let load_ms = f64::from(calls.min(limit)) * settings.load_ms_per_running * state.slowdown;
    let disturbance_ms = uncached / TOKENS_PER_KILOTOKEN
        * settings.prefill_ms_per_kilotoken
        * f64::from(calls.min(limit))
        * settings.disturbance;
    let is_remote = request
        .domain
        .is_some_and(|domain| domain != state.spec.domain);
    let domain_ms = if is_remote {
        settings.cross_domain_ms
    } else {
        0.0
    };
    CandidateCost {
        replica: key,
        first_token_ms,
        total_ms: first_token_ms + load_ms + disturbance_ms + domain_ms,
        cached_tokens,
        waiting,
        exceeds_over_share_limit: request.is_over_share
            && f64::from(calls.saturating_add(1)) > f64::from(limit) * settings.over_share_part,
    }
}
