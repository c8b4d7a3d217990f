//! State and load of each replica.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use super::evacuation::{EvacuationChange, EvacuationTable};
use super::in_flight_counts::{InFlightCount, PeerInFlight, truncate_hash};
use super::limits::StartKey;
use super::member_facts::VmKey;
use super::replica_changes::ReplicaChanges;
use super::replica_speed::{SpeedTable, StepChange};
use ibisdale_core::{hash_bytes, rendezvous_weight};

slotmap::new_key_type! {
    /// Key of a replica in a [`ReplicaTable`], valid until it is delisted or restarted.
    pub struct ReplicaKey;
}

/// Initial ejection duration after consecutive failures, in milliseconds; doubled after
/// each further failure. A refusal ejects for a fifth of it.
const EJECTION_BASE_MS: u64 = 250;
/// Maximum ejection duration of a replica that keeps failing, in milliseconds.
const EJECTION_MAX_MS: u64 = 4_000;
/// Ejection duration of a replica that has ended, in milliseconds; it is delisted or starts
/// again some seconds later.
const EJECTION_ENDED_MS: u64 = 1_000;
/// Ejection duration of a replica that another one answers for, in milliseconds; its entry is
/// old or names a wrong address.
const EJECTION_MISPLACED_MS: u64 = 4_000;
/// Consecutive failures after which a replica is ejected.
const EJECTION_FAILURES: u32 = 2;
/// Age above which a load report is ignored, in milliseconds.
const LOAD_REPORT_MAX_AGE_MS: u64 = 1_500;

/// Maximum number of replicas that are remembered as leaving; the oldest are dropped.
const LEAVING_MAX: usize = 4_096;

/// Properties of a replica as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ReplicaInfo {
    /// Identifier of the replica.
    pub id: Bytes,
    /// Start time of the replica, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// Service that the replica belongs to.
    pub service: Bytes,
    /// Address of the replica.
    pub address: SocketAddr,
    /// Failure domain of the replica.
    pub domain: Bytes,
    /// Version of the replica's software; what two versions generate does not fit together.
    pub software_version: Bytes,
    /// Maximum number of concurrent requests; 0 if unknown.
    pub slots: u32,
    /// Whether the replica is draining and accepts no new requests.
    pub is_draining: bool,
    /// Time for which the replica was still cold when its entry was written, in milliseconds; 0
    /// if it was not.
    pub cold_left_ms: u64,
}

impl ReplicaInfo {
    /// Returns the key of this start of the replica.
    #[must_use]
    pub fn start_key(&self) -> StartKey {
        rendezvous_weight(hash_bytes(&self.id), self.started_ms)
    }

    /// Returns whether both describe the same start of the same replica.
    fn is_same_start(&self, other: &Self) -> bool {
        self.id == other.id && self.started_ms == other.started_ms
    }
}

/// Load that a replica reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Outcome of an attempt, used to judge the health of the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The replica sent a complete response.
    Answered,
    /// The replica refused the request because it is full or draining.
    Refused,
    /// Another replica listens at the address and refused the request.
    Misplaced,
    /// The replica could not be reached or failed before the response was complete.
    Failed,
    /// The request ended for another reason, for example because the caller
    /// disconnected; no evidence either way.
    Unknown,
}

#[derive(Clone, Debug)]
pub(crate) struct ReplicaState {
    pub(crate) info: ReplicaInfo,
    /// Whether the replica has announced in a response that it is shutting down.
    is_leaving: bool,
    /// Whether the replica's failure domain is evacuated.
    pub(crate) is_evacuated: bool,
    pub(crate) start: StartKey,
    pub(crate) hash: u64,
    pub(crate) in_flight: u32,
    /// In-flight requests of the other VMs, as last reported by them.
    peer_in_flight: u32,
    pub(crate) pending_prompt_tokens: u64,
    consecutive_failures: u32,
    ejected_until_ms: u64,
    /// Until when the replica is known to have ended; it may start again under the same entry.
    ended_until_ms: u64,
    /// Last load report, when it was received, and this VM's in-flight requests then.
    load: Option<(ReplicaLoad, u64, u32)>,
}

