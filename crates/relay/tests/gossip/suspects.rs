//! A fleet that gets a request that ends replicas, beside requests that do not.

use std::net::{Ipv4Addr, SocketAddrV4};

use ibisdale_relay::decide::{
    PeerRotation, ROUND_MS, RequestIdentity, RunDecision, RunLedger, RunQuery, SuspectTable,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const REPLICAS: usize = 40;
const STEP_MS: u64 = 5;
const REPEAT_MS: u64 = 3_000;
/// Time from the arrival of the deadly request to the end of its replica.
const CRASH_MS: u64 = 100;
const DOWN_MS: u64 = 3_000;
/// Time after the third crash from which on at most [`LATE_MAX`] sends may follow.
const STABLE_MS: u64 = 3_000;
const LATE_MAX: usize = 3;

#[derive(Default)]
struct SuspectVm {
    suspects: SuspectTable,
    runs: RunLedger,
    rotation: PeerRotation,
}

/// A request at a VM: waiting if it has no replica.
#[derive(Clone)]
struct FleetRequest {
    vm: usize,
    identity: RequestIdentity,
    is_deadly: bool,
    replica: Option<usize>,
    sent_ms: u64,
    ends_ms: u64,
    has_permit: bool,
}

struct SuspectFleet {
    vms: Vec<SuspectVm>,
    random: Pcg64,
    now_ms: u64,
    loss: f64,
    requests: Vec<FleetRequest>,
    down_until_ms: [u64; REPLICAS],
    /// When the deadly request was sent to a replica, and when it ended one.
    sent_ms: Vec<u64>,
    crashed_ms: Vec<u64>,
    served: usize,
    refused_innocents: usize,
    next_body: u64,
}

impl SuspectFleet {
    fn new(size: usize, loss: f64) -> Self {
        Self {
            vms: (0..size).map(|_| SuspectVm::default()).collect(),
            random: Pcg64::seed_from_u64(20_261_204),
            now_ms: 1,
            loss,
            requests: Vec::new(),
            down_until_ms: [0; REPLICAS],
            sent_ms: Vec::new(),
            crashed_ms: Vec::new(),
            served: 0,
            refused_innocents: 0,
            next_body: 0,
        }
    }

    fn run(&mut self, duration_ms: u64, per_s: f64, deadly_per_s: f64) {
        for _ in 0..duration_ms / STEP_MS {
            #[expect(clippy::cast_precision_loss, reason = "small")]
            let step_s = STEP_MS as f64 / 1_000.0;
            for (rate, is_deadly) in [(per_s, false), (deadly_per_s, true)] {
                if self.random.random::<f64>() < rate * step_s {
                    self.receive(is_deadly);
                }
            }
            for vm in 0..self.vms.len() {
                if (self.now_ms / STEP_MS + vm as u64).is_multiple_of(ROUND_MS / STEP_MS) {
                    self.run_round(vm);
                }
            }
            self.end_requests();
            self.send_waiting();
            self.now_ms += STEP_MS;
        }
    }

    fn receive(&mut self, is_deadly: bool) {
        self.next_body += 1;
        let body = if is_deadly { 0 } else { self.next_body };
        self.requests.push(FleetRequest {
            vm: self.random.random_range(0..self.vms.len()),
            identity: RequestIdentity::new(b"/x", None, &body.to_le_bytes()),
            is_deadly,
            replica: None,
            sent_ms: 0,
            ends_ms: 0,
            has_permit: false,
        });
    }

    fn run_round(&mut self, vm: usize) {
        let peers = (0..self.vms.len()).filter(|peer| *peer != vm);
        let peers = peers.map(|peer| u16::try_from(peer).unwrap());
        let peers: Vec<_> = peers
            .map(|port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
            .collect();
        let since_ms = self.now_ms.saturating_sub(REPEAT_MS);
        let reports = self.vms[vm].suspects.own_reports(since_ms, self.now_ms);
        for peer in self.vms[vm].rotation.next_round(&peers) {
            if self.random.random::<f64>() >= self.loss {
                let suspects = &mut self.vms[usize::from(peer.port())].suspects;
                suspects.merge(&reports, self.now_ms);
            }
        }
    }

    fn announce(&mut self, vm: usize, identity: &RequestIdentity) {
        let reports = self.vms[vm].suspects.request_reports(identity, self.now_ms);
        for peer in 0..self.vms.len() {
            if peer != vm && self.random.random::<f64>() >= self.loss {
                self.vms[peer].suspects.merge(&reports, self.now_ms);
            }
        }
    }

    /// Restarts VMs; one that starts learns what another one knows, if one does.
    fn restart(&mut self, vms: std::ops::Range<usize>) {
        for vm in vms.clone() {
            self.vms[vm] = SuspectVm::default();
            self.requests.retain(|request| request.vm != vm);
            self.vms[0].runs.end_all(vm as u64);
        }
        let known = self.vms.last().unwrap().suspects.reports(self.now_ms);
        for vm in vms {
            self.vms[vm].suspects.merge(&known, self.now_ms);
        }
    }

    /// Restarts all VMs, which read the condemned requests from the store.
    fn restart_all(&mut self) {
        let stored = self.vms.last().unwrap().suspects.condemned(self.now_ms);
        self.restart(0..self.vms.len());
        for vm in &mut self.vms {
            vm.suspects.merge(&stored, self.now_ms);
        }
    }

    fn end_requests(&mut self) {
        let now_ms = self.now_ms;
        let is_ending =
            |request: &FleetRequest| request.replica.is_some() && request.ends_ms <= now_ms;
        let requests = std::mem::take(&mut self.requests);
        let (ending, mut going): (Vec<_>, Vec<_>) = requests.into_iter().partition(is_ending);
        for request in ending {
            self.end_permit(&request);
            let replica = request.replica.unwrap();
            if request.is_deadly {
                self.crashed_ms.push(now_ms);
                self.down_until_ms[replica] = now_ms + DOWN_MS;
                let is_cut = |other: &FleetRequest| other.replica == Some(replica);
                let (cut, rest): (Vec<_>, Vec<_>) = going.into_iter().partition(is_cut);
                going = rest;
                self.cut(request, replica);
                for other in cut {
                    self.cut(other, replica);
                }
            } else {
                self.served += 1;
                let suspects = &mut self.vms[request.vm].suspects;
                if !suspects.record_served(&request.identity, now_ms).is_empty() {
                    self.announce(request.vm, &request.identity);
                }
            }
        }
        self.requests.append(&mut going);
    }

    /// Ends an attempt at a replica that has ended; the gateway sends the request once more.
    fn cut(&mut self, mut request: FleetRequest, replica: usize) {
        self.end_permit(&request);
        let (start, now_ms) = (replica as u64 + 1, self.now_ms);
        let suspects = &mut self.vms[request.vm].suspects;
        suspects.record_crash(&request.identity, request.sent_ms, start * now_ms, now_ms);
        let crashes = suspects.standing(&request.identity).crashes;
        self.announce(request.vm, &request.identity);
        if crashes <= 1 {
            request.replica = None;
            request.has_permit = false;
            self.requests.push(request);
        }
    }

    fn end_permit(&mut self, request: &FleetRequest) {
        if request.has_permit {
            let fingerprint = request.identity.full();
            self.vms[0].runs.end(fingerprint, request.vm as u64);
        }
    }

    fn send_waiting(&mut self) {
        let mut requests = std::mem::take(&mut self.requests);
        requests.retain_mut(|request| request.replica.is_some() || self.send(request));
        requests.append(&mut self.requests);
        self.requests = requests;
    }

    /// Sends a request to a replica that is up; returns `false` if it is refused.
    fn send(&mut self, request: &mut FleetRequest) -> bool {
        let standing = self.vms[request.vm].suspects.standing(&request.identity);
        if standing.condemned.is_some() {
            self.refused_innocents += usize::from(!request.is_deadly);
            return false;
        }
        let replica = self.random.random_range(0..REPLICAS);
        if self.down_until_ms[replica] > self.now_ms {
            return true;
        }
        if let Some(fingerprint) = standing.permit {
            // VM 0 is the home of the suspects.
            let query = RunQuery {
                fingerprint,
                history: self.vms[request.vm].suspects.history(fingerprint),
                start: replica as u64,
                vm: request.vm as u64,
                max_ms: 6_000,
            };
            if self.vms[0].runs.decide(&query, self.now_ms) != RunDecision::Granted {
                return true;
            }
            request.has_permit = true;
        }
        let run_ms = if request.is_deadly {
            self.sent_ms.push(self.now_ms);
            CRASH_MS
        } else {
            self.random.random_range(50..800)
        };
        request.replica = Some(replica);
        request.sent_ms = self.now_ms;
        request.ends_ms = self.now_ms + run_ms;
        true
    }

    /// Returns how often the deadly request was sent later than allowed.
    fn late_sends(&self) -> usize {
        let third_ms = self.crashed_ms.get(2).copied().unwrap_or(u64::MAX);
        let limit_ms = third_ms.saturating_add(STABLE_MS);
        let late = self.sent_ms.iter().filter(|at_ms| **at_ms > limit_ms);
        late.count()
    }
}

#[derive(Clone, Copy, Debug)]
enum FleetEvent {
    Calm,
    /// Half of the VMs restart while the first crashes are counted.
    HalfRestart,
    /// All VMs restart after the third crash.
    AllRestart,
}

/// Guards against fleets that send on what ends replicas, or refuse others (incident BUDGET).
#[rstest]
fn request_that_ends_replicas_is_stopped_by_all_vms_together(
    #[values(7, 59, 259)] size: usize,
    #[values(0.6, 6.0)] deadly_per_s: f64,
    #[values(0.0, 0.1)] loss: f64,
    #[values(FleetEvent::Calm, FleetEvent::HalfRestart, FleetEvent::AllRestart)] event: FleetEvent,
) {
    let mut fleet = SuspectFleet::new(size, loss);
    fleet.run(1_000, 150.0, 0.0);
    match event {
        FleetEvent::Calm => {}
        FleetEvent::HalfRestart => {
            fleet.run(1_500, 150.0, deadly_per_s);
            fleet.restart(1..size / 2);
        }
        FleetEvent::AllRestart => {
            fleet.run(9_000, 150.0, deadly_per_s);
            fleet.restart_all();
        }
    }
    fleet.run(15_000, 150.0, deadly_per_s);
    let late = fleet.late_sends();
    assert!(
        late <= LATE_MAX,
        "{late} sends too late, {:?}",
        fleet.crashed_ms
    );
    assert_eq!(fleet.refused_innocents, 0);
    assert!(fleet.served >= 1_500, "{} served", fleet.served);
}
