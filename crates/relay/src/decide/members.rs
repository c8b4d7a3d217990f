//! Fleet membership, based on registrations and on the heartbeats of the VMs.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use super::member_facts::{MemberFacts, NewProcess, VmKey};
use super::rotation::{ROUND_MS, rounds_per_pass};
use ibisdale_core::rendezvous_weight;

/// Minimum time without a heartbeat after which a VM is silent and its entry address is no
/// longer given to callers, in milliseconds.
const SILENT_AFTER_MIN_MS: u64 = 1_500;
/// Gossip rounds beyond a pass over all peers without a heartbeat after which a VM is silent.
const SILENT_AFTER_ROUNDS: u32 = 4;
/// Gossip rounds before a VM becomes silent in which it is asked for a heartbeat.
const PROBE_ROUNDS: u64 = 3;
/// Time without a heartbeat after which an unregistered VM is removed, in milliseconds.
const EXPIRE_AFTER_MS: u64 = 10_000;

/// Number of VMs, in order of preference as home, that may grant requests of a workspace.
pub const HOMES_MAX: usize = 3;
/// Time for which a VM that did not answer as home is skipped, unless a heartbeat arrives or no
/// home answers, in milliseconds.
const UNANSWERED_MS: u64 = 1_000;

#[derive(Clone, Debug)]
struct MemberState {
    facts: MemberFacts,
    last_heartbeat_ms: u64,
    /// When this process of the VM was heard or registered first.
    joined_ms: u64,
    is_registered: bool,
    /// `take_newly_silent` has already returned the VM as silent.
    is_silence_reported: bool,
    /// Until when the VM is not asked as home, since it did not answer.
    unanswered_until_ms: u64,
    /// When the VM was heard again after it had been silent; 0 if never.
    returned_ms: u64,
    /// Whether the VM reports that the key-value service refuses its calls.
    is_store_lost: bool,
}

/// A VM that may be asked as the home of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeCandidate {
    /// Rank among the live VMs; 0 is the home.
    pub rank: usize,
    /// The VM; `None` stands for this one.
    pub facts: Option<MemberFacts>,
}

/// A VM that may keep the account of a program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankedPeer {
    /// The VM.
    pub facts: MemberFacts,
    /// Whether it is live and has replied to the last call.
    pub is_answering: bool,
}

/// Table of all VMs known to this VM, except itself.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: HashMap<VmKey, MemberState>,
    /// Incarnations of VMs that have shut down gracefully.
    departed: HashMap<VmKey, u64>,
    changed_ms: u64,
}

impl MemberTable {
    /// Replaces the set of registered VMs and removes expired ones; returns the processes that
    /// were not known.
    pub fn set_registered(&mut self, registered: Vec<MemberFacts>, now_ms: u64) -> Vec<NewProcess> {
        let mut new_processes = Vec::new();
        for state in self.members.values_mut() {
            state.is_registered = false;
        }
        for facts in registered {
            let key = facts.key();
            let earlier = self.incarnation(key);
            if earlier.is_none_or(|earlier| earlier < facts.incarnation) {
                new_processes.push(NewProcess {
                    vm: key,
                    incarnation: facts.incarnation,
                    earlier,
                });
            }
            let state = self.members.entry(key).or_insert_with(|| {
                self.changed_ms = now_ms;
                MemberState {
                    facts: facts.clone(),
                    // A new registration counts as a heartbeat.
                    last_heartbeat_ms: now_ms,
                    joined_ms: now_ms,
                    is_registered: true,
                    is_silence_reported: false,
                    unanswered_until_ms: 0,
                    returned_ms: 0,
                    is_store_lost: false,
                }
            });
            state.is_registered = true;
            if facts.incarnation > state.facts.incarnation {
                state.facts = facts;
                state.last_heartbeat_ms = now_ms;
                state.joined_ms = now_ms;
                self.changed_ms = now_ms;
            }
        }
        self.expire(now_ms);
        new_processes
    }

