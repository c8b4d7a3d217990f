//! The replicas of one model or service and their observed state.

use std::net::SocketAddr;
use std::time::Duration;

use ibisdale_core::TimeStamp;
use slotmap::SlotMap;

use super::in_flight::{CallOutcome, CallReport, InFlightCall, InFlightKey};
use super::outlier::Availability;
use super::prefix::{CachedPrefix, PrefixTable, SessionId};
use super::replica::{LoadReport, ReplicaKey, ReplicaSpec, ReplicaState, ReplicaStatus};
use super::request::{RoutingDecision, RoutingRequest};
use super::settings::RoutingSettings;

/// Smoothing factor of the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Bounds of an observed slowdown, and so of its moving average.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 20.0);
/// Minimum of an observed cache hit ratio, and so of the cache confidence.
const CACHE_CONFIDENCE_MIN: f64 = 0.1;
/// Times to the first token are raised to this before they are compared, in
/// milliseconds; shorter ones do not show the speed of a replica.
const FIRST_TOKEN_MIN_MS: f64 = 50.0;

/// Identifies a failure domain within a [`ReplicaSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DomainKey(u16);

/// The replicas of one model or service.
#[derive(Clone, Debug)]
pub struct ReplicaSet {
    settings: RoutingSettings,
    domains: Vec<Vec<u8>>,
    replicas: SlotMap<ReplicaKey, ReplicaState>,
    live: Vec<ReplicaKey>,
    /// Replicas that were ejected and have not recovered.
    ejected: Vec<ReplicaKey>,
    in_flight: SlotMap<InFlightKey, InFlightCall>,
    prefixes: PrefixTable,
}

impl ReplicaSet {
    /// Creates an empty set.
    #[must_use]
    pub fn new(settings: RoutingSettings) -> Self {
        let prefixes = PrefixTable::new(settings.session_limit);
        Self {
            settings,
            domains: Vec::new(),
            replicas: SlotMap::with_key(),
            live: Vec::new(),
            ejected: Vec::new(),
            in_flight: SlotMap::with_key(),
            prefixes,
        }
    }

    /// Returns the key of a failure domain and adds the domain if it is new.
    ///
    /// # Panics
    ///
    /// Panics when there are more than 65,536 domains.
    pub fn domain_key(&mut self, name: &[u8]) -> DomainKey {
        let known = self.domains.iter().position(|domain| domain == name);
        let index = known.unwrap_or_else(|| {
            self.domains.push(name.to_vec());
            self.domains.len() - 1
        });
        DomainKey(u16::try_from(index).expect("the index of a failure domain fits in 16 bits"))
    }

    /// Adds a live replica.
    pub fn insert(&mut self, spec: ReplicaSpec) -> ReplicaKey {
        let key = self.replicas.insert(ReplicaState::new(spec));
        self.add_live(key);
        key
    }

    /// Removes a replica and the record of its cached prefixes; the end of its calls in
    /// flight has no effect.
    pub fn remove(&mut self, key: ReplicaKey) {
        self.remove_live(key);
        self.ejected.retain(|ejected| *ejected != key);
        self.replicas.remove(key);
        self.prefixes.forget_replica(key);
    }

    /// Sets whether a replica takes new calls.
    pub fn set_status(&mut self, key: ReplicaKey, status: ReplicaStatus) {
        let Some(state) = self.replicas.get_mut(key) else {
            return;
        };
        state.status = status;
        match status {
            ReplicaStatus::Live => self.add_live(key),
            ReplicaStatus::Leaving => self.remove_live(key),
        }
    }

    /// Records a load report; a report older than the last one is ignored.
    pub fn record_load(&mut self, key: ReplicaKey, report: LoadReport) {
        let Some(state) = self.replicas.get_mut(key) else {
            return;
        };
        if report.at < state.report.at {
            return;
        }
        state.report = report;
        state.own_ended = 0;
        let unreported = self
            .in_flight
            .values()
            .filter(|call| call.replica == key && call.started_at > report.at)
            .count();
        state.own_unreported = u32::try_from(unreported).unwrap_or(u32::MAX);
    }

