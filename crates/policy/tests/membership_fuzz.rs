//! Stateful fuzzing of the membership protocol with kills, restarts and one-way
//! link cuts.
//!
//! Guards against a table that stops telling a suspected or dead member so once the
//! update has been sent often enough: the member would not learn what to refute.

use std::net::SocketAddr;
use std::time::Duration;

use ibisdale_core::{DaemonName, TimeStamp};
use ibisdale_policy::{
    MemberFacts, MemberOptions, MemberState, MemberTable, MemberVersion, Probe, ProbeKind,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand_pcg::Pcg32;

const DAEMONS: usize = 5;
/// Probe rounds within which every running daemon of a healed fleet must know which
/// daemons run.
const CONVERGENCE_ROUNDS: usize = 60;
/// Probe rounds after which no update is forwarded any more.
const QUIET_ROUNDS: usize = 40;
const ROUND: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum Step {
    /// Every running daemon probes this many times.
    Rounds(usize),
    Kill(usize),
    Restart(usize),
    Cut(usize, usize),
    Heal,
}

/// Reference model: running daemons and cut one-way links.
#[derive(Clone, Debug)]
struct Fleet {
    running: [bool; DAEMONS],
    cut: [[bool; DAEMONS]; DAEMONS],
}

impl ReferenceStateMachine for Fleet {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let cut = [[false; DAEMONS]; DAEMONS];
        Just(Self {
            running: [true; DAEMONS],
            cut,
        })
        .boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Step> {
        let daemon = 0..DAEMONS;
        prop_oneof![
            7 => Just(Step::Rounds(1)),
            2 => Just(Step::Rounds(QUIET_ROUNDS)),
            1 => daemon.clone().prop_map(Step::Kill),
            2 => daemon.clone().prop_map(Step::Restart),
            2 => (daemon.clone(), daemon).prop_map(|(from, to)| Step::Cut(from, to)),
            1 => Just(Step::Heal),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Rounds(_) => {}
            Step::Kill(daemon) => state.running[*daemon] = false,
            Step::Restart(daemon) => state.running[*daemon] = true,
            Step::Cut(from, to) => state.cut[*from][*to] = true,
            Step::Heal => state.cut = [[false; DAEMONS]; DAEMONS],
        }
        state
    }
}

struct Daemons {
    tables: Vec<MemberTable>,
    incarnations: [u64; DAEMONS],
    last_versions: Vec<MemberVersion>,
    now: TimeStamp,
    random: Pcg32,
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 0, 0, 1],
        7_200 + u16::try_from(daemon).expect("the port fits"),
    ))
}

fn facts(daemon: usize) -> MemberFacts {
    MemberFacts {
        name: DaemonName::new(format!("d{daemon}")).expect("valid name"),
        fleet_address: address(daemon),
        entry_address: address(daemon),
        failure_domain: format!("domain-{}", daemon % 2).into(),
        settings_revision: 0,
        load_permille: 0,
        is_holder: false,
    }
}

fn start_daemon(daemon: usize, incarnation: u64) -> MemberTable {
    let mut table = MemberTable::new(facts(daemon), incarnation, MemberOptions::default());
    let addresses: Vec<SocketAddr> = (0..DAEMONS).map(address).collect();
    table.set_candidates(&addresses);
    table
}

impl Daemons {
    fn can_exchange(fleet: &Fleet, from: usize, to: usize) -> bool {
        fleet.running[from] && fleet.running[to] && !fleet.cut[from][to] && !fleet.cut[to][from]
    }

    /// Sends a probe. A request that arrives is merged even if the reply is lost.
    fn exchange(&mut self, fleet: &Fleet, from: usize, to: usize) -> bool {
        if !fleet.running[to] || fleet.cut[from][to] {
            return false;
        }
        let request = self.tables[from].updates_to_send(address(to));
        for update in request {
            self.tables[to].merge(update, self.now);
        }
        if fleet.cut[to][from] {
            return false;
        }
        let reply = self.tables[to].updates_to_send(address(from));
        for update in reply {
            self.tables[from].merge(update, self.now);
        }
        true
    }

    fn probe(&mut self, fleet: &Fleet, from: usize) {
        let Some(probe) = self.tables[from].next_probe(&mut self.random) else {
            return;
        };
        let Probe {
            kind,
            address: target,
        } = probe;
        let to = usize::from(target.port()) - 7_200;
        if self.exchange(fleet, from, to) {
            return;
        }
        let ProbeKind::Member(key) = kind else { return };
        let proxies = self.tables[from].choose_proxies(key, 2, &mut self.random);
        let is_reached = proxies.iter().any(|proxy| {
            let proxy = usize::from(proxy.port()) - 7_200;
            Self::can_exchange(fleet, from, proxy) && Self::can_exchange(fleet, proxy, to)
        });
        if !is_reached {
            self.tables[from].suspect(key, self.now);
        }
    }

    fn round(&mut self, fleet: &Fleet) {
        self.now = self.now.plus(ROUND);
        for daemon in (0..DAEMONS).filter(|daemon| fleet.running[*daemon]) {
            self.probe(fleet, daemon);
            self.tables[daemon].expire(self.now);
        }
    }
}

struct MembershipTest;

impl StateMachineTest for MembershipTest {
    type SystemUnderTest = (Daemons, Fleet);
    type Reference = Fleet;

    fn init_test(state: &Fleet) -> (Daemons, Fleet) {
        let daemons = Daemons {
            tables: (0..DAEMONS).map(|daemon| start_daemon(daemon, 1)).collect(),
            incarnations: [1; DAEMONS],
            last_versions: vec![MemberVersion::default(); DAEMONS],
            now: TimeStamp::from_millis(1_000),
            random: Pcg32::seed_from_u64(7),
        };
        (daemons, state.clone())
    }

    fn apply((mut daemons, _): (Daemons, Fleet), fleet: &Fleet, step: Step) -> (Daemons, Fleet) {
        for (daemon, table) in daemons.tables.iter().enumerate() {
            daemons.last_versions[daemon] = table.own_update().version;
        }
        match step {
            Step::Rounds(rounds) => (0..rounds).for_each(|_| daemons.round(fleet)),
            Step::Restart(daemon) => {
                daemons.incarnations[daemon] += 1;
                daemons.tables[daemon] = start_daemon(daemon, daemons.incarnations[daemon]);
            }
            Step::Kill(_) | Step::Cut(..) | Step::Heal => {}
        }
        (daemons, fleet.clone())
    }

    /// The version of a daemon's own update never decreases.
    fn check_invariants((daemons, _): &(Daemons, Fleet), _fleet: &Fleet) {
        for (table, last_version) in daemons.tables.iter().zip(&daemons.last_versions) {
            assert!(table.own_update().version >= *last_version);
        }
    }

    /// After all links are healed, every running daemon knows which members run.
    fn teardown((mut daemons, mut fleet): (Daemons, Fleet), _state: Fleet) {
        fleet.cut = [[false; DAEMONS]; DAEMONS];
        for _ in 0..CONVERGENCE_ROUNDS {
            daemons.round(&fleet);
        }
        for from in (0..DAEMONS).filter(|daemon| fleet.running[*daemon]) {
            for to in (0..DAEMONS).filter(|to| *to != from) {
                let known = daemons.tables[from].get(&facts(to).name);
                let is_alive = known.is_some_and(|update| update.state == MemberState::Alive);
                assert_eq!(
                    is_alive, fleet.running[to],
                    "d{from} about d{to}: {known:?}"
                );
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn healed_fleet_knows_running_members(sequential 1..60 => MembershipTest);
}
