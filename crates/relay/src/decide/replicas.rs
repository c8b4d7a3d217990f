//! What is known of each replica.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use super::hash::stable_hash;
use super::members::VmKey;

slotmap::new_key_type! {
    /// Key of a replica.
    pub struct ReplicaKey;
}

/// Pause of a replica after its first failure in a row, in milliseconds; doubled
/// after each further one.
const SUSPENSION_MIN_MS: u64 = 250;
/// Longest pause of a replica that keeps failing, in milliseconds.
const SUSPENSION_MAX_MS: u64 = 4_000;
/// Failures in a row before a replica pauses.
const SUSPENSION_FAILURES: u32 = 2;
/// Age at which a load report no longer says anything, in milliseconds.
const LOAD_MAX_AGE_MS: u64 = 1_500;
/// Age at which a VM's requests at the replicas no longer count, in milliseconds;
/// a few rounds between VMs.
const FLIGHTS_MAX_AGE_MS: u64 = 1_500;

/// What a replica says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ReplicaFact {
    /// Identifier of this start of the replica.
    pub id: Bytes,
    /// Start of the replica, in milliseconds since the Unix epoch, where known.
    pub started_ms: u64,
    /// Service that it belongs to.
    pub service: Bytes,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: Bytes,
    /// Requests that it runs at once; 0 where unknown.
    pub slots: u32,
    /// Tells whether it is about to leave and takes no new work.
    pub is_draining: bool,
}

/// Load that a replica told with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
}

/// Requests of one VM at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct FlightCount {
    /// Short hash of the replica's identifier.
    pub replica: u32,
    /// Requests sent and not ended.
    pub requests: u32,
}

/// What another VM has last told of its requests.
#[derive(Clone, Debug, Default)]
struct PeerFlights {
    counts: Vec<FlightCount>,
    heard_ms: u64,
}

/// How a call to a replica ended, as far as it tells of the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It answered.
    Answered,
    /// It refused the request as full or leaving.
    Refused,
    /// It could not be reached, or broke off.
    Failed,
    /// The caller left; this says nothing.
    Unknown,
}

#[derive(Clone, Debug)]
pub(crate) struct ReplicaState {
    pub(crate) fact: ReplicaFact,
    pub(crate) hash: u64,
    pub(crate) in_flight: u32,
    /// Requests of the other VMs, as they last told.
    peer_flights: u32,
    pub(crate) prompt_tokens: u64,
    failures: u32,
    suspended_until_ms: u64,
    load: Option<(ReplicaLoad, u64, u32)>,
}

impl ReplicaState {
    fn new(fact: ReplicaFact) -> Self {
        Self {
            hash: stable_hash(&fact.id),
            fact,
            in_flight: 0,
            peer_flights: 0,
            prompt_tokens: 0,
            failures: 0,
            suspended_until_ms: 0,
            load: None,
        }
    }

    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        !self.fact.is_draining && self.suspended_until_ms <= now_ms
    }

    /// Estimates the requests at the replica, those of other VMs included.
    pub(crate) fn estimate(&self, now_ms: u64) -> u32 {
        let Some((load, at_ms, own_then)) = self.load else {
            return self.in_flight;
        };
        if now_ms.saturating_sub(at_ms) > LOAD_MAX_AGE_MS {
            return self.in_flight;
        }
        let others = (load.running + load.waiting).saturating_sub(own_then);
        others + self.in_flight
    }

    /// Returns the requests that all VMs have at the replica, as far as they told.
    pub(crate) fn fleet_flights(&self, now_ms: u64) -> u32 {
        self.estimate(now_ms)
            .max(self.in_flight + self.peer_flights)
    }

    pub(crate) fn slots(&self) -> u32 {
        let told = self.load.map_or(0, |(load, ..)| load.slots);
        self.fact.slots.max(told).max(1)
    }
}

/// All replicas that the platform lists.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    replicas: SlotMap<ReplicaKey, ReplicaState>,
    by_service: HashMap<Bytes, Vec<ReplicaKey>>,
    by_hash: HashMap<u32, ReplicaKey>,
    peers: HashMap<VmKey, PeerFlights>,
}

impl ReplicaTable {
    /// Replaces the list; returns the replicas that are new, changed or gone.
    ///
    /// What was learned of a replica is kept while it is the same start of it.
    pub fn replace(&mut self, facts: Vec<ReplicaFact>) -> ReplicaChanges {
        let mut changes = ReplicaChanges::default();
        let mut known: HashMap<(Bytes, u64), ReplicaKey> = self
            .replicas
            .iter()
            .map(|(key, state)| ((state.fact.id.clone(), state.fact.started_ms), key))
            .collect();
        for fact in facts {
            if let Some(key) = known.remove(&(fact.id.clone(), fact.started_ms)) {
                let state = &mut self.replicas[key];
                if state.fact != fact {
                    changes.changed.push(fact.clone());
                    state.fact = fact;
                }
            } else {
                changes.added.push(fact.clone());
                self.replicas.insert(ReplicaState::new(fact));
            }
        }
        for key in known.into_values() {
            if let Some(state) = self.replicas.remove(key) {
                changes.removed.push((key, state.fact));
            }
        }
        self.by_service.clear();
        self.by_hash.clear();
        for (key, state) in &self.replicas {
            self.by_hash.insert(short(state.hash), key);
            let keys = self.by_service.entry(state.fact.service.clone());
            keys.or_default().push(key);
        }
        changes
    }