    /// Returns the time without a heartbeat after which a VM is silent, in milliseconds; the
    /// rounds of a larger fleet take longer to reach a VM.
    #[must_use]
    pub fn silent_after_ms(&self) -> u64 {
        let rounds = rounds_per_pass(self.members.len()).saturating_add(SILENT_AFTER_ROUNDS);
        SILENT_AFTER_MIN_MS.max(u64::from(rounds) * ROUND_MS)
    }

    /// Returns the VMs whose heartbeat is overdue; they are asked for one before they become
    /// silent, since a message may have been lost.
    #[must_use]
    pub fn overdue(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let due_ms = self.silent_after_ms() - PROBE_ROUNDS * ROUND_MS;
        let states = self.members.values();
        let overdue = states.filter(|state| {
            let age_ms = now_ms.saturating_sub(state.last_heartbeat_ms);
            age_ms > due_ms && !state.is_silence_reported
        });
        overdue.map(|state| state.facts.peer_address()).collect()
    }

    /// Records a heartbeat; returns whether the VM was unknown or silent, or has restarted.
    pub fn record_heartbeat(&mut self, facts: MemberFacts, now_ms: u64) -> bool {
        let key = facts.key();
        let silent_after_ms = self.silent_after_ms();
        match self.members.get_mut(&key) {
            Some(state) if facts.incarnation < state.facts.incarnation => false,
            Some(state) => {
                let age_ms = now_ms.saturating_sub(state.last_heartbeat_ms);
                let was_silent = age_ms > silent_after_ms;
                let has_returned = was_silent || facts.incarnation > state.facts.incarnation;
                if has_returned {
                    self.changed_ms = now_ms;
                }
                if was_silent {
                    state.returned_ms = now_ms;
                }
                if facts.incarnation > state.facts.incarnation {
                    state.joined_ms = now_ms;
                }
                state.facts = facts;
                state.last_heartbeat_ms = now_ms;
                state.unanswered_until_ms = 0;
                has_returned
            }
            None => {
                self.changed_ms = now_ms;
                let state = MemberState {
                    facts,
                    last_heartbeat_ms: now_ms,
                    joined_ms: now_ms,
                    is_registered: false,
                    is_silence_reported: false,
                    unanswered_until_ms: 0,
                    returned_ms: 0,
                    is_store_lost: false,
                };
                self.members.insert(key, state);
                true
            }
        }
    }

    /// Removes a VM that has shut down gracefully, unless it has restarted since; returns
    /// whether it was removed.
    pub fn remove(&mut self, vm: VmKey, incarnation: u64, now_ms: u64) -> bool {
        let is_same = self.incarnation(vm) == Some(incarnation);
        if is_same {
            self.members.remove(&vm);
            self.departed.insert(vm, incarnation);
            self.changed_ms = now_ms;
        }
        is_same
    }

    /// Returns whether a process of a VM is known to have ended.
    #[must_use]
    pub fn has_ended(&self, vm: VmKey, incarnation: u64) -> bool {
        let departed = self.departed.get(&vm).copied();
        let latest = self.incarnation(vm).max(departed);
        latest.is_some_and(|latest| latest > incarnation) || departed == Some(incarnation)
    }

    /// Returns whether no VM is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns whether a VM has sent a heartbeat or registered recently.
    #[must_use]
    pub fn is_live(&self, vm: VmKey, now_ms: u64) -> bool {
        let state = self.members.get(&vm);
        state.is_some_and(|state| self.is_state_live(state, now_ms))
    }

    fn is_state_live(&self, state: &MemberState, now_ms: u64) -> bool {
        now_ms.saturating_sub(state.last_heartbeat_ms) <= self.silent_after_ms()
    }

