//! A fleet whose VMs keep the limits of replicas as the gateway does.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::Bytes;
use ibisdale_relay::decide::{
    GrantCandidate, GrantLedger, GrantOutcome, GrantQuery, GrantShare, HOMES_MAX, HomeCandidate,
    LimitReport, LimitStatement, LimitTable, MemberFacts, MemberTable, PeerRotation, ROUND_MS,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

pub(crate) const SERVICE: u64 = 11;
const REPLICAS: u64 = 5;
pub(crate) const STEP_MS: u64 = 10;
const RESPONSE_MS: u64 = 100;
const REPEAT_MS: u64 = 3_000;
/// Time after the first response with a limit from which the limit binds.
const LEARN_MS: u64 = 3_000;

pub(crate) struct LimitVm {
    pub(crate) facts: MemberFacts,
    pub(crate) members: MemberTable,
    rotation: PeerRotation,
    limits: LimitTable,
    pub(crate) grants: GrantLedger,
    next_round_ms: u64,
    pub(crate) is_up: bool,
    /// VMs of different sides do not reach each other.
    pub(crate) side: u8,
}

pub(crate) struct LimitFleet {
    pub(crate) vms: Vec<LimitVm>,
    pub(crate) random: Pcg64,
    pub(crate) now_ms: u64,
    loss: f64,
    /// Limit that all replicas name.
    per_s: Option<f64>,
    /// Responses under way: when they arrive, at which VM, from which replica, when the request
    /// was sent and what they say.
    responses: Vec<(u64, usize, u64, u64, LimitStatement)>,
    /// Requests that reached a replica, with its limit.
    sent: Vec<(u64, u64, Option<f64>)>,
    rejected: usize,
}

impl LimitFleet {
    pub(crate) fn new(size: usize, loss: f64) -> Self {
        let mut random = Pcg64::seed_from_u64(20_261_204);
        let vms = (0..size).map(|index| start_vm(index, 1, &mut random));
        let mut fleet = Self {
            vms: vms.collect(),
            random,
            now_ms: 1,
            loss,
            per_s: None,
            responses: Vec::new(),
            sent: Vec::new(),
            rejected: 0,
        };
        (0..size).for_each(|vm| fleet.register_all(vm));
        fleet.run(1_500, 0.0);
        fleet
    }

    pub(crate) fn register_all(&mut self, vm: usize) {
        let others = self
            .vms
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != vm);
        let facts = others.map(|(_, other)| other.facts.clone()).collect();
        self.vms[vm].members.set_registered(facts, self.now_ms);
    }

    fn restart(&mut self, vm: usize) {
        let side = self.vms[vm].side;
        self.vms[vm] = start_vm(vm, self.now_ms, &mut self.random);
        self.vms[vm].side = side;
        self.register_all(vm);
        (0..self.vms.len()).for_each(|peer| self.send_state(vm, peer));
    }

    pub(crate) fn home(&self) -> usize {
        let vm = self.vms.iter().position(|vm| vm.is_up).unwrap();
        Self::index(vm, &self.homes(vm)[0])
    }

    pub(crate) fn homes(&self, vm: usize) -> Vec<HomeCandidate> {
        let state = &self.vms[vm];
        state
            .members
            .first_homes(state.facts.key(), SERVICE, self.now_ms)
    }

    pub(crate) fn index(vm: usize, home: &HomeCandidate) -> usize {
        let facts = home.facts.as_ref();
        facts.map_or(vm, |facts| usize::from(facts.peer_port))
    }

    pub(crate) fn reaches(&self, from: usize, to: usize) -> bool {
        let [from, to] = [from, to].map(|vm| &self.vms[vm]);
        from.is_up && to.is_up && from.side == to.side
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        self.reaches(from, to) && self.random.random::<f64>() >= self.loss
    }

    fn send_limits(&mut self, from: usize, to: usize, reports: &[LimitReport]) {
        if from != to && self.is_delivered(from, to) {
            self.vms[to].limits.merge(reports, self.now_ms);
        }
    }

    fn send_state(&mut self, from: usize, to: usize) {
        if from == to || !self.is_delivered(from, to) {
            return;
        }
        let facts = self.vms[from].facts.clone();
        let since_ms = self.now_ms.saturating_sub(REPEAT_MS);
        let reports = self.vms[from].limits.own_reports(since_ms, self.now_ms);
        let members = &mut self.vms[to].members;
        let is_new = members.record_heartbeat(facts, self.now_ms);
        self.vms[to].limits.merge(&reports, self.now_ms);
        if is_new {
            let reports = self.vms[to].limits.reports(self.now_ms);
            self.send_limits(to, from, &reports);
        }
    }

    fn run_round(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        state.next_round_ms += ROUND_MS;
        state.members.take_newly_silent(self.now_ms);
        let peers = state.members.all().map(MemberFacts::peer_address);
        let mut peers: Vec<SocketAddrV4> = peers.collect();
        peers.sort_unstable();
        for peer in state.rotation.next_round(&peers) {
            self.send_state(vm, usize::from(peer.port()));
        }
    }

    /// Sends `per_s` requests per second to random VMs.
    pub(crate) fn run(&mut self, duration_ms: u64, per_s: f64) {
        let end_ms = self.now_ms + duration_ms;
        let mut due = 0.0;
        while self.now_ms < end_ms {
            for vm in 0..self.vms.len() {
                if self.vms[vm].is_up && self.vms[vm].next_round_ms <= self.now_ms {
                    self.run_round(vm);
                }
            }
            self.receive_responses();
            due += per_s * 0.01;
            while due >= 1.0 {
                due -= 1.0;
                let vm = self.random.random_range(0..self.vms.len());
                if self.vms[vm].is_up {
                    self.send_request(vm);
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    fn receive_responses(&mut self) {
        let now_ms = self.now_ms;
        let responses = std::mem::take(&mut self.responses);
        let (arrived, waiting) = responses
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.responses = waiting;
        for (_, vm, replica, sent_ms, statement) in arrived {
            let limits = &mut self.vms[vm].limits;
            if limits
                .observe(replica, statement, Some(sent_ms), now_ms)
                .is_some()
            {
                let report = limits.report(replica, now_ms).unwrap();
                (0..self.vms.len()).for_each(|peer| self.send_limits(vm, peer, &[report]));
            }
        }
    }

    fn send_request(&mut self, vm: usize) {
        let first = self.random.random_range(0..REPLICAS);
        let order = (0..REPLICAS).map(|step| (first + step) % REPLICAS);
        let limits = &self.vms[vm].limits;
        let (limited, open): (Vec<u64>, Vec<u64>) =
            order.partition(|replica| limits.limit(*replica).is_some());
        let chosen = open.first().copied();
        let Some(replica) = chosen.or_else(|| self.ask_for_grant(vm, &limited)) else {
            self.rejected += 1;
            return;
        };
        self.sent.push((self.now_ms, replica, self.per_s));
        let statement = self
            .per_s
            .map_or(LimitStatement::Absent, LimitStatement::PerSecond);
        let at_ms = self.now_ms + RESPONSE_MS;
        let response = (at_ms, vm, replica, self.now_ms, statement);
        self.responses.push(response);
    }

    fn ask_for_grant(&mut self, vm: usize, limited: &[u64]) -> Option<u64> {
        let state = &self.vms[vm];
        let reports = limited
            .iter()
            .filter_map(|start| state.limits.report(*start, self.now_ms));
        let reports: Vec<_> = reports.collect();
        let own = state.facts.key();
        for home in state.members.homes_to_ask(own, SERVICE, self.now_ms) {
            let asked = Self::index(vm, &home);
            if self.reaches(vm, asked) {
                return self.grant(asked, home.rank, &reports);
            }
            let key = self.vms[asked].facts.key();
            self.vms[vm].members.record_unanswered(key, self.now_ms);
        }
        None
    }

    fn grant(&mut self, home: usize, rank: usize, reports: &[LimitReport]) -> Option<u64> {
        let homes = self.homes(home);
        let own_rank = homes.iter().position(|candidate| candidate.facts.is_none());
        let now_ms = self.now_ms;
        let state = &mut self.vms[home];
        state.limits.merge(reports, now_ms);
        let (known_count, silent_count) = state.members.count(now_ms);
        let share = GrantShare {
            rank: rank.max(own_rank.unwrap_or(HOMES_MAX - 1)),
            vm_count: known_count + 1,
            silent_count,
            returned_count: 0,
            is_settled: true,
        };
        let candidates: Vec<_> = reports
            .iter()
            .map(|report| GrantCandidate {
                start: report.start,
                per_s: state.limits.limit(report.start),
                is_cold: false,
            })
            .collect();
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

    /// Returns the largest excess of requests in 4 s over what the limits allow, and the mean
    /// rate of a replica, from `since_ms` on.
    fn worst_excess(&self, since_ms: u64) -> (f64, f64) {
        let mut worst = f64::MIN;
        for replica in 0..REPLICAS {
            let sent = self.sent.iter().filter(|(_, to, _)| *to == replica);
            let sent: Vec<_> = sent.filter(|(at_ms, ..)| *at_ms >= since_ms).collect();
            for (index, (start_ms, ..)) in sent.iter().enumerate() {
                let window: Vec<_> = sent[index..]
                    .iter()
                    .take_while(|(at_ms, ..)| *at_ms < start_ms + 4_000)
                    .collect();
                let limits = window.iter().map(|(.., per_s)| per_s.unwrap_or(f64::MAX));
                let allowed = 1.5 * 4.0 * limits.fold(0.0, f64::max) + 5.0;
                let count = f64::from(u32::try_from(window.len()).unwrap());
                worst = worst.max(count - allowed);
            }
        }
        let later = self.sent.iter().filter(|(at_ms, ..)| *at_ms >= since_ms);
        let count = f64::from(u32::try_from(later.count()).unwrap());
        #[expect(clippy::cast_precision_loss, reason = "small")]
        let elapsed_s = (self.now_ms - since_ms) as f64 / 1_000.0;
        (worst, count / elapsed_s / 5.0)
    }
}

pub(crate) fn start_vm(index: usize, now_ms: u64, random: &mut Pcg64) -> LimitVm {
    let port = u16::try_from(index).unwrap();
    LimitVm {
        facts: MemberFacts {
            name: Bytes::from(format!("vm-{index}")),
            incarnation: now_ms,
            ip: Ipv4Addr::LOCALHOST,
            peer_port: port,
            entry_port: port,
            domain: Bytes::new(),
            region: Bytes::new(),
            is_serving: true,
        },
        members: MemberTable::default(),
        rotation: PeerRotation::default(),
        limits: LimitTable::default(),
        grants: GrantLedger::default(),
        next_round_ms: now_ms + random.random_range(0..ROUND_MS),
        is_up: true,
        side: 0,
    }
}

#[derive(Clone, Copy, Debug)]
enum LimitEvent {
    Calm,
    /// The home stops for good.
    HomeStops,
    /// The home restarts every 700 ms.
    HomesRestart,
    /// A quarter of the VMs restart one after the other.
    Rolled,
    /// Half of the VMs are cut off from the others; both halves reach the replicas.
    Split,
    /// All VMs restart at once.
    AllRestart,
    /// More than half of the VMs stop.
    ManyStop,
}

fn play(fleet: &mut LimitFleet, event: LimitEvent, per_s: f64) {
    let size = fleet.vms.len();
    match event {
        LimitEvent::Calm => {}
        LimitEvent::HomeStops => {
            let home = fleet.home();
            fleet.vms[home].is_up = false;
        }
        LimitEvent::HomesRestart => {
            for _ in 0..6 {
                let home = fleet.home();
                fleet.restart(home);
                fleet.run(700, per_s);
            }
        }
        LimitEvent::Rolled => {
            for vm in 0..size / 4 {
                fleet.restart(vm);
                fleet.run(100, per_s);
            }
        }
        LimitEvent::Split => (0..size / 2).for_each(|vm| fleet.vms[vm].side = 1),
        LimitEvent::AllRestart => (0..size).for_each(|vm| fleet.restart(vm)),
        LimitEvent::ManyStop => (0..size * 11 / 20).for_each(|vm| fleet.vms[vm].is_up = false),
    }
}

/// Guards against fleets that overrun a limited replica while VMs fail (incident LIMIT).
#[rstest]
fn limit_is_kept_by_all_vms_together(
    #[values(7, 54, 259)] size: usize,
    #[values(1.0, 4.6)] limit: f64,
    #[values(0.0, 0.05)] loss: f64,
    #[values(
        LimitEvent::Calm,
        LimitEvent::HomeStops,
        LimitEvent::HomesRestart,
        LimitEvent::Rolled,
        LimitEvent::Split,
        LimitEvent::AllRestart,
        LimitEvent::ManyStop
    )]
    event: LimitEvent,
) {
    let mut fleet = LimitFleet::new(size, loss);
    let per_s = 60.0;
    fleet.run(1_000, per_s);
    fleet.per_s = Some(limit);
    let named_ms = fleet.now_ms;
    fleet.run(LEARN_MS + 2_000, per_s);
    play(&mut fleet, event, per_s);
    fleet.run(6_000, per_s);
    let (worst, rate) = fleet.worst_excess(named_ms + LEARN_MS);
    assert!(worst <= 0.0, "{worst} requests too many, {rate} a second");
    if matches!(event, LimitEvent::Calm) {
        assert!(rate >= 0.8 * limit, "{rate} requests a second are granted");
    }
}

/// Guards against a limit that outlasts the responses that name it, or is kept at its old value.
#[rstest]
fn limit_that_changes_and_ends_is_followed(#[values(7, 259)] size: usize) {
    let mut fleet = LimitFleet::new(size, 0.0);
    let mut rates = Vec::new();
    for limit in [Some(4.0), Some(1.0), Some(6.0), None] {
        fleet.per_s = limit;
        fleet.run(5_000, 60.0);
        let since_ms = fleet.now_ms;
        fleet.run(5_000, 60.0);
        rates.push(fleet.worst_excess(since_ms).1.round());
    }
    assert_eq!(rates, [4.0, 1.0, 6.0, 12.0]);
}
