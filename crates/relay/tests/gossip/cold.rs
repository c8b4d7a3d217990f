//! A fleet whose VMs limit requests to cold replicas as the gateway does.

use ibisdale_relay::decide::{
    COLD_GRANT_MAX_AGE_MS, ColdReport, ColdRule, ColdTable, ColdTolerance, GrantCandidate,
    GrantOutcome, GrantQuery, GrantShare, HOMES_MAX,
};
use rand::Rng;
use rstest::rstest;

use crate::limits::{LimitFleet, SERVICE, STEP_MS, start_vm};

const REPLICAS: u64 = 36;
const COLD_MS: u64 = 20_000;
/// Longest time after which a VM learns that the replicas are cold.
const VIEW_AGE_MAX_MS: u64 = 300;
/// Period in which requests were granted that may reach a replica within a second: they are sent
/// until their grant expires, and the granted rate allows for a jitter of 50 ms.
const PERIOD_MS: u64 = 1_000 + COLD_GRANT_MAX_AGE_MS + 50;
const PER_S: f64 = 17.0;
const TOLERANCE: ColdTolerance = ColdTolerance {
    excess: 1.5,
    slack: 5.0,
};
const BOUND: usize = 30;
/// Part of the messages between VMs that are lost.
const LOSS: f64 = 0.01;

struct ColdFleet {
    fleet: LimitFleet,
    /// What each VM knows of cold replicas, and when it learns that they are cold.
    views: Vec<(ColdTable, Option<u64>)>,
    /// Whether VMs that do not know that the replicas are cold send to them.
    is_listed: bool,
    /// When requests to each replica were granted, or sent without a grant.
    sent_ms: Vec<Vec<u64>>,
}

impl ColdFleet {
    fn new(size: usize) -> Self {
        let mut fleet = Self {
            fleet: LimitFleet::new(size, LOSS),
            views: (0..size).map(|_| (empty_table(), None)).collect(),
            is_listed: true,
            sent_ms: vec![Vec::new(); 36],
        };
        fleet.run(1_000, 0.0);
        fleet
    }

    /// Makes all replicas cold; the VMs learn it one after the other.
    fn turn_cold(&mut self) {
        self.sent_ms.iter_mut().for_each(Vec::clear);
        for (_, learns_ms) in &mut self.views {
            let age_ms = self.fleet.random.random_range(0..VIEW_AGE_MAX_MS);
            *learns_ms = Some(self.fleet.now_ms + age_ms);
        }
    }

    /// Restarts a VM, which tells the others in its rounds.
    fn restart(&mut self, vm: usize) {
        let now_ms = self.fleet.now_ms;
        let side = self.fleet.vms[vm].side;
        self.fleet.vms[vm] = start_vm(vm, now_ms, &mut self.fleet.random);
        self.fleet.vms[vm].side = side;
        self.fleet.register_all(vm);
        self.views[vm] = (empty_table(), Some(now_ms));
    }

    /// Sends `per_s` requests per second to random VMs.
    fn run(&mut self, duration_ms: u64, per_s: f64) {
        let end_ms = self.fleet.now_ms + duration_ms;
        let mut due = 0.0;
        while self.fleet.now_ms < end_ms {
            self.fleet.run(STEP_MS, 0.0);
            let now_ms = self.fleet.now_ms;
            for (cold, learns_ms) in &mut self.views {
                if learns_ms.take_if(|at_ms| *at_ms <= now_ms).is_some() {
                    let merge = |start| cold.merge(&report(start), now_ms);
                    (0..REPLICAS).map(merge).for_each(drop);
                }
            }
            due += per_s * 0.01;
            while due >= 1.0 {
                due -= 1.0;
                let vm = self.fleet.random.random_range(0..self.views.len());
                if self.fleet.vms[vm].is_up {
                    self.send_request(vm);
                }
            }
        }
    }

    fn send_request(&mut self, vm: usize) {
        let first = self.fleet.random.random_range(0..REPLICAS);
        let now_ms = self.fleet.now_ms;
        let is_cold = self.views[vm].0.limit(first, now_ms).is_some();
        let replica = if is_cold {
            self.ask_for_grant(vm, first)
        } else {
            self.is_listed.then_some(first)
        };
        if let Some(replica) = replica {
            self.sent_ms[usize::try_from(replica).unwrap()].push(now_ms);
        }
    }

    fn ask_for_grant(&mut self, vm: usize, first: u64) -> Option<u64> {
        let now_ms = self.fleet.now_ms;
        let (own, members) = (self.fleet.vms[vm].facts.key(), &self.fleet.vms[vm].members);
        for home in members.homes_to_ask(own, SERVICE, now_ms) {
            let asked = LimitFleet::index(vm, &home);
            if self.fleet.reaches(vm, asked) {
                return self.grant(asked, home.rank, first);
            }
            let key = self.fleet.vms[asked].facts.key();
            self.fleet.vms[vm].members.record_unanswered(key, now_ms);
        }
        None
    }