    /// Records that a replica has the first `tokens` tokens of a session cached.
    pub fn record_cached(
        &mut self,
        key: ReplicaKey,
        session: SessionId,
        tokens: u32,
        at: TimeStamp,
    ) {
        if self.replicas.contains_key(key) {
            let cached = CachedPrefix {
                replica: key,
                tokens,
                observed_at: at,
            };
            self.prefixes.store(session, cached);
        }
    }

    /// Records that a replica evicted all but the first `tokens` tokens of a session;
    /// ignored when the session was recorded as cached there after `at`.
    pub fn record_evicted(
        &mut self,
        key: ReplicaKey,
        session: SessionId,
        tokens: u32,
        at: TimeStamp,
    ) {
        let eviction = CachedPrefix {
            replica: key,
            tokens,
            observed_at: at,
        };
        self.prefixes.evict(session, eviction);
    }

    /// Records a gap in the cache events of a replica, which ended at `at`.
    pub fn record_cache_gap(&mut self, key: ReplicaKey, at: TimeStamp) {
        if let Some(state) = self.replicas.get_mut(key) {
            state.last_gap_at = at;
        }
    }

    /// Removes the record of a session's cached prefixes, as when its program has ended.
    pub fn forget_session(&mut self, session: SessionId) {
        self.prefixes.forget(session);
    }

    /// Records that a call was sent to the chosen replica.
    ///
    /// The first shared prefix of the request is assumed to be that of the program's own
    /// session.
    pub fn begin_call(
        &mut self,
        request: &RoutingRequest,
        decision: &RoutingDecision,
        now: TimeStamp,
    ) -> InFlightKey {
        let prefill_tokens = request
            .prompt_tokens
            .saturating_sub(decision.expected_cached_tokens);
        if let Some(state) = self.replicas.get_mut(decision.replica) {
            state.own_in_flight += 1;
            if now > state.report.at {
                state.own_unreported += 1;
            }
            state.own_prefill_tokens += u64::from(prefill_tokens);
            if decision.is_probe {
                state.failures.begin_probe(now, &self.settings);
            }
        }
        self.in_flight.insert(InFlightCall {
            replica: decision.replica,
            started_at: now,
            shared_prefixes: request.shared_prefixes.clone(),
            prompt_tokens: request.prompt_tokens,
            expected_cached_tokens: decision.expected_cached_tokens,
            expected_first_token: Duration::from_millis(decision.expected_first_token_ms),
            prefill_tokens,
        })
    }

    /// Records that the first token of a call has arrived.
    pub fn record_first_token(&mut self, key: InFlightKey, now: TimeStamp) {
        let Some(call) = self.in_flight.get_mut(key) else {
            return;
        };
        let prefill_tokens = std::mem::take(&mut call.prefill_tokens);
        let Some(state) = self.replicas.get_mut(call.replica) else {
            return;
        };
        state.own_prefill_tokens = state
            .own_prefill_tokens
            .saturating_sub(u64::from(prefill_tokens));
        let expected_ms = call.expected_first_token.as_secs_f64() * 1_000.0 / state.slowdown;
        let observed_ms = now.since(call.started_at).as_secs_f64() * 1_000.0;
        let ratio = observed_ms.max(FIRST_TOKEN_MIN_MS) / expected_ms.max(FIRST_TOKEN_MIN_MS);
        let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        state.slowdown += SMOOTHING_FACTOR * (ratio - state.slowdown);
    }

    /// Records the end of a call; a call that has already ended is ignored.
    pub fn finish_call(&mut self, key: InFlightKey, report: CallReport, now: TimeStamp) {
        let Some(call) = self.in_flight.remove(key) else {
            return;
        };
        let Some(state) = self.replicas.get_mut(call.replica) else {
            return;
        };
        state.own_in_flight = state.own_in_flight.saturating_sub(1);
        if call.started_at > state.report.at {
            state.own_unreported = state.own_unreported.saturating_sub(1);
        } else {
            state.own_ended += 1;
        }
        state.own_prefill_tokens = state
            .own_prefill_tokens
            .saturating_sub(u64::from(call.prefill_tokens));
        match report.outcome {
            CallOutcome::Succeeded => state.failures.record_success(),
            CallOutcome::Failed => state.failures.record_failure(now, &self.settings),
            CallOutcome::Unreachable => state.failures.record_unreachable(now, &self.settings),
            CallOutcome::Cancelled => state.failures.record_inconclusive(),
        }
        self.update_ejected(call.replica, now);
        self.update_cache_estimates(&call, report, now);
    }

