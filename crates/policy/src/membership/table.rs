//! Members as one daemon knows them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ibisdale_core::{DaemonName, TimeStamp};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};
use slotmap::{SlotMap, new_key_type};

use super::probe::{ProbeKind, ProbeOrder};
use super::update::{MemberFacts, MemberState, MemberUpdate, MemberVersion};

new_key_type! {
    /// Names a member at one daemon.
    pub struct MemberKey;
}

/// Updates carried by one message at most, the sender's own not counted.
const MESSAGE_UPDATES_MAX: usize = 6;
/// Times that an update is sent, for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;
/// Probes after which one goes to a proposed address instead of a member.
const PROPOSED_PROBE_PERIOD: u32 = 5;

/// Times of the membership protocol.
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
    /// Sets the time in which a suspected member may refute.
    #[must_use]
    pub const fn suspect_timeout(mut self, timeout: Duration) -> Self {
        self.suspect_timeout = timeout;
        self
    }

    /// Sets how long a dead member is remembered at least, so that late updates
    /// do not bring it back.
    #[must_use]
    pub const fn forget_after(mut self, time: Duration) -> Self {
        self.forget_after = time;
        self
    }
}

#[derive(Clone, Debug)]
struct MemberRecord {
    update: MemberUpdate,
    since: TimeStamp,
    sends: u32,
}

impl MemberRecord {
    /// Tells whether the member listens at `address` and has to refute.
    fn is_accused(&self, address: SocketAddr) -> bool {
        self.update.state >= MemberState::Suspect && self.update.facts.fleet_address == address
    }
}