impl ReplicaState {
    fn new(info: ReplicaInfo, is_leaving: bool) -> Self {
        Self {
            is_leaving,
            is_evacuated: false,
            start: info.start_key(),
            hash: hash_bytes(&info.id),
            info,
            in_flight: 0,
            peer_in_flight: 0,
            pending_prompt_tokens: 0,
            consecutive_failures: 0,
            ejected_until_ms: 0,
            ended_until_ms: 0,
            load: None,
        }
    }

    /// Returns whether the replica accepts new requests and has the software version
    /// `required`, if one is required.
    pub(crate) fn accepts(&self, required: Option<&[u8]>) -> bool {
        let has_version = required.is_none_or(|required| self.info.software_version == required);
        has_version && !self.info.is_draining && !self.is_leaving && !self.is_evacuated
    }

    pub(crate) fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejected_until_ms > now_ms
    }

    /// Estimates the number of requests at the replica from its last load report and the
    /// change in this VM's in-flight requests since.
    ///
    /// Without a recent report only the requests of this VM are counted.
    pub(crate) fn report_based_load(&self, now_ms: u64) -> u32 {
        let Some((load, received_ms, own_in_flight)) = self.load else {
            return self.in_flight;
        };
        if now_ms.saturating_sub(received_ms) > LOAD_REPORT_MAX_AGE_MS {
            return self.in_flight;
        }
        // The report is what a replica says and may be any number.
        let reported = load.running.saturating_add(load.waiting);
        let others = reported.saturating_sub(own_in_flight);
        others.saturating_add(self.in_flight)
    }

    /// Estimates the number of requests of all VMs at the replica: the larger of the estimate
    /// from its load report and the in-flight counts that the VMs exchange.
    pub(crate) fn max_load_estimate(&self, now_ms: u64) -> u32 {
        self.report_based_load(now_ms)
            .max(self.in_flight.saturating_add(self.peer_in_flight))
    }

    pub(crate) fn slots(&self) -> u32 {
        let reported = self.load.map_or(0, |(load, ..)| load.slots);
        self.info.slots.max(reported).max(1)
    }
}

/// Table of all replicas that the platform lists.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    replicas: SlotMap<ReplicaKey, ReplicaState>,
    by_service: HashMap<Bytes, Vec<ReplicaKey>>,
    by_hash: HashMap<u32, ReplicaKey>,
    /// Replicas that have announced their shutdown, by identifier and start time, oldest first.
    /// They are kept when they are delisted, since an entry that expired in an outage
    /// of the service comes back.
    leaving: VecDeque<(Bytes, u64)>,
    peers: HashMap<VmKey, PeerInFlight>,
    evacuations: EvacuationTable,
    /// Learned speeds of the listed replicas.
    pub speeds: SpeedTable,
}

impl ReplicaTable {
    /// Replaces the list and returns the added, changed and removed replicas.
    ///
    /// The state of replicas that stay listed and were not restarted is kept.
    pub fn replace(&mut self, infos: Vec<ReplicaInfo>) -> ReplicaChanges {
        let mut changes = ReplicaChanges::default();
        let mut known: HashMap<(Bytes, u64), ReplicaKey> = self
            .replicas
            .iter()
            .map(|(key, state)| ((state.info.id.clone(), state.info.started_ms), key))
            .collect();
        for info in infos {
            if let Some(key) = known.remove(&(info.id.clone(), info.started_ms)) {
                let state = &mut self.replicas[key];
                if state.info != info {
                    changes.changed.push(info.clone());
                    state.info = info;
                }
            } else {
                changes.added.push(info.clone());
                let start = (info.id.clone(), info.started_ms);
                let is_leaving = self.leaving.contains(&start);
                self.replicas.insert(ReplicaState::new(info, is_leaving));
            }
        }
        for key in known.into_values() {
            if let Some(state) = self.replicas.remove(key) {
                changes.removed.push((key, state.info));
            }
        }
        self.by_service.clear();
        self.by_hash.clear();
        for (key, state) in &self.replicas {
            self.by_hash.insert(truncate_hash(state.hash), key);
            let keys = self.by_service.entry(state.info.service.clone());
            keys.or_default().push(key);
        }
        self.mark_evacuated();
        let states = self.replicas.values();
        let starts = states.map(|state| (state.start, hash_bytes(&state.info.service)));
        self.speeds.set_replicas(starts);
        changes
    }