    /// Returns the address of a replica, or `None` if it was removed.
    #[must_use]
    pub fn get_address(&self, key: ReplicaKey) -> Option<SocketAddr> {
        self.replicas.get(key).map(|state| state.spec.address)
    }

    /// Returns the status of a replica, or `None` if it was removed.
    #[must_use]
    pub fn get_status(&self, key: ReplicaKey) -> Option<ReplicaStatus> {
        self.replicas.get(key).map(|state| state.status)
    }

    /// Returns the number of this daemon's calls in flight at a replica.
    #[must_use]
    pub fn get_own_in_flight(&self, key: ReplicaKey) -> u32 {
        self.replicas
            .get(key)
            .map_or(0, |state| state.own_in_flight)
    }

    /// Iterates over the keys of all replicas, live and leaving.
    pub fn keys(&self) -> impl Iterator<Item = ReplicaKey> {
        self.replicas.keys()
    }

    pub(crate) fn settings(&self) -> &RoutingSettings {
        &self.settings
    }

    pub(crate) fn live_keys(&self) -> &[ReplicaKey] {
        &self.live
    }

    pub(crate) fn state(&self, key: ReplicaKey) -> Option<&ReplicaState> {
        self.replicas.get(key)
    }

    pub(crate) fn prefixes(&self) -> &PrefixTable {
        &self.prefixes
    }

    /// Returns a live replica that is due for a probe.
    pub(crate) fn probe_candidate(&self, now: TimeStamp) -> Option<ReplicaKey> {
        self.ejected.iter().copied().find(|key| {
            self.replicas.get(*key).is_some_and(|state| {
                state.live_index.is_some()
                    && state.failures.availability(now) == Availability::ProbeDue
            })
        })
    }

    fn add_live(&mut self, key: ReplicaKey) {
        let index = self.live.len();
        if let Some(state) = self.replicas.get_mut(key)
            && state.live_index.is_none()
        {
            state.live_index = Some(index);
            self.live.push(key);
        }
    }

    fn remove_live(&mut self, key: ReplicaKey) {
        let index = self
            .replicas
            .get_mut(key)
            .and_then(|state| state.live_index.take());
        let Some(index) = index else {
            return;
        };
        self.live.swap_remove(index);
        if let Some(moved) = self.live.get(index)
            && let Some(state) = self.replicas.get_mut(*moved)
        {
            state.live_index = Some(index);
        }
    }

    /// Adds a replica to the ejected list or removes it, depending on its availability.
    fn update_ejected(&mut self, key: ReplicaKey, now: TimeStamp) {
        let is_ejected = self
            .replicas
            .get(key)
            .is_some_and(|state| state.failures.availability(now) != Availability::Available);
        let known = self.ejected.iter().position(|ejected| *ejected == key);
        match (is_ejected, known) {
            (true, None) => self.ejected.push(key),
            (false, Some(index)) => {
                self.ejected.swap_remove(index);
            }
            _ => {}
        }
    }

    /// Updates the cache confidence and the cached prefixes after a successful call.
    fn update_cache_estimates(&mut self, call: &InFlightCall, report: CallReport, now: TimeStamp) {
        if report.outcome != CallOutcome::Succeeded {
            return;
        }
        if let (Some(found), Some(state)) =
            (report.cached_tokens, self.replicas.get_mut(call.replica))
            && call.expected_cached_tokens > 0
        {
            let expected = f64::from(call.expected_cached_tokens) / state.cache_confidence;
            let ratio = (f64::from(found) / expected).clamp(CACHE_CONFIDENCE_MIN, 1.0);
            state.cache_confidence += SMOOTHING_FACTOR * (ratio - state.cache_confidence);
        }
        for (index, prefix) in call.shared_prefixes.iter().enumerate() {
            let tokens = if index == 0 {
                report.context_tokens.max(call.prompt_tokens)
            } else {
                prefix.tokens
            };
            let cached = CachedPrefix {
                replica: call.replica,
                tokens,
                observed_at: now,
            };
            self.prefixes.confirm(prefix.session, cached);
        }
    }
}