    /// Returns all known VMs and those of `others`, ordered by their rendezvous weight for
    /// `key`, highest first.
    #[must_use]
    pub fn ranked_keys(&self, key: u64, others: &[VmKey]) -> Vec<VmKey> {
        let mut ranked: Vec<_> = self.members.keys().chain(others).copied().collect();
        ranked.sort_unstable_by_key(|vm| std::cmp::Reverse((rendezvous_weight(key, *vm), *vm)));
        ranked.dedup();
        ranked
    }

    /// Returns the VM with the highest rendezvous weight for `key` and, beside it, the first
    /// `limit` VMs that answer.
    #[must_use]
    pub fn ranked_peers(&self, key: u64, now_ms: u64, limit: usize) -> Vec<RankedPeer> {
        let mut ranked: Vec<_> = self.members.iter().collect();
        ranked.sort_unstable_by_key(|(vm, _)| std::cmp::Reverse(rendezvous_weight(key, **vm)));
        let peers = ranked.into_iter().map(|(_, state)| RankedPeer {
            facts: state.facts.clone(),
            is_answering: self.is_state_live(state, now_ms) && state.unanswered_until_ms <= now_ms,
        });
        let peers = peers.enumerate();
        let chosen = peers.filter(|(rank, peer)| *rank == 0 || peer.is_answering);
        chosen.take(limit + 1).map(|(_, peer)| peer).collect()
    }

    /// Returns the VMs that are silent or did not answer lately.
    pub fn unanswering(&self, now_ms: u64) -> impl Iterator<Item = &MemberFacts> {
        let states = self.members.values();
        let unanswering = states.filter(move |state| {
            state.unanswered_until_ms > now_ms || !self.is_state_live(state, now_ms)
        });
        unanswering.map(|state| &state.facts)
    }

    /// Removes VMs that are not registered and send no heartbeats.
    pub fn expire(&mut self, now_ms: u64) {
        let before = self.members.len();
        self.members.retain(|_, state| {
            state.is_registered || now_ms.saturating_sub(state.last_heartbeat_ms) < EXPIRE_AFTER_MS
        });
        if self.members.len() != before {
            self.changed_ms = now_ms;
        }
    }

    /// Returns the VMs that became silent since the last call.
    pub fn take_newly_silent(&mut self, now_ms: u64) -> Vec<MemberFacts> {
        let silent_after_ms = self.silent_after_ms();
        let mut newly_silent = Vec::new();
        for state in self.members.values_mut() {
            let is_silent = now_ms.saturating_sub(state.last_heartbeat_ms) > silent_after_ms;
            if is_silent && !state.is_silence_reported {
                newly_silent.push(state.facts.clone());
                self.changed_ms = now_ms;
            }
            state.is_silence_reported = is_silent;
        }
        newly_silent
    }

    /// Returns what a VM reports about itself.
    #[must_use]
    pub fn get(&self, vm: VmKey) -> Option<&MemberFacts> {
        self.members.get(&vm).map(|state| &state.facts)
    }

    /// Returns when a VM was heard last; `None` if it is not known.
    #[must_use]
    pub fn last_heard_ms(&self, vm: VmKey) -> Option<u64> {
        self.members.get(&vm).map(|state| state.last_heartbeat_ms)
    }

    /// Returns a VM that is live; `None` if it is silent or another process of it is.
    #[must_use]
    pub fn get_live(&self, vm: VmKey, incarnation: u64, now_ms: u64) -> Option<&MemberFacts> {
        let state = self.members.get(&vm)?;
        let is_same = state.facts.incarnation == incarnation;
        (is_same && self.is_state_live(state, now_ms)).then_some(&state.facts)
    }

    /// Returns whether the process of a VM has started and was found since `since_ms`, which is
    /// `wall_ms` in milliseconds since the Unix epoch.
    #[must_use]
    pub fn has_joined_since(&self, vm: VmKey, since_ms: u64, wall_ms: u64) -> bool {
        let state = self.members.get(&vm);
        state.is_some_and(|state| state.joined_ms >= since_ms && state.facts.incarnation >= wall_ms)
    }

