//! The replicas of one model or service, and what is learned about them.

use std::net::SocketAddr;
use std::time::Duration;

use ibisdale_core::TimeStamp;
use slotmap::SlotMap;

use super::flight::{FlightKey, FlightOutcome, FlightReport, FlightState};
use super::outlier::Availability;
use super::prefix::{PrefixPlacement, PrefixTable, SessionId};
use super::replica::{LoadReport, ReplicaKey, ReplicaSpec, ReplicaState, ReplicaStatus};
use super::request::{ChoiceRequest, RoutingDecision};
use super::weights::RoutingWeights;

/// Weight of a new observation in a moving average.
const LEARNING_RATE: f64 = 0.1;
/// Bounds of the learned slowness of a replica.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 20.0);
/// Least part of the expected cached tokens that is still counted on.
const CACHE_TRUST_MIN: f64 = 0.1;
/// Expected waits below this teach nothing about a replica's speed.
const WAIT_FLOOR_MS: f64 = 50.0;

/// Names a failure domain within a [`ReplicaSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DomainKey(u16);

/// The replicas of one model or service.
#[derive(Clone, Debug)]
pub struct ReplicaSet {
    weights: RoutingWeights,
    domains: Vec<Vec<u8>>,
    replicas: SlotMap<ReplicaKey, ReplicaState>,
    live: Vec<ReplicaKey>,
    suspects: Vec<ReplicaKey>,
    flights: SlotMap<FlightKey, FlightState>,
    prefixes: PrefixTable,
}

impl ReplicaSet {
    /// Creates an empty set.
    #[must_use]
    pub fn new(weights: RoutingWeights) -> Self {
        let prefixes = PrefixTable::new(weights.session_limit);
        Self {
            weights,
            domains: Vec::new(),
            replicas: SlotMap::with_key(),
            live: Vec::new(),
            suspects: Vec::new(),
            flights: SlotMap::with_key(),
            prefixes,
        }
    }

    /// Returns the key of a failure domain, adding it when it is new.
    ///
    /// # Panics
    ///
    /// Panics when more than 65,536 domains are named.
    pub fn domain_key(&mut self, name: &[u8]) -> DomainKey {
        let known = self.domains.iter().position(|domain| domain == name);
        let index = known.unwrap_or_else(|| {
            self.domains.push(name.to_vec());
            self.domains.len() - 1
        });
        DomainKey(u16::try_from(index).expect("the number of failure domains fits 16 bits"))
    }

    /// Adds a live replica.
    pub fn insert(&mut self, spec: ReplicaSpec) -> ReplicaKey {
        let key = self.replicas.insert(ReplicaState::new(spec));
        self.add_live(key);
        key
    }

    /// Removes a replica and forgets what it has cached; its calls in flight end
    /// without effect.
    pub fn remove(&mut self, key: ReplicaKey) {
        self.remove_live(key);
        self.suspects.retain(|suspect| *suspect != key);
        self.replicas.remove(key);
        self.prefixes.forget_replica(key);
    }

    /// Sets whether a replica takes new work.
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

