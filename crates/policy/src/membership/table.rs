//! Members of the fleet as one daemon knows them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ibisdale_core::{DaemonName, TimeStamp};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};
use slotmap::{SlotMap, new_key_type};

use super::probe::{Probe, ProbeKind};
use super::update::{MemberFacts, MemberState, MemberUpdate, MemberVersion};

new_key_type! {
    /// Identifies a member in the table of one daemon.
    pub struct MemberKey;
}

/// Maximum number of updates in one message, not counting the sender's own.
const MESSAGE_UPDATES_MAX: usize = 6;
/// Number of times that an update is sent, for each doubling of the fleet size.
const SENDS_PER_DOUBLING: u32 = 3;
/// One probe in this many goes to a candidate address instead of a member.
const CANDIDATE_PROBE_PERIOD: u32 = 5;

/// Timeouts of the membership protocol.
#[derive(Clone, Copy, Debug)]
pub struct MemberOptions {
    suspect_timeout: Duration,
    forget_after: Duration,
}

impl Default for MemberOptions {
    fn default() -> Self {
        Self {
            suspect_timeout: Duration::from_secs(3),
            forget_after: Duration::from_mins(2),
        }
    }
}

impl MemberOptions {
    /// Sets how long a suspected member has to refute the suspicion before it is
    /// declared dead.
    #[must_use]
    pub const fn suspect_timeout(mut self, timeout: Duration) -> Self {
        self.suspect_timeout = timeout;
        self
    }

    /// Sets the minimum time for which a dead member is remembered, so that delayed
    /// updates do not make it alive again.
    #[must_use]
    pub const fn forget_after(mut self, time: Duration) -> Self {
        self.forget_after = time;
        self
    }
}

#[derive(Clone, Debug)]
struct MemberRecord {
    update: MemberUpdate,
    state_since: TimeStamp,
    send_count: u32,
}

impl MemberRecord {
    /// Returns whether the member listens at `address` and has to refute being
    /// suspected or declared dead.
    fn needs_refutation(&self, address: SocketAddr) -> bool {
        self.update.state >= MemberState::Suspect && self.update.facts.fleet_address == address
    }
}

/// Members of the fleet, including this daemon.
///
/// ```
/// use ibisdale_core::{DaemonName, TimeStamp};
/// use ibisdale_policy::{MemberFacts, MemberOptions, MemberTable};
///
/// let facts = MemberFacts {
///     name: DaemonName::new("a")?,
///     fleet_address: "127.0.0.1:7201".parse()?,
///     entry_address: "127.0.0.1:7101".parse()?,
///     failure_domain: "d1".into(),
///     settings_revision: 0,
///     load_permille: 0,
///     is_holder: false,
/// };
/// let table = MemberTable::new(facts, 1, MemberOptions::default());
/// assert_eq!(table.live_members().count(), 0);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct MemberTable {
    options: MemberOptions,
    own_update: MemberUpdate,
    members: SlotMap<MemberKey, MemberRecord>,
    names: HashMap<DaemonName, MemberKey>,
    candidates: Vec<SocketAddr>,
    probe_queue: Vec<MemberKey>,
    probe_count: u32,
}

impl MemberTable {
    /// Creates the table of a daemon that has just started.
    ///
    /// `incarnation` must be higher than at every earlier start of the daemon.
    #[must_use]
    pub fn new(own: MemberFacts, incarnation: u64, options: MemberOptions) -> Self {
        let version = MemberVersion {
            incarnation,
            version: 0,
        };
        Self {
            options,
            own_update: MemberUpdate {
                facts: own,
                version,
                state: MemberState::Alive,
            },
            members: SlotMap::with_key(),
            names: HashMap::new(),
            candidates: Vec::new(),
            probe_queue: Vec::new(),
            probe_count: 0,
        }
    }

    /// Returns the update that this daemon sends about itself.
    #[must_use]
    pub fn own_update(&self) -> &MemberUpdate {
        &self.own_update
    }

    /// Changes the attributes that this daemon reports about itself.
    ///
    /// Increases the version if an attribute differs afterwards.
    pub fn change_own_facts(&mut self, change: impl FnOnce(&mut MemberFacts)) {
        let mut facts = self.own_update.facts.clone();
        change(&mut facts);
        if facts != self.own_update.facts {
            self.own_update.facts = facts;
            self.own_update.version.version += 1;
        }
    }

