//! Stateful fuzzing of the membership protocol with kills, restarts, cuts and
//! silent links.

use std::net::SocketAddr;
use std::time::Duration;

use ibisdale_core::{DaemonName, TimeStamp};
use ibisdale_policy::{
    MemberFacts, MemberOptions, MemberState, MemberTable, MemberVersion, ProbeKind, ProbeOrder,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand_pcg::Pcg32;

const DAEMONS: usize = 5;
/// Rounds of probes within which a healed fleet must agree.
const AGREEMENT_ROUNDS: usize = 60;
/// Rounds after which updates are no longer passed on.
const LONG_ROUNDS: usize = 40;
const ROUND: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum Step {
    /// All daemons that run probe this many times.
    Rounds(usize),
    Kill(usize),
    Restart(usize),
    Cut(usize, usize),
    Heal,
}

/// The oracle: who runs and which one-way links are cut.
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
            2 => Just(Step::Rounds(LONG_ROUNDS)),
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
    starts: [u64; DAEMONS],
    seen: Vec<MemberVersion>,
    now: TimeStamp,
    random: Pcg32,
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 0, 0, 1],
        7_200 + u16::try_from(daemon).expect("small"),
    ))
}

fn facts(daemon: usize) -> MemberFacts {
    MemberFacts {
        name: DaemonName::new(format!("d{daemon}")).expect("a name"),
        fleet_address: address(daemon),
        entry_address: address(daemon),
        failure_domain: format!("domain-{}", daemon % 2).into(),
        settings_revision: 0,
        load_permille: 0,
        is_holder: false,
    }
}

fn start(daemon: usize, incarnation: u64) -> MemberTable {
    let mut table = MemberTable::new(facts(daemon), incarnation, MemberOptions::default());
    let addresses: Vec<SocketAddr> = (0..DAEMONS).map(address).collect();
    table.propose(&addresses);
    table
}

impl Daemons {
    fn can_exchange(fleet: &Fleet, from: usize, to: usize) -> bool {
        fleet.running[from] && fleet.running[to] && !fleet.cut[from][to] && !fleet.cut[to][from]
    }

    /// Sends a probe; a request that arrives is merged even if its answer is
    /// cut off.
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
        let Some(order) = self.tables[from].next_probe(&mut self.random) else {
            return;
        };
        let ProbeOrder {
            kind,
            address: target,
        } = order;
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
            tables: (0..DAEMONS).map(|daemon| start(daemon, 1)).collect(),
            starts: [1; DAEMONS],
            seen: vec![MemberVersion::default(); DAEMONS],
            now: TimeStamp::from_millis(1_000),
            random: Pcg32::seed_from_u64(7),
        };
        (daemons, state.clone())
    }

    fn apply((mut daemons, _): (Daemons, Fleet), fleet: &Fleet, step: Step) -> (Daemons, Fleet) {
        for (daemon, table) in daemons.tables.iter().enumerate() {
            daemons.seen[daemon] = table.own_update().version;
        }
        match step {
            Step::Rounds(rounds) => (0..rounds).for_each(|_| daemons.round(fleet)),
            Step::Restart(daemon) => {
                daemons.starts[daemon] += 1;
                daemons.tables[daemon] = start(daemon, daemons.starts[daemon]);
            }
            Step::Kill(_) | Step::Cut(..) | Step::Heal => {}
        }
        (daemons, fleet.clone())
    }

    /// A daemon never goes back in what it tells of itself.
    fn check_invariants((daemons, _): &(Daemons, Fleet), _fleet: &Fleet) {
        for (table, seen) in daemons.tables.iter().zip(&daemons.seen) {
            assert!(table.own_update().version >= *seen);
        }
    }

    /// Once the links are healed, all daemons agree on who lives.
    fn teardown((mut daemons, mut fleet): (Daemons, Fleet), _state: Fleet) {
        fleet.cut = [[false; DAEMONS]; DAEMONS];
        for _ in 0..AGREEMENT_ROUNDS {
            daemons.round(&fleet);
        }
        for from in (0..DAEMONS).filter(|daemon| fleet.running[*daemon]) {
            for to in (0..DAEMONS).filter(|to| *to != from) {
                let known = daemons.tables[from].get(&facts(to).name);
                let is_alive = known.is_some_and(|update| update.state == MemberState::Alive);
                assert_eq!(is_alive, fleet.running[to], "d{from} of d{to}: {known:?}");
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn a_healed_fleet_agrees_on_who_lives(sequential 1..60 => MembershipTest);
}