/// The members of the fleet, this daemon included.
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
    own: MemberUpdate,
    members: SlotMap<MemberKey, MemberRecord>,
    names: HashMap<DaemonName, MemberKey>,
    proposed: Vec<SocketAddr>,
    turn: Vec<MemberKey>,
    probes: u32,
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
            own: MemberUpdate {
                facts: own,
                version,
                state: MemberState::Alive,
            },
            members: SlotMap::with_key(),
            names: HashMap::new(),
            proposed: Vec::new(),
            turn: Vec::new(),
            probes: 0,
        }
    }

    /// Returns what this daemon tells of itself.
    #[must_use]
    pub fn own_update(&self) -> &MemberUpdate {
        &self.own
    }

    /// Changes what this daemon tells of itself.
    pub fn update_own(&mut self, change: impl FnOnce(&mut MemberFacts)) {
        let mut facts = self.own.facts.clone();
        change(&mut facts);
        if facts != self.own.facts {
            self.own.facts = facts;
            self.own.version.version += 1;
        }
    }

    /// Sets the settings revision that this daemon has in force.
    ///
    /// It goes with this daemon's own messages only and makes no news that the
    /// others pass on: a change of settings would be news of every member.
    pub fn set_revision(&mut self, revision: u64) {
        self.own.facts.settings_revision = revision;
    }

    /// Says from now on that this daemon leaves.
    pub fn start_drain(&mut self) {
        self.own.state = MemberState::Draining;
        self.own.version.version += 1;
    }

    /// Sets the addresses of daemons that the VM list names.
    pub fn propose(&mut self, addresses: &[SocketAddr]) {
        let own = self.own.facts.fleet_address;
        self.proposed = addresses
            .iter()
            .copied()
            .filter(|address| *address != own)
            .collect();
    }

    /// Iterates over the other members that may serve: neither suspected, dead
    /// nor leaving.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberUpdate> {
        let updates = self.members.values().map(|record| &record.update);
        updates.filter(|update| update.state == MemberState::Alive)
    }

    /// Iterates over all other members that are remembered.
    pub fn all_members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().map(|record| &record.update)
    }

    /// Returns what is known of a member.
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

    /// Takes in what another daemon tells.
    ///
    /// An update that calls this daemon suspect or dead is refuted by a higher
    /// version.
    pub fn merge(&mut self, update: MemberUpdate, now: TimeStamp) {
        if update.facts.name == self.own.facts.name {
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
                record.since = now;
            }
            record.update = update;
            record.sends = 0;
        }
    }

    fn insert(&mut self, update: MemberUpdate, now: TimeStamp) {
        let name = update.facts.name.clone();
        let key = self.members.insert(MemberRecord {
            update,
            since: now,
            sends: 0,
        });
        self.names.insert(name, key);
    }

    fn refute(&mut self, update: &MemberUpdate) {
        let own = self.own.version;
        let is_same_start = update.version.incarnation == own.incarnation;
        if is_same_start && update.state >= MemberState::Suspect && update.version >= own {
            self.own.version.version = update.version.version + 1;
        }
    }

    /// Returns the updates to attach to a message to `address`, this daemon's
    /// own first.
    ///
    /// A receiver that is suspected or taken for dead is always told so, since
    /// it alone can refute that.
    pub fn updates_to_send(&mut self, address: SocketAddr) -> Vec<MemberUpdate> {
        let limit = self.send_limit();
        let mut fresh: Vec<(bool, u32, MemberKey)> = self
            .members
            .iter()
            .map(|(key, record)| (!record.is_accused(address), record.sends, key))
            .filter(|(is_ordinary, sends, _)| !is_ordinary || *sends < limit)
            .collect();
        fresh.sort_unstable();
        let mut updates = vec![self.own.clone()];
        for (_, _, key) in fresh.into_iter().take(MESSAGE_UPDATES_MAX) {
            let record = &mut self.members[key];
            record.sends += 1;
            updates.push(record.update.clone());
        }
        updates
    }

    fn send_limit(&self) -> u32 {
        let fleet = self.members.len() + 2;
        SENDS_PER_DOUBLING * (fleet.ilog2() + 1)
    }

    /// Returns the next probe to send.
    ///
    /// Every member is probed once in each round, in a new random order; now
    /// and then a proposed address without a live member is tried, so that a
    /// fleet that was cut in two finds itself again.
    pub fn next_probe(&mut self, random: &mut impl Rng) -> Option<ProbeOrder> {
        self.probes = self.probes.wrapping_add(1);
        let is_proposed_turn = self.probes.is_multiple_of(PROPOSED_PROBE_PERIOD);
        if is_proposed_turn || self.count_probed() == 0 {
            let proposed = self.next_proposed(random);
            return proposed.or_else(|| self.next_member(random));
        }
        self.next_member(random)
            .or_else(|| self.next_proposed(random))
    }

    fn count_probed(&self) -> usize {
        let is_probed = |record: &&MemberRecord| record.update.state != MemberState::Dead;
        self.members.values().filter(is_probed).count()
    }

    fn next_proposed(&self, random: &mut impl Rng) -> Option<ProbeOrder> {
        let is_missing = |address: &&SocketAddr| {
            let has_address = |record: &MemberRecord| {
                record.update.facts.fleet_address == **address
                    && record.update.state != MemberState::Dead
            };
            !self.members.values().any(has_address)
        };
        let address = self.proposed.iter().filter(is_missing).choose(random)?;
        Some(ProbeOrder {
            kind: ProbeKind::Proposed,
            address: *address,
        })
    }

    fn next_member(&mut self, random: &mut impl Rng) -> Option<ProbeOrder> {
        loop {
            if self.turn.is_empty() {
                let live = self.members.iter();
                let live = live.filter(|(_, record)| record.update.state != MemberState::Dead);
                self.turn = live.map(|(key, _)| key).collect();
                self.turn.shuffle(random);
            }
            let key = self.turn.pop()?;
            let Some(record) = self.members.get(key) else {
                continue;
            };
            if record.update.state != MemberState::Dead {
                let address = record.update.facts.fleet_address;
                return Some(ProbeOrder {
                    kind: ProbeKind::Member(key),
                    address,
                });
            }
        }
    }

    /// Chooses members that probe `target` on this daemon's behalf, preferring
    /// those in other failure domains than this daemon's own.
    pub fn choose_proxies(
        &self,
        target: MemberKey,
        count: usize,
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let own_domain = &self.own.facts.failure_domain;
        let live = self
            .members
            .iter()
            .filter(|(key, record)| *key != target && record.update.state == MemberState::Alive);
        let (mut near, mut far): (Vec<_>, Vec<_>) = live
            .map(|(_, record)| &record.update.facts)
            .partition(|facts| facts.failure_domain == *own_domain);
        near.shuffle(random);
        far.shuffle(random);
        far.iter()
            .chain(&near)
            .take(count)
            .map(|facts| facts.fleet_address)
            .collect()
    }

    /// Notes that a member answered neither directly nor through others.
    pub fn suspect(&mut self, key: MemberKey, now: TimeStamp) {
        let Some(record) = self.members.get_mut(key) else {
            return;
        };
        if record.update.state < MemberState::Suspect {
            record.update.state = MemberState::Suspect;
            record.since = now;
            record.sends = 0;
        }
    }

    /// Takes suspected members for dead whose time is up, and forgets dead ones
    /// that the VM list does not name any more: a daemon that is cut off must
    /// know how much of the fleet it does not see.
    ///
    /// Returns the names of members that are now taken for dead.
    pub fn expire(&mut self, now: TimeStamp) -> Vec<DaemonName> {
        let mut dead = Vec::new();
        for record in self.members.values_mut() {
            let is_due = now.since(record.since) >= self.options.suspect_timeout;
            if record.update.state == MemberState::Suspect && is_due {
                record.update.state = MemberState::Dead;
                record.since = now;
                record.sends = 0;
                dead.push(record.update.facts.name.clone());
            }
        }
        let forget_after = self.options.forget_after;
        let proposed = &self.proposed;
        self.members.retain(|_, record| {
            record.update.state != MemberState::Dead
                || now.since(record.since) < forget_after
                || proposed.contains(&record.update.facts.fleet_address)
        });
        self.names.retain(|_, key| self.members.contains_key(*key));
        dead
    }
}