    /// Replaces the evacuated failure domains; replicas there accept no new requests.
    pub fn apply_evacuations(
        &mut self,
        domains: BTreeSet<Bytes>,
        revision: u64,
    ) -> EvacuationChange {
        let change = self.evacuations.apply(domains, revision);
        if !change.is_empty() {
            self.mark_evacuated();
        }
        change
    }

    fn mark_evacuated(&mut self) {
        for state in self.replicas.values_mut() {
            state.is_evacuated = self.evacuations.contains(&state.info.domain);
        }
    }

    /// Returns the evacuated failure domains.
    #[must_use]
    pub fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// Returns the replicas of a service.
    #[must_use]
    pub fn service_replicas(&self, service: &[u8]) -> &[ReplicaKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the properties of a replica if it is listed.
    #[must_use]
    pub fn get_info(&self, key: ReplicaKey) -> Option<&ReplicaInfo> {
        self.replicas.get(key).map(|state| &state.info)
    }

    /// Returns the properties of the replica with this start if it is listed.
    #[must_use]
    pub fn find_start(&self, start: StartKey) -> Option<&ReplicaInfo> {
        let mut states = self.replicas.values();
        let found = states.find(|state| state.start == start);
        found.map(|state| &state.info)
    }

    /// Returns the properties of all replicas.
    pub fn infos(&self) -> impl Iterator<Item = &ReplicaInfo> {
        self.replicas.values().map(|state| &state.info)
    }

    /// Returns the number of replicas.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether no replica is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns whether a replica is listed, accepts new requests and has the software version
    /// `required`, if one is required.
    #[must_use]
    pub fn accepts(&self, key: ReplicaKey, required: Option<&[u8]>) -> bool {
        let state = self.replicas.get(key);
        state.is_some_and(|state| state.accepts(required))
    }

    /// Records that a replica has announced its shutdown; it gets no new requests, whatever its
    /// entry, until it restarts. Returns whether this was not recorded yet.
    ///
    /// The replica may have been delisted since the request was sent.
    pub fn record_leaving(&mut self, replica: &ReplicaInfo) -> bool {
        let start = (replica.id.clone(), replica.started_ms);
        if self.leaving.contains(&start) {
            return false;
        }
        let mut states = self.replicas.values_mut();
        if let Some(state) = states.find(|state| state.info.is_same_start(replica)) {
            state.is_leaving = true;
        }
        if self.leaving.len() == LEAVING_MAX {
            self.leaving.pop_front();
        }
        self.leaving.push_back(start);
        true
    }

    /// Records that a replica has ended; returns whether this was not recorded yet.
    pub fn record_ended(&mut self, key: ReplicaKey, now_ms: u64) -> bool {
        let is_new = !self.has_ended(key, now_ms);
        if let Some(state) = self.replicas.get_mut(key) {
            state.ended_until_ms = now_ms + EJECTION_ENDED_MS;
            state.ejected_until_ms = state.ejected_until_ms.max(state.ended_until_ms);
        }
        is_new
    }

    /// Returns whether a replica has ended a short time ago.
    #[must_use]
    pub fn has_ended(&self, key: ReplicaKey, now_ms: u64) -> bool {
        let state = self.replicas.get(key);
        state.is_some_and(|state| state.ended_until_ms > now_ms)
    }

    /// Returns the number of requests that this VM has in flight at a replica.
    #[must_use]
    pub fn in_flight(&self, key: ReplicaKey) -> u32 {
        self.replicas.get(key).map_or(0, |state| state.in_flight)
    }

    pub(crate) fn state(&self, key: ReplicaKey) -> Option<&ReplicaState> {
        self.replicas.get(key)
    }

    pub(crate) fn states(&self) -> impl Iterator<Item = &ReplicaState> {
        self.replicas.values()
    }

    pub(crate) fn service_states(&self, service: &[u8]) -> impl Iterator<Item = &ReplicaState> {
        let keys = self.service_replicas(service).iter();
        keys.filter_map(|key| self.replicas.get(*key))
    }

    /// Records that a request is sent to a replica.
    pub fn begin_request(&mut self, key: ReplicaKey, prompt_tokens: u64) {
        if let Some(state) = self.replicas.get_mut(key) {
            state.in_flight += 1;
            state.pending_prompt_tokens += prompt_tokens;
        }
    }

    /// Records that a replica has processed the prompt of a request.
    pub fn finish_prefill(&mut self, key: ReplicaKey, prompt_tokens: u64) {
        if let Some(state) = self.replicas.get_mut(key) {
            state.pending_prompt_tokens = state.pending_prompt_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Records the end of a request; a refusal or repeated failures eject the replica.
    pub fn finish_request(&mut self, key: ReplicaKey, outcome: AttemptOutcome, now_ms: u64) {
        let Some(state) = self.replicas.get_mut(key) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered => state.consecutive_failures = 0,
            AttemptOutcome::Unknown => {}
            AttemptOutcome::Refused => {
                state.ejected_until_ms = now_ms + EJECTION_BASE_MS / 5;
            }
            AttemptOutcome::Misplaced => {
                state.ejected_until_ms = now_ms + EJECTION_MISPLACED_MS;
            }
            AttemptOutcome::Failed => {
                state.consecutive_failures += 1;
                if state.consecutive_failures >= EJECTION_FAILURES {
                    let doublings = (state.consecutive_failures - EJECTION_FAILURES).min(6);
                    let ejection_ms = (EJECTION_BASE_MS << doublings).min(EJECTION_MAX_MS);
                    state.ejected_until_ms = now_ms + ejection_ms;
                }
            }
        }
    }

    /// Returns the in-flight counts of this VM.
    #[must_use]
    pub fn in_flight_counts(&self) -> Vec<InFlightCount> {
        let states = self.replicas.values();
        let in_use = states.filter(|state| state.in_flight > 0);
        in_use
            .map(|state| InFlightCount {
                replica_hash: truncate_hash(state.hash),
                requests: state.in_flight,
            })
            .collect()
    }

    /// Replaces the in-flight counts of another VM.
    pub fn record_peer_in_flight(&mut self, peer: VmKey, counts: Vec<InFlightCount>, now_ms: u64) {
        let latest = PeerInFlight {
            counts,
            received_ms: now_ms,
        };
        let previous = self.peers.insert(peer, latest.clone());
        self.update_peer_in_flight(&latest, true);
        if let Some(previous) = previous {
            self.update_peer_in_flight(&previous, false);
        }
    }

    /// Removes the in-flight counts of VMs that have sent no update for `max_age_ms`.
    pub fn expire_peer_in_flight(&mut self, max_age_ms: u64, now_ms: u64) {
        let is_expired = |peer: &PeerInFlight| now_ms.saturating_sub(peer.received_ms) > max_age_ms;
        let expired: Vec<VmKey> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_expired(peer))
            .map(|(vm, _)| *vm)
            .collect();
        for vm in expired {
            if let Some(peer) = self.peers.remove(&vm) {
                self.update_peer_in_flight(&peer, false);
            }
        }
    }

    /// Adds the counts of another VM to those of the replicas, or subtracts them.
    fn update_peer_in_flight(&mut self, in_flight: &PeerInFlight, is_addition: bool) {
        for count in &in_flight.counts {
            let key = self.by_hash.get(&count.replica_hash);
            let Some(state) = key.and_then(|key| self.replicas.get_mut(*key)) else {
                continue;
            };
            state.peer_in_flight = if is_addition {
                state.peer_in_flight + count.requests
            } else {
                state.peer_in_flight.saturating_sub(count.requests)
            };
        }
    }

    /// Updates the learned speeds of all replicas and returns the changes of their steps.
    pub fn update_speeds(&mut self, now_ms: u64) -> Vec<StepChange> {
        for (service, keys) in &self.by_service {
            let states = keys.iter().filter_map(|key| self.replicas.get(*key));
            let (mut load, mut slots) = (0.0, 0.0);
            for state in states {
                load += f64::from(state.max_load_estimate(now_ms));
                slots += f64::from(state.slots());
            }
            let service = hash_bytes(service);
            self.speeds.record_utilization(service, load / slots);
        }
        self.speeds.update_steps(now_ms)
    }

    /// Records a load report of a replica.
    pub fn record_load(&mut self, key: ReplicaKey, load: ReplicaLoad, now_ms: u64) {
        if let Some(state) = self.replicas.get_mut(key) {
            // The report includes the request whose response carried it, so `in_flight` must
            // still count it: this is called before `finish_request`.
            state.load = Some((load, now_ms, state.in_flight));
        }
    }
}