    /// Takes a load report; one older than the last is ignored.
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
            .flights
            .values()
            .filter(|flight| flight.replica == key && flight.begun > report.at)
            .count();
        state.own_unreported = u32::try_from(unreported).unwrap_or(u32::MAX);
    }

    /// Notes that a replica has the first `tokens` tokens of a session cached.
    pub fn record_cached(
        &mut self,
        key: ReplicaKey,
        session: SessionId,
        tokens: u32,
        at: TimeStamp,
    ) {
        if self.replicas.contains_key(key) {
            let placement = PrefixPlacement {
                replica: key,
                tokens,
                at,
            };
            self.prefixes.store(session, placement);
        }
    }

    /// Notes that a replica kept only the first `tokens` tokens of a session;
    /// ignored when the session was seen there after `at`.
    pub fn record_evicted(
        &mut self,
        key: ReplicaKey,
        session: SessionId,
        tokens: u32,
        at: TimeStamp,
    ) {
        let eviction = PrefixPlacement {
            replica: key,
            tokens,
            at,
        };
        self.prefixes.evict(session, eviction);
    }

    /// Notes that cache events of a replica were missed before `at`.
    pub fn record_cache_gap(&mut self, key: ReplicaKey, at: TimeStamp) {
        if let Some(state) = self.replicas.get_mut(key) {
            state.gap_at = at;
        }
    }

    /// Forgets a session, as when its program has ended.
    pub fn forget_session(&mut self, session: SessionId) {
        self.prefixes.forget(session);
    }

    /// Notes that a call was sent as decided.
    ///
    /// The first claim of the request is taken as the program's own session.
    pub fn begin(
        &mut self,
        request: &ChoiceRequest,
        decision: &RoutingDecision,
        now: TimeStamp,
    ) -> FlightKey {
        let prefill_tokens = request
            .prompt_tokens
            .saturating_sub(decision.expected_cached_tokens);
        if let Some(state) = self.replicas.get_mut(decision.replica) {
            state.own_flights += 1;
            if now > state.report.at {
                state.own_unreported += 1;
            }
            state.own_prefill_tokens += u64::from(prefill_tokens);
            if decision.is_probe {
                state.failures.begin_probe(now, &self.weights);
            }
        }
        self.flights.insert(FlightState {
            replica: decision.replica,
            begun: now,
            claims: request.claims.clone(),
            prompt_tokens: request.prompt_tokens,
            expected_cached_tokens: decision.expected_cached_tokens,
            expected_wait: Duration::from_millis(decision.expected_wait_ms),
            prefill_tokens,
        })
    }

    /// Notes that the first token of a call has come.
    pub fn record_first_token(&mut self, key: FlightKey, now: TimeStamp) {
        let Some(flight) = self.flights.get_mut(key) else {
            return;
        };
        let prefill_tokens = std::mem::take(&mut flight.prefill_tokens);
        let Some(state) = self.replicas.get_mut(flight.replica) else {
            return;
        };
        state.own_prefill_tokens = state
            .own_prefill_tokens
            .saturating_sub(u64::from(prefill_tokens));
        let expected_ms = flight.expected_wait.as_secs_f64() * 1_000.0 / state.slowness;
        let observed_ms = now.since(flight.begun).as_secs_f64() * 1_000.0;
        let ratio = observed_ms.max(WAIT_FLOOR_MS) / expected_ms.max(WAIT_FLOOR_MS);
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        state.slowness += LEARNING_RATE * (ratio - state.slowness);
    }

    /// Notes the end of a call; a call that has ended already is ignored.
    pub fn finish(&mut self, key: FlightKey, report: FlightReport, now: TimeStamp) {
        let Some(flight) = self.flights.remove(key) else {
            return;
        };
        let Some(state) = self.replicas.get_mut(flight.replica) else {
            return;
        };
        state.own_flights = state.own_flights.saturating_sub(1);
        if flight.begun > state.report.at {
            state.own_unreported = state.own_unreported.saturating_sub(1);
        } else {
            state.own_ended += 1;
        }
        state.own_prefill_tokens = state
            .own_prefill_tokens
            .saturating_sub(u64::from(flight.prefill_tokens));
        match report.outcome {
            FlightOutcome::Succeeded => state.failures.record_success(),
            FlightOutcome::Failed => state.failures.record_failure(now, &self.weights),
            FlightOutcome::Unreachable => state.failures.record_unreachable(now, &self.weights),
            FlightOutcome::Cancelled => state.failures.record_unproven(),
        }
        self.update_suspect(flight.replica, now);
        self.learn_cache(&flight, report, now);
    }

    /// Returns a replica's address, unless it was removed.
    #[must_use]
    pub fn get_address(&self, key: ReplicaKey) -> Option<SocketAddr> {
        self.replicas.get(key).map(|state| state.spec.address)
    }

    /// Returns whether a replica takes new work, unless it was removed.
    #[must_use]
    pub fn get_status(&self, key: ReplicaKey) -> Option<ReplicaStatus> {
        self.replicas.get(key).map(|state| state.status)
    }

    /// Returns the number of own calls in flight at a replica.
    #[must_use]
    pub fn get_own_flights(&self, key: ReplicaKey) -> u32 {
        self.replicas.get(key).map_or(0, |state| state.own_flights)
    }

    /// Iterates over the keys of all replicas, live and leaving.
    pub fn keys(&self) -> impl Iterator<Item = ReplicaKey> {
        self.replicas.keys()
    }

    pub(crate) fn weights(&self) -> &RoutingWeights {
        &self.weights
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

    /// Returns a live replica whose time of avoidance is up.
    pub(crate) fn probe_candidate(&self, now: TimeStamp) -> Option<ReplicaKey> {
        self.suspects.iter().copied().find(|key| {
            self.replicas.get(*key).is_some_and(|state| {
                state.live_index.is_some()
                    && state.failures.availability(now) == Availability::Probe
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

    fn update_suspect(&mut self, key: ReplicaKey, now: TimeStamp) {
        let is_suspect = self
            .replicas
            .get(key)
            .is_some_and(|state| state.failures.availability(now) != Availability::Open);
        let known = self.suspects.iter().position(|suspect| *suspect == key);
        match (is_suspect, known) {
            (true, None) => self.suspects.push(key),
            (false, Some(index)) => {
                self.suspects.swap_remove(index);
            }
            _ => {}
        }
    }

    fn learn_cache(&mut self, flight: &FlightState, report: FlightReport, now: TimeStamp) {
        if report.outcome != FlightOutcome::Succeeded {
            return;
        }
        if let (Some(found), Some(state)) =
            (report.cached_tokens, self.replicas.get_mut(flight.replica))
            && flight.expected_cached_tokens > 0
        {
            let expected = f64::from(flight.expected_cached_tokens) / state.cache_trust;
            let ratio = (f64::from(found) / expected).clamp(CACHE_TRUST_MIN, 1.0);
            state.cache_trust += LEARNING_RATE * (ratio - state.cache_trust);
        }
        for (index, claim) in flight.claims.iter().enumerate() {
            let tokens = if index == 0 {
                report.context_tokens.max(flight.prompt_tokens)
            } else {
                claim.tokens
            };
            let placement = PrefixPlacement {
                replica: flight.replica,
                tokens,
                at: now,
            };
            self.prefixes.confirm(claim.session, placement);
        }
    }
}
