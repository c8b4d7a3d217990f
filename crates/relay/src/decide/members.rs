//! Which VMs serve, from their registrations and from what is heard of them.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::hash::{rendezvous_rank, stable_hash};

/// Hash of a VM's name.
pub type VmKey = u64;

/// Silence after which a VM is no longer told to callers, in milliseconds;
/// several missed rounds.
const SUSPECT_AFTER_MS: u64 = 1_500;
/// Silence after which an unregistered VM is forgotten, in milliseconds.
const FORGET_AFTER_MS: u64 = 10_000;

/// What a VM says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct MemberFacts {
    /// Name of the VM.
    pub name: Bytes,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Address of its process.
    pub ip: Ipv4Addr,
    /// Port for messages between daemons.
    pub peer_port: u16,
    /// Port that callers connect to.
    pub entry_port: u16,
    /// Failure domain.
    pub domain: Bytes,
    /// Region.
    pub region: Bytes,
    /// Tells whether callers may be sent to it.
    pub is_serving: bool,
}

impl MemberFacts {
    /// Returns the key of the VM.
    #[must_use]
    pub fn key(&self) -> VmKey {
        stable_hash(&self.name)
    }

    /// Returns where it takes messages of other daemons.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.peer_port)
    }
}

#[derive(Clone, Debug)]
struct MemberState {
    facts: MemberFacts,
    heard_ms: u64,
    is_registered: bool,
    is_fallen: bool,
}

/// All VMs that this one knows of, itself excluded.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: HashMap<VmKey, MemberState>,
    changed_ms: u64,
}

impl MemberTable {
    /// Replaces the registrations.
    pub fn register(&mut self, registered: Vec<MemberFacts>, now_ms: u64) {
        for state in self.members.values_mut() {
            state.is_registered = false;
        }
        for facts in registered {
            let key = facts.key();
            let state = self.members.entry(key).or_insert_with(|| {
                self.changed_ms = now_ms;
                MemberState {
                    facts: facts.clone(),
                    // A fresh registration counts as a sign of life.
                    heard_ms: now_ms,
                    is_registered: true,
                    is_fallen: false,
                }
            });
            state.is_registered = true;
            if facts.incarnation > state.facts.incarnation {
                state.facts = facts;
                state.heard_ms = now_ms;
                self.changed_ms = now_ms;
            }
        }
        self.forget(now_ms);
    }

    /// Takes what a VM says of itself; tells whether it was unknown or silent.
    pub fn hear(&mut self, facts: MemberFacts, now_ms: u64) -> bool {
        let key = facts.key();
        match self.members.get_mut(&key) {
            Some(state) if facts.incarnation < state.facts.incarnation => false,
            Some(state) => {
                let was_silent = now_ms.saturating_sub(state.heard_ms) > SUSPECT_AFTER_MS;
                let is_new = was_silent || facts.incarnation > state.facts.incarnation;
                if is_new {
                    self.changed_ms = now_ms;
                }
                state.facts = facts;
                state.heard_ms = now_ms;
                is_new
            }
            None => {
                self.changed_ms = now_ms;
                let state = MemberState {
                    facts,
                    heard_ms: now_ms,
                    is_registered: false,
                    is_fallen: false,
                };
                self.members.insert(key, state);
                true
            }
        }
    }

    /// Removes a VM that has left in good order.
    pub fn remove(&mut self, vm: VmKey, incarnation: u64, now_ms: u64) -> bool {
        let is_same = self.incarnation(vm) == Some(incarnation);
        if is_same {
            self.members.remove(&vm);
            self.changed_ms = now_ms;
        }
        is_same
    }

    /// Forgets VMs that are neither registered nor heard from.
    pub fn forget(&mut self, now_ms: u64) {
        let before = self.members.len();
        self.members.retain(|_, state| {
            state.is_registered || now_ms.saturating_sub(state.heard_ms) < FORGET_AFTER_MS
        });
        if self.members.len() != before {
            self.changed_ms = now_ms;
        }
    }

    /// Returns the VMs that have fallen silent since the last call.
    pub fn take_fallen(&mut self, now_ms: u64) -> Vec<MemberFacts> {
        let mut fallen = Vec::new();
        for state in self.members.values_mut() {
            let is_silent = now_ms.saturating_sub(state.heard_ms) > SUSPECT_AFTER_MS;
            if is_silent && !state.is_fallen {
                fallen.push(state.facts.clone());
                self.changed_ms = now_ms;
            }
            state.is_fallen = is_silent;
        }
        fallen
    }

    /// Returns the last known start of a VM.
    #[must_use]
    pub fn incarnation(&self, vm: VmKey) -> Option<u64> {
        self.members.get(&vm).map(|state| state.facts.incarnation)
    }

    /// Returns the VMs that are heard from.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &MemberFacts> {
        let states = self.members.values();
        states
            .filter(move |state| now_ms.saturating_sub(state.heard_ms) <= SUSPECT_AFTER_MS)
            .map(|state| &state.facts)
    }

    /// Returns all known VMs.
    pub fn all(&self) -> impl Iterator<Item = &MemberFacts> {
        self.members.values().map(|state| &state.facts)
    }

    /// Returns the number of known VMs and how many of them are silent.
    #[must_use]
    pub fn count(&self, now_ms: u64) -> (usize, usize) {
        let all = self.members.len();
        (all, all - self.live(now_ms).count())
    }

    /// Returns when the set last changed, in milliseconds.
    #[must_use]
    pub fn changed_ms(&self) -> u64 {
        self.changed_ms
    }

    /// Returns the live VMs in their order of preference as home of `key`;
    /// `None` stands for this VM.
    #[must_use]
    pub fn homes(&self, own: VmKey, key: u64, now_ms: u64) -> Vec<Option<MemberFacts>> {
        let mut ranked: Vec<_> = self
            .live(now_ms)
            .map(|facts| (rendezvous_rank(key, facts.key()), Some(facts)))
            .collect();
        ranked.push((rendezvous_rank(key, own), None));
        ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        ranked
            .into_iter()
            .map(|(_, facts)| facts.cloned())
            .collect()
    }

    /// Returns the `most` VMs next in rank as home of `key`, also those that are only
    /// registered: one that is not heard yet may have been home meanwhile.
    #[must_use]
    pub fn next_homes(&self, own: VmKey, key: u64, now_ms: u64, most: usize) -> Vec<MemberFacts> {
        let homes = self.homes(own, key, now_ms).into_iter().flatten();
        homes.take(most).collect()
    }
}