    /// Sets the settings revision that this daemon has applied.
    ///
    /// The version stays the same, so that the revision goes out with this daemon's
    /// own messages only. Otherwise each change of settings would make every member
    /// send an update that all others forward.
    pub fn set_revision(&mut self, revision: u64) {
        self.own_update.facts.settings_revision = revision;
    }

    /// Reports this daemon as draining from now on.
    pub fn start_drain(&mut self) {
        self.own_update.state = MemberState::Draining;
        self.own_update.version.version += 1;
    }

    /// Replaces the candidate addresses to probe, which come from the VM list.
    pub fn set_candidates(&mut self, addresses: &[SocketAddr]) {
        let own = self.own_update.facts.fleet_address;
        self.candidates = addresses
            .iter()
            .copied()
            .filter(|address| *address != own)
            .collect();
    }

    /// Iterates over the other members that are alive: neither draining, suspected
    /// nor dead.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberUpdate> {
        let updates = self.members.values().map(|record| &record.update);
        updates.filter(|update| update.state == MemberState::Alive)
    }

    /// Iterates over all other members that are remembered.
    pub fn all_members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().map(|record| &record.update)
    }

    /// Returns the latest update about a member.
    #[must_use]
    pub fn get(&self, name: &DaemonName) -> Option<&MemberUpdate> {
        let key = self.names.get(name)?;
        self.members.get(*key).map(|record| &record.update)
    }

    /// Returns the name of a member.
    #[must_use]
    pub fn get_name(&self, key: MemberKey) -> Option<&DaemonName> {
        self.members
            .get(key)
            .map(|record| &record.update.facts.name)
    }

    /// Merges an update from another daemon.
    ///
    /// An update that reports this daemon as suspect or dead is refuted by raising
    /// this daemon's own version above it.
    pub fn merge(&mut self, update: MemberUpdate, now: TimeStamp) {
        if update.facts.name == self.own_update.facts.name {
            self.refute(&update);
            return;
        }
        let Some(key) = self.names.get(&update.facts.name).copied() else {
            self.insert(update, now);
            return;
        };
        let Some(record) = self.members.get_mut(key) else {
            return;
        };
        if update.version == record.update.version {
            let known = &mut record.update.facts.settings_revision;
            *known = update.facts.settings_revision.max(*known);
        }
        if update.is_newer_than(&record.update) {
            if update.state != record.update.state {
                record.state_since = now;
            }
            record.update = update;
            record.send_count = 0;
        }
    }

    fn insert(&mut self, update: MemberUpdate, now: TimeStamp) {
        let name = update.facts.name.clone();
        let key = self.members.insert(MemberRecord {
            update,
            state_since: now,
            send_count: 0,
        });
        self.names.insert(name, key);
    }

    fn refute(&mut self, update: &MemberUpdate) {
        let own = self.own_update.version;
        let is_same_incarnation = update.version.incarnation == own.incarnation;
        if is_same_incarnation && update.state >= MemberState::Suspect && update.version >= own {
            self.own_update.version.version = update.version.version + 1;
        }
    }

    /// Returns the updates to attach to a message to `address`, this daemon's
    /// own first.
    ///
    /// The update about a receiver that is suspected or considered dead is always
    /// included, since only the receiver can refute it.
    pub fn updates_to_send(&mut self, address: SocketAddr) -> Vec<MemberUpdate> {
        let limit = self.send_limit();
        let mut pending: Vec<(bool, u32, MemberKey)> = self
            .members
            .iter()
            .map(|(key, record)| (!record.needs_refutation(address), record.send_count, key))
            .filter(|(is_optional, send_count, _)| !is_optional || *send_count < limit)
            .collect();
        pending.sort_unstable();
        let mut updates = vec![self.own_update.clone()];
        for (_, _, key) in pending.into_iter().take(MESSAGE_UPDATES_MAX) {
            let record = &mut self.members[key];
            record.send_count += 1;
            updates.push(record.update.clone());
        }
        updates
    }

    fn send_limit(&self) -> u32 {
        let fleet_size_plus_one = self.members.len() + 2;
        SENDS_PER_DOUBLING * (fleet_size_plus_one.ilog2() + 1)
    }

    /// Returns the next probe to send.
    ///
    /// Every member that is not dead is probed once per round, in a new random order.
    /// One probe in `CANDIDATE_PROBE_PERIOD` goes to a candidate address at which
    /// no member that is not dead is known, so that the two sides of a network
    /// partition find each other once it is healed.
    pub fn next_probe(&mut self, random: &mut impl Rng) -> Option<Probe> {
        self.probe_count = self.probe_count.wrapping_add(1);
        let is_candidate_turn = self.probe_count.is_multiple_of(CANDIDATE_PROBE_PERIOD);
        if is_candidate_turn || self.count_probe_targets() == 0 {
            let candidate = self.choose_candidate(random);
            return candidate.or_else(|| self.next_member(random));
        }
        self.next_member(random)
            .or_else(|| self.choose_candidate(random))
    }

    fn count_probe_targets(&self) -> usize {
        let is_probe_target = |record: &&MemberRecord| record.update.state != MemberState::Dead;
        self.members.values().filter(is_probe_target).count()
    }

    fn choose_candidate(&self, random: &mut impl Rng) -> Option<Probe> {
        let has_no_member = |address: &&SocketAddr| {
            let uses_address = |record: &MemberRecord| {
                record.update.facts.fleet_address == **address
                    && record.update.state != MemberState::Dead
            };
            !self.members.values().any(uses_address)
        };
        let address = self
            .candidates
            .iter()
            .filter(has_no_member)
            .choose(random)?;
        Some(Probe {
            kind: ProbeKind::Candidate,
            address: *address,
        })
    }

    fn next_member(&mut self, random: &mut impl Rng) -> Option<Probe> {
        loop {
            if self.probe_queue.is_empty() {
                let targets = self.members.iter();
                let targets =
                    targets.filter(|(_, record)| record.update.state != MemberState::Dead);
                self.probe_queue = targets.map(|(key, _)| key).collect();
                self.probe_queue.shuffle(random);
            }
            let key = self.probe_queue.pop()?;
            let Some(record) = self.members.get(key) else {
                continue;
            };
            if record.update.state != MemberState::Dead {
                let address = record.update.facts.fleet_address;
                return Some(Probe {
                    kind: ProbeKind::Member(key),
                    address,
                });
            }
        }
    }

    /// Chooses up to `count` live members to probe `target` on this daemon's behalf.
    ///
    /// Members in other failure domains than this daemon's are preferred.
    pub fn choose_proxies(
        &self,
        target: MemberKey,
        count: usize,
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let own_domain = &self.own_update.facts.failure_domain;
        let live = self
            .members
            .iter()
            .filter(|(key, record)| *key != target && record.update.state == MemberState::Alive);
        let (mut same_domain, mut other_domains): (Vec<_>, Vec<_>) = live
            .map(|(_, record)| &record.update.facts)
            .partition(|facts| facts.failure_domain == *own_domain);
        same_domain.shuffle(random);
        other_domains.shuffle(random);
        other_domains
            .iter()
            .chain(&same_domain)
            .take(count)
            .map(|facts| facts.fleet_address)
            .collect()
    }

    /// Suspects a member that answered neither a direct nor an indirect probe.
    pub fn suspect(&mut self, key: MemberKey, now: TimeStamp) {
        let Some(record) = self.members.get_mut(key) else {
            return;
        };
        if record.update.state < MemberState::Suspect {
            record.update.state = MemberState::Suspect;
            record.state_since = now;
            record.send_count = 0;
        }
    }

    /// Declares dead the members whose suspicion has timed out, and forgets those that
    /// have been dead for `forget_after`.
    ///
    /// A dead member is kept while the VM list has its address, because a partitioned
    /// daemon must know how much of the fleet it can't reach. An earlier version forgot
    /// it after two minutes, so such a daemon assumed that it reached the whole fleet.
    ///
    /// Returns the names of the members that were declared dead by this call.
    pub fn expire(&mut self, now: TimeStamp) -> Vec<DaemonName> {
        let mut dead = Vec::new();
        for record in self.members.values_mut() {
            let is_due = now.since(record.state_since) >= self.options.suspect_timeout;
            if record.update.state == MemberState::Suspect && is_due {
                record.update.state = MemberState::Dead;
                record.state_since = now;
                record.send_count = 0;
                dead.push(record.update.facts.name.clone());
            }
        }
        let forget_after = self.options.forget_after;
        let candidates = &self.candidates;
        self.members.retain(|_, record| {
            record.update.state != MemberState::Dead
                || now.since(record.state_since) < forget_after
                || candidates.contains(&record.update.facts.fleet_address)
        });
        self.names.retain(|_, key| self.members.contains_key(*key));
        dead
    }
}
