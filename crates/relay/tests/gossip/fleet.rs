//! A fleet whose VMs exchange counters and heartbeats in rounds as the gateway does.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::Bytes;
use ibisdale_relay::decide::{
    AdmissionCounters, MemberFacts, MemberTable, PeerRotation, ProgramStage, QuotaLedger,
    QuotaTolerance, ROUND_MS, rounds_per_pass,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

pub(crate) const WORKSPACE: u64 = 7;
const WINDOW_MS: u64 = 5_000;
const STEP_MS: u64 = 10;
const REPORT_AGE_MS: u64 = 10_000;
const HOME_REPORT_AGE_MS: u64 = 1_000;
const SAME_START_MS: u64 = 3_000;

pub(crate) struct GossipVm {
    facts: MemberFacts,
    ledger: QuotaLedger,
    members: MemberTable,
    rotation: PeerRotation,
    started_ms: u64,
    next_round_ms: u64,
    is_up: bool,
    is_cut_off: bool,
}

pub(crate) struct GossipFleet {
    vms: Vec<GossipVm>,
    now_ms: u64,
    admitted_at_ms: Vec<u64>,
    pub(crate) refused: u32,
    /// Number of times that a VM found another one silent.
    pub(crate) found_silent: usize,
    due_requests: f64,
    rate: f64,
    random: Pcg64,
    /// Share of the messages that are lost.
    pub(crate) loss: f64,
}

impl GossipFleet {
    /// Starts `size` VMs that know each other; the workspace's burst is `rate` requests.
    pub(crate) fn new(size: usize, rate: f64) -> Self {
        let mut random = Pcg64::seed_from_u64(20_261_204);
        let vms = (0..size)
            .map(|index| start_vm(index, 1, rate, true, &mut random))
            .collect();
        let mut fleet = Self {
            vms,
            now_ms: 1,
            admitted_at_ms: Vec::new(),
            refused: 0,
            found_silent: 0,
            due_requests: 0.0,
            rate,
            random,
            loss: 0.0,
        };
        (0..size).for_each(|vm| fleet.register_all(vm));
        fleet
    }

    /// Gives a VM the registrations of all VMs.
    fn register_all(&mut self, vm: usize) {
        let now_ms = self.uptime_ms(vm);
        let others = self.vms.iter().enumerate();
        let others = others.filter(|(other, _)| *other != vm);
        let facts = others.map(|(_, other)| other.facts.clone()).collect();
        self.vms[vm].members.set_registered(facts, now_ms);
    }

    fn uptime_ms(&self, vm: usize) -> u64 {
        self.now_ms - self.vms[vm].started_ms
    }

    /// Restarts a VM, which loses its counts and knows the registered VMs at once.
    pub(crate) fn restart(&mut self, vm: usize) {
        self.vms[vm] = start_vm(vm, self.now_ms, self.rate, false, &mut self.random);
        self.register_all(vm);
        self.start_quota_round(vm);
    }

    /// Restarts all VMs at once, so that no VM knows the previous admissions.
    pub(crate) fn restart_all(&mut self) {
        (0..self.vms.len()).for_each(|vm| self.restart(vm));
    }

    /// Returns the first home of the workspace.
    pub(crate) fn home(&self) -> usize {
        let (own, members) = (self.vms[0].facts.key(), &self.vms[0].members);
        let homes = members.first_homes(own, WORKSPACE, self.uptime_ms(0));
        let home = homes[0].facts.as_ref();
        home.map_or(0, |home| Self::index(home.peer_address()))
    }

    /// Stops a VM.
    pub(crate) fn stop(&mut self, vm: usize) {
        self.vms[vm].is_up = false;
    }

    /// Cuts a VM off from all others; callers still reach it.
    pub(crate) fn cut_off(&mut self, vm: usize) {
        self.vms[vm].is_cut_off = true;
    }

    fn is_reached(&self, sender: usize, receiver: usize) -> bool {
        let [from, to] = [sender, receiver].map(|vm| &self.vms[vm]);
        sender == receiver || to.is_up && !from.is_cut_off && !to.is_cut_off
    }

    fn is_lost(&mut self, sender: usize, receiver: usize) -> bool {
        !self.is_reached(sender, receiver) || self.random.random::<f64>() < self.loss
    }

    fn index(address: SocketAddrV4) -> usize {
        usize::from(address.port())
    }

    fn start_quota_round(&mut self, vm: usize) {
        let now_ms = self.uptime_ms(vm);
        let state = &mut self.vms[vm];
        let (known, silent) = state.members.count(now_ms);
        let counts = [known + 1, silent].map(|count| u32::try_from(count).unwrap());
        state.ledger.set_vm_counts(counts[0], counts[1]);
        state.ledger.start_round(now_ms);
    }

    fn run_round(&mut self, vm: usize) {
        let now_ms = self.uptime_ms(vm);
        self.vms[vm].members.expire(now_ms);
        if now_ms >= ROUND_MS {
            self.start_quota_round(vm);
        }
        let sender = &mut self.vms[vm];
        self.found_silent += sender.members.take_newly_silent(now_ms).len();
        let mut peers: Vec<_> = sender
            .members
            .all()
            .map(MemberFacts::peer_address)
            .collect();
        peers.sort_unstable();
        for peer in sender.members.overdue(now_ms) {
            self.probe(vm, Self::index(peer));
        }
        if rounds_per_pass(peers.len()) > 1 {
            self.report_to_homes(vm);
        }
        let sender = &mut self.vms[vm];
        let chosen = sender.rotation.next_round(&peers);
        let reports = sender.ledger.reports(now_ms.saturating_sub(REPORT_AGE_MS));
        for peer in chosen {
            self.send_state(vm, Self::index(peer), &reports);
        }
    }

    /// Asks a VM for its state.
    fn probe(&mut self, vm: usize, peer: usize) {
        if !self.is_lost(vm, peer) {
            let since_ms = self.uptime_ms(peer).saturating_sub(REPORT_AGE_MS);
            let reports = self.vms[peer].ledger.reports(since_ms);
            self.send_state(peer, vm, &reports);
        }
    }

    fn report_to_homes(&mut self, vm: usize) {
        let since_ms = self.uptime_ms(vm).saturating_sub(HOME_REPORT_AGE_MS);
        let reports = self.vms[vm].ledger.reports(since_ms);
        self.send_reports(vm, &reports);
    }

    fn send_reports(&mut self, vm: usize, reports: &[AdmissionCounters]) {
        let now_ms = self.uptime_ms(vm);
        let sender = &self.vms[vm];
        let facts = sender.facts.clone();
        let homes = sender.members.first_homes(facts.key(), WORKSPACE, now_ms);
        for home in homes.into_iter().filter_map(|home| home.facts) {
            let home = Self::index(home.peer_address());
            if !reports.is_empty() && !self.is_lost(vm, home) {
                self.record_counters(&facts, home, reports);
            }
        }
    }

    fn record_counters(
        &mut self,
        sender: &MemberFacts,
        receiver: usize,
        reports: &[AdmissionCounters],
    ) {
        let now_ms = self.uptime_ms(receiver);
        let state = &mut self.vms[receiver];
        let (peer, incarnation) = (sender.key(), sender.incarnation);
        let is_older = incarnation + SAME_START_MS < state.facts.incarnation;
        let ledger = &mut state.ledger;
        ledger.record_peer_counters(peer, incarnation, is_older, reports, now_ms);
    }

    fn send_state(&mut self, sender: usize, receiver: usize, reports: &[AdmissionCounters]) {
        if self.is_lost(sender, receiver) {
            return;
        }
        let facts = self.vms[sender].facts.clone();
        let now_ms = self.uptime_ms(receiver);
        let members = &mut self.vms[receiver].members;
        let is_new = members.record_heartbeat(facts.clone(), now_ms);
        self.record_counters(&facts, receiver, reports);
        if is_new && !self.is_lost(receiver, sender) {
            let state = &self.vms[receiver];
            let (facts, counters) = (state.facts.clone(), state.ledger.reports(0));
            let window = state.ledger.snapshot(now_ms);
            let now_ms = self.uptime_ms(sender);
            let ledger = &mut self.vms[sender].ledger;
            ledger.set_baseline(facts.key(), facts.incarnation, &counters);
            ledger.apply_snapshot(&window, now_ms);
        }
    }

    /// Sends `per_s` requests per second to random VMs.
    pub(crate) fn send_requests(&mut self, duration_ms: u64, per_s: f64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            for vm in 0..self.vms.len() {
                if self.vms[vm].is_up && self.vms[vm].next_round_ms <= self.now_ms {
                    self.vms[vm].next_round_ms += ROUND_MS;
                    self.run_round(vm);
                }
            }
            self.due_requests += per_s * 0.01;
            while self.due_requests >= 1.0 {
                self.due_requests -= 1.0;
                let vm = self.random.random_range(0..self.vms.len());
                if !self.vms[vm].is_up {
                    continue;
                }
                if self.admit(vm) {
                    self.admitted_at_ms.push(self.now_ms);
                } else {
                    self.refused += 1;
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    /// Admits a request at a VM or at the homes that this VM knows.
    fn admit(&mut self, vm: usize) -> bool {
        let stage = ProgramStage::UnderWay;
        let now_ms = self.uptime_ms(vm);
        if self.vms[vm].ledger.admit(WORKSPACE, stage, now_ms) {
            return true;
        }
        let (own, members) = (self.vms[vm].facts.key(), &self.vms[vm].members);
        for candidate in members.homes_to_ask(own, WORKSPACE, now_ms) {
            let facts = candidate.facts.as_ref();
            let home = facts.map_or(vm, |facts| Self::index(facts.peer_address()));
            if self.is_reached(vm, home) {
                let now_ms = self.uptime_ms(home);
                let ledger = &mut self.vms[home].ledger;
                let admitted = ledger.admit_as_home(WORKSPACE, stage, candidate.rank, now_ms);
                if let Some(report) = ledger.take_early_report(WORKSPACE) {
                    self.send_reports(home, &[report]);
                }
                return admitted.is_ok();
            }
            let key = self.vms[home].facts.key();
            self.vms[vm].members.record_unanswered(key, now_ms);
        }
        false
    }

    /// Returns the largest number of requests admitted in any window.
    pub(crate) fn max_requests_in_window(&self) -> usize {
        let admitted = self.admitted_at_ms.iter().enumerate();
        let counts = admitted.map(|(index, start)| {
            let later = &self.admitted_at_ms[index..];
            later.partition_point(|at| *at < start + WINDOW_MS)
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the largest number of requests that may be admitted in a window.
    pub(crate) fn bound(&self) -> usize {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small")]
        let bound = (self.rate * 6.0 * 1.1 + 20.0) as usize;
        bound
    }
}

fn start_vm(
    index: usize,
    started_ms: u64,
    rate: f64,
    is_first_start: bool,
    random: &mut Pcg64,
) -> GossipVm {
    let port = u16::try_from(index).unwrap();
    let facts = MemberFacts {
        name: Bytes::from(format!("vm-{index}")),
        incarnation: started_ms,
        ip: Ipv4Addr::LOCALHOST,
        peer_port: port,
        entry_port: port,
        domain: Bytes::new(),
        region: Bytes::new(),
        is_serving: true,
    };
    let tolerance = QuotaTolerance {
        window_s: 5.0,
        excess: 0.1,
        slack: 20.0,
    };
    let mut ledger = QuotaLedger::new(tolerance, is_first_start);
    ledger.set_rates([(WORKSPACE, rate, rate)].into_iter(), 1);
    GossipVm {
        facts,
        ledger,
        members: MemberTable::default(),
        rotation: PeerRotation::default(),
        started_ms: started_ms - 1,
        next_round_ms: started_ms + random.random_range(0..ROUND_MS),
        is_up: true,
        is_cut_off: false,
    }
}