    /// Returns the latest known incarnation of a VM.
    #[must_use]
    pub fn incarnation(&self, vm: VmKey) -> Option<u64> {
        self.members.get(&vm).map(|state| state.facts.incarnation)
    }

    /// Returns the VMs with a recent heartbeat or registration.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &MemberFacts> {
        let silent_after_ms = self.silent_after_ms();
        let states = self.members.values();
        states
            .filter(move |state| now_ms.saturating_sub(state.last_heartbeat_ms) <= silent_after_ms)
            .map(|state| &state.facts)
    }

    /// Records whether a VM reports that the key-value service refuses its calls.
    pub fn set_store_lost(&mut self, vm: VmKey, is_store_lost: bool) {
        if let Some(state) = self.members.get_mut(&vm) {
            state.is_store_lost = is_store_lost;
        }
    }

    /// Returns the live VMs, each with whether the key-value service refuses its calls.
    pub fn store_contacts(&self, now_ms: u64) -> impl Iterator<Item = (VmKey, bool)> + Clone {
        let silent_after_ms = self.silent_after_ms();
        let live = self.members.iter().filter(move |(_, state)| {
            now_ms.saturating_sub(state.last_heartbeat_ms) <= silent_after_ms
        });
        live.map(|(vm, state)| (*vm, state.is_store_lost))
    }

    /// Returns all known VMs.
    pub fn all(&self) -> impl Iterator<Item = &MemberFacts> {
        self.members.values().map(|state| &state.facts)
    }

    /// Returns the number of known VMs and the number of silent ones among them.
    #[must_use]
    pub fn count(&self, now_ms: u64) -> (usize, usize) {
        let all = self.members.len();
        (all, all - self.live(now_ms).count())
    }

    /// Returns the number of live VMs that were silent until recently: for less than the time
    /// after which a VM is silent, in which all VMs have been heard again.
    #[must_use]
    pub fn returned_count(&self, now_ms: u64) -> usize {
        let settle_ms = self.silent_after_ms();
        let states = self.members.values();
        let is_returned = |state: &&MemberState| {
            state.returned_ms > 0
                && now_ms.saturating_sub(state.returned_ms) < settle_ms
                && self.is_state_live(state, now_ms)
        };
        states.filter(is_returned).count()
    }

    /// Returns whether all VMs that rank before `own` as home of `key` have been silent, and
    /// `own` has been running, for at least the time after which a VM is silent. An earlier home
    /// has then learned of this one or has lost contact to it.
    #[must_use]
    pub fn is_settled_home(&self, own: VmKey, key: u64, started_ms: u64, now_ms: u64) -> bool {
        let settle_ms = self.silent_after_ms();
        let own_weight = rendezvous_weight(key, own);
        let mut states = self.members.iter();
        now_ms.saturating_sub(started_ms) >= settle_ms
            && states.all(|(vm, state)| {
                let silence_ms = now_ms.saturating_sub(state.last_heartbeat_ms);
                rendezvous_weight(key, *vm) < own_weight || silence_ms > 2 * settle_ms
            })
    }

    /// Returns the age of the oldest heartbeat among the VMs that are not silent, in
    /// milliseconds; 0 if there are none.
    #[must_use]
    pub fn oldest_heartbeat_age_ms(&self, now_ms: u64) -> u64 {
        let silent_after_ms = self.silent_after_ms();
        let states = self.members.values();
        let ages = states.map(|state| now_ms.saturating_sub(state.last_heartbeat_ms));
        ages.filter(|age_ms| *age_ms <= silent_after_ms)
            .max()
            .unwrap_or(0)
    }

    /// Returns the last time at which a VM was added, removed or restarted, became silent
    /// or returned, in milliseconds.
    #[must_use]
    pub fn changed_ms(&self) -> u64 {
        self.changed_ms
    }

    /// Returns the live VMs ordered by their rendezvous weight for `key`, highest first;
    /// the first is the home of `key`. `None` stands for this VM.
    #[must_use]
    pub fn ranked_homes(&self, own: VmKey, key: u64, now_ms: u64) -> Vec<Option<MemberFacts>> {
        let ranked = self.rank_live(own, key, now_ms).into_iter();
        ranked.map(Option::<&MemberFacts>::cloned).collect()
    }

    fn rank_live(&self, own: VmKey, key: u64, now_ms: u64) -> Vec<Option<&MemberFacts>> {
        let others = self.live(now_ms).map(Some);
        let mut ranked: Vec<_> = others.chain([None]).collect();
        ranked.sort_by_cached_key(|facts| {
            let vm = facts.map_or(own, MemberFacts::key);
            std::cmp::Reverse(rendezvous_weight(key, vm))
        });
        ranked
    }

    /// Returns the home of `key` among the VMs that did not fail to answer recently and are not in
    /// `asked`. The inner `None` stands for this VM.
    #[must_use]
    pub fn next_home(
        &self,
        own: VmKey,
        key: u64,
        asked: &[VmKey],
        now_ms: u64,
    ) -> Option<Option<MemberFacts>> {
        let vm = |facts: Option<&MemberFacts>| facts.map_or(own, MemberFacts::key);
        let candidates = self.live(now_ms).map(Some).chain([None]);
        let unasked = candidates
            .filter(|facts| !asked.contains(&vm(*facts)) && self.is_answering(*facts, now_ms));
        let next = unasked.max_by_key(|facts| rendezvous_weight(key, vm(*facts)))?;
        Some(next.cloned())
    }

    /// Returns the first [`HOMES_MAX`] homes of `key`.
    #[must_use]
    pub fn first_homes(&self, own: VmKey, key: u64, now_ms: u64) -> Vec<HomeCandidate> {
        let ranked = self.rank_live(own, key, now_ms).into_iter().enumerate();
        let first = ranked.take(HOMES_MAX);
        first
            .map(|(rank, facts)| HomeCandidate {
                rank,
                facts: facts.cloned(),
            })
            .collect()
    }

    /// Returns the homes of `key` that are asked in turn: the first [`HOMES_MAX`] of the VMs that did
    /// not fail to answer recently, this one among them.
    #[must_use]
    pub fn homes_to_ask(&self, own: VmKey, key: u64, now_ms: u64) -> Vec<HomeCandidate> {
        let ranked = self.rank_live(own, key, now_ms).into_iter().enumerate();
        let answering = ranked.filter(|(_, facts)| self.is_answering(*facts, now_ms));
        let candidates = answering.map(|(rank, facts)| HomeCandidate {
            rank: rank.min(HOMES_MAX - 1),
            facts: facts.cloned(),
        });
        candidates.take(HOMES_MAX).collect()
    }

    /// Returns whether a home did not fail to answer recently; `None` stands for this VM.
    fn is_answering(&self, home: Option<&MemberFacts>, now_ms: u64) -> bool {
        let state = home.map(|facts| &self.members[&facts.key()]);
        state.is_none_or(|state| state.unanswered_until_ms <= now_ms)
    }

    /// Records that a VM did not answer as home.
    pub fn record_unanswered(&mut self, vm: VmKey, now_ms: u64) {
        if let Some(state) = self.members.get_mut(&vm) {
            state.unanswered_until_ms = now_ms + UNANSWERED_MS;
        }
    }

    /// Returns the `limit` other live VMs with the highest rendezvous weights for `key`.
    ///
    /// A newly registered VM is included before its first heartbeat (see
    /// [`Self::set_registered`]), since it may already have acted as home.
    #[must_use]
    pub fn home_candidates(
        &self,
        own: VmKey,
        key: u64,
        now_ms: u64,
        limit: usize,
    ) -> Vec<MemberFacts> {
        let homes = self.ranked_homes(own, key, now_ms).into_iter().flatten();
        homes.take(limit).collect()
    }
}