    fn grant(&mut self, home: usize, rank: usize, first: u64) -> Option<u64> {
        let homes = self.fleet.homes(home);
        let own_rank = homes.iter().position(|candidate| candidate.facts.is_none());
        let now_ms = self.fleet.now_ms;
        let state = &mut self.fleet.vms[home];
        let (facts, members) = (&state.facts, &state.members);
        let (known_count, silent_count) = members.count(now_ms);
        let is_settled = members.is_settled_home(facts.key(), SERVICE, facts.incarnation, now_ms);
        let share = GrantShare {
            rank: rank.max(own_rank.unwrap_or(HOMES_MAX - 1)),
            vm_count: known_count + 1,
            silent_count,
            returned_count: members.returned_count(now_ms),
            is_settled,
        };
        let cold = &mut self.views[home].0;
        let candidates = (0..REPLICAS).map(|step| {
            let start = (first + step) % REPLICAS;
            cold.merge(&report(start), now_ms);
            GrantCandidate {
                start,
                per_s: cold.limit(start, now_ms),
                is_cold: true,
            }
        });
        let candidates: Vec<_> = candidates.collect();
        let query = GrantQuery {
            service: SERVICE,
            affinity: None,
            work: 0,
            candidates: &candidates,
            is_refusal_final: true,
        };
        match state.grants.grant(&query, share, now_ms) {
            GrantOutcome::Granted(start) => Some(start),
            GrantOutcome::NoRoom { .. } => None,
        }
    }

    /// Returns the largest number of requests that may reach a replica in any second, and the
    /// number of all requests.
    fn count_sent(&self) -> (usize, usize) {
        let worst = self.sent_ms.iter().flat_map(|sent_ms| {
            sent_ms.iter().enumerate().map(|(index, start_ms)| {
                sent_ms[index..].partition_point(|at_ms| *at_ms < start_ms + PERIOD_MS)
            })
        });
        let count = self.sent_ms.iter().map(Vec::len).sum();
        (worst.max().unwrap_or(0), count)
    }
}

fn report(start: u64) -> ColdReport {
    ColdReport {
        start,
        service: SERVICE,
        left_ms: COLD_MS,
    }
}

fn empty_table() -> ColdTable {
    let mut cold = ColdTable::default();
    let rule = ColdRule {
        cold_time_ms: COLD_MS,
        granted_per_s: TOLERANCE.granted_per_s(PER_S),
    };
    cold.set_rules([(SERVICE, rule)].into_iter());
    cold
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ColdEvent {
    Calm,
    /// The replicas serve requests when they become cold.
    WhileServing,
    /// The home stops and does not return.
    HomeStops,
    /// The home restarts every 700 ms.
    HomesRestart,
    /// The fleet falls into this many parts, which all reach the replicas, and joins again.
    Split(u8),
}

/// Guards against fleets that crash cold replicas: a domain of 36 that returns at once, or
/// replicas that become cold while they serve requests, with VMs that learn it at different times.
#[rstest]
fn cold_replicas_get_no_more_than_allowed_in_any_second(
    #[values(7, 75, 300)] size: usize,
    #[values(
        ColdEvent::Calm,
        ColdEvent::WhileServing,
        ColdEvent::HomeStops,
        ColdEvent::HomesRestart,
        ColdEvent::Split(2),
        ColdEvent::Split(3)
    )]
    event: ColdEvent,
) {
    let mut fleet = ColdFleet::new(size);
    fleet.is_listed = event == ColdEvent::WhileServing;
    if fleet.is_listed {
        fleet.run(1_000, 12.0 * 36.0);
    }
    fleet.turn_cold();
    fleet.run(VIEW_AGE_MAX_MS, 12.0 * 36.0);
    let per_s = 30.0 * 36.0;
    fleet.run(2_000, per_s);
    match event {
        ColdEvent::Calm | ColdEvent::WhileServing => {}
        ColdEvent::HomeStops => {
            let home = fleet.fleet.home();
            fleet.fleet.vms[home].is_up = false;
        }
        ColdEvent::HomesRestart => (0..4).for_each(|_| {
            let home = fleet.fleet.home();
            fleet.restart(home);
            fleet.run(700, per_s);
        }),
        ColdEvent::Split(parts) => {
            fleet
                .fleet
                .vms
                .iter_mut()
                .zip((0..parts).cycle())
                .for_each(|(vm, side)| vm.side = side);
            fleet.run(4_000, per_s);
            fleet.fleet.vms.iter_mut().for_each(|vm| vm.side = 0);
        }
    }
    fleet.run(3_500, per_s);
    let (worst, count) = fleet.count_sent();
    assert!(
        worst <= BOUND,
        "{worst} requests in a second, {count} in all"
    );
    // In 5.8 s, of 36 replicas: a limit that refuses nearly all requests would keep any bound.
    let is_served = count > 4 * 36 * 17;
    assert!(
        is_served || event != ColdEvent::Calm,
        "{count} requests in all"
    );
}