    /// Returns the replicas of a service.
    #[must_use]
    pub fn get_service(&self, service: &[u8]) -> &[ReplicaKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the facts of a replica while it is listed.
    #[must_use]
    pub fn get_fact(&self, key: ReplicaKey) -> Option<&ReplicaFact> {
        self.replicas.get(key).map(|state| &state.fact)
    }

    /// Returns the facts of all replicas.
    pub fn facts(&self) -> impl Iterator<Item = &ReplicaFact> {
        self.replicas.values().map(|state| &state.fact)
    }

    /// Returns the number of replicas.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Tells whether no replica is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    pub(crate) fn state(&self, key: ReplicaKey) -> Option<&ReplicaState> {
        self.replicas.get(key)
    }

    /// Counts a request that is sent.
    pub fn begin(&mut self, key: ReplicaKey, prompt_tokens: u64) {
        if let Some(state) = self.replicas.get_mut(key) {
            state.in_flight += 1;
            state.prompt_tokens += prompt_tokens;
        }
    }

    /// Counts a request whose prompt the replica has read.
    pub fn finish_prompt(&mut self, key: ReplicaKey, prompt_tokens: u64) {
        if let Some(state) = self.replicas.get_mut(key) {
            state.prompt_tokens = state.prompt_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Counts a request that has ended.
    pub fn finish(&mut self, key: ReplicaKey, outcome: CallOutcome, now_ms: u64) {
        let Some(state) = self.replicas.get_mut(key) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        match outcome {
            CallOutcome::Answered => state.failures = 0,
            CallOutcome::Unknown => {}
            CallOutcome::Refused => {
                state.suspended_until_ms = now_ms + SUSPENSION_MIN_MS / 5;
            }
            CallOutcome::Failed => {
                state.failures += 1;
                if state.failures >= SUSPENSION_FAILURES {
                    let doublings = (state.failures - SUSPENSION_FAILURES).min(6);
                    let pause = (SUSPENSION_MIN_MS << doublings).min(SUSPENSION_MAX_MS);
                    state.suspended_until_ms = now_ms + pause;
                }
            }
        }
    }

    /// Returns this VM's requests at the replicas.
    #[must_use]
    pub fn flights(&self) -> Vec<FlightCount> {
        let states = self.replicas.values();
        let busy = states.filter(|state| state.in_flight > 0);
        busy.map(|state| FlightCount {
            replica: short(state.hash),
            requests: state.in_flight,
        })
        .collect()
    }

    /// Takes what another VM tells of its requests at the replicas.
    pub fn record_flights(&mut self, peer: VmKey, counts: Vec<FlightCount>, now_ms: u64) {
        let news = PeerFlights {
            counts,
            heard_ms: now_ms,
        };
        let known = self.peers.insert(peer, news.clone());
        self.count_flights(&news, true);
        if let Some(known) = known {
            self.count_flights(&known, false);
        }
    }

    /// Forgets the requests of VMs that have fallen silent.
    pub fn expire_flights(&mut self, now_ms: u64) {
        let is_old = |peer: &PeerFlights| now_ms.saturating_sub(peer.heard_ms) > FLIGHTS_MAX_AGE_MS;
        let old: Vec<VmKey> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_old(peer))
            .map(|(vm, _)| *vm)
            .collect();
        for vm in old {
            if let Some(peer) = self.peers.remove(&vm) {
                self.count_flights(&peer, false);
            }
        }
    }

    fn count_flights(&mut self, peer: &PeerFlights, is_added: bool) {
        for count in &peer.counts {
            let key = self.by_hash.get(&count.replica);
            let Some(state) = key.and_then(|key| self.replicas.get_mut(*key)) else {
                continue;
            };
            state.peer_flights = if is_added {
                state.peer_flights + count.requests
            } else {
                state.peer_flights.saturating_sub(count.requests)
            };
        }
    }

    /// Takes the load that a replica told.
    pub fn record_load(&mut self, key: ReplicaKey, load: ReplicaLoad, now_ms: u64) {
        if let Some(state) = self.replicas.get_mut(key) {
            // The request that carried the report is counted by the replica.
            state.load = Some((load, now_ms, state.in_flight));
        }
    }
}

/// Shortens a hash for messages; replicas that share one only blur their load.
#[expect(clippy::cast_possible_truncation, reason = "the lower half is meant")]
fn short(hash: u64) -> u32 {
    hash as u32
}

/// What a new list of replicas changed.
#[derive(Clone, Debug, Default)]
pub struct ReplicaChanges {
    /// Replicas that are new.
    pub added: Vec<ReplicaFact>,
    /// Replicas that say something else of themselves.
    pub changed: Vec<ReplicaFact>,
    /// Replicas that are gone.
    pub removed: Vec<(ReplicaKey, ReplicaFact)>,
}
