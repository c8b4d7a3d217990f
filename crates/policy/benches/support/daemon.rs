//! State that each daemon keeps for its decisions.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use ibisdale_policy::{
    AdmissionController, CallKey, DomainKey, FairQueue, PolicyProfile, ReplicaKey, ReplicaSet,
    ReplicaSpec, RetryBudget, WorkspaceKey,
};
use rand::Rng;

use super::event::time_stamp;
use super::scenario::{Scenario, WORKSPACE_LOAD_SHARES};

/// The policy under test and the baselines that it is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    /// The policy of `ibisdale-policy`.
    Ibisdale,
    /// Cycles through the live replicas.
    RoundRobin,
    /// Chooses the replica with the fewest calls in flight from the daemon.
    LeastRequests,
    /// Keeps a program on one replica by rendezvous hashing over the live replicas.
    StickyHash,
    /// Like `LeastRequests`, but queues calls in order of arrival while every replica
    /// has reached the daemon's limit of calls in flight.
    Fifo,
}

impl PolicyKind {
    pub(crate) const ALL: [Self; 5] = [
        Self::Ibisdale,
        Self::RoundRobin,
        Self::LeastRequests,
        Self::StickyHash,
        Self::Fifo,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Ibisdale => "ibisdale",
            Self::RoundRobin => "round-robin",
            Self::LeastRequests => "least-requests",
            Self::StickyHash => "sticky-hash",
            Self::Fifo => "fifo",
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct DaemonState {
    pub(crate) replica_set: ReplicaSet,
    pub(crate) domain: DomainKey,
    pub(crate) replica_keys: Vec<ReplicaKey>,
    pub(crate) queue: FairQueue,
    pub(crate) workspace_keys: Vec<WorkspaceKey>,
    /// Calls in `queue`.
    pub(crate) queued_calls: HashMap<CallKey, usize>,
    pub(crate) admission: AdmissionController,
    pub(crate) workspace_budgets: Vec<RetryBudget>,
    pub(crate) upstream_budget: RetryBudget,
    /// Time of the scheduled `DispatchDue` event; `u64::MAX` without one.
    pub(crate) dispatch_due_us: u64,
    pub(crate) baseline: BaselineState,
}

/// State of the baseline policies.
#[derive(Clone, Debug)]
pub(crate) struct BaselineState {
    pub(crate) is_live: Vec<bool>,
    /// Calls in flight from this daemon, by replica.
    pub(crate) in_flight: Vec<u32>,
    last_chosen: usize,
    pub(crate) fifo_queue: VecDeque<usize>,
    /// Calls in flight to one replica at which `Fifo` stops sending to it.
    in_flight_limit: u32,
}

impl DaemonState {
    pub(crate) fn new(scenario: &Scenario, profile: &PolicyProfile, daemon: usize) -> Self {
        let mut replica_set = ReplicaSet::new(profile.routing.clone());
        let domains: Vec<DomainKey> = (0..scenario.domains)
            .map(|domain| replica_set.domain_key(format!("domain-{domain}").as_bytes()))
            .collect();
        let replica_keys = (0..scenario.replicas)
            .map(|replica| {
                let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + replica as u16));
                let spec = ReplicaSpec::new(address, domains[replica % scenario.domains]);
                replica_set.insert(spec.running_limit(scenario.engine.running_limit))
            })
            .collect();
        let mut queue = FairQueue::new(profile.queue.clone());
        let workspace_keys = WORKSPACE_LOAD_SHARES
            .iter()
            .map(|share| queue.insert_workspace(*share))
            .collect();
        let budget = RetryBudget::new(profile.budget.clone(), time_stamp(0));
        let in_flight_limit = scenario.engine.running_limit / scenario.daemons as u32 + 1;
        Self {
            replica_set,
            domain: domains[daemon % scenario.domains],
            replica_keys,
            queue,
            workspace_keys,
            queued_calls: HashMap::new(),
            admission: AdmissionController::new(profile.admission.clone()),
            workspace_budgets: vec![budget.clone(); WORKSPACE_LOAD_SHARES.len()],
            upstream_budget: budget,
            dispatch_due_us: u64::MAX,
            baseline: BaselineState {
                is_live: vec![true; scenario.replicas],
                in_flight: vec![0; scenario.replicas],
                last_chosen: daemon,
                fifo_queue: VecDeque::new(),
                in_flight_limit,
            },
        }
    }
}

impl BaselineState {
    /// Returns the replica that the baseline chooses, or `None` if no replica is live
    /// or, under `Fifo`, none is below the limit of calls in flight.
    pub(crate) fn choose(
        &mut self,
        kind: PolicyKind,
        program: usize,
        random: &mut impl Rng,
    ) -> Option<usize> {
        match kind {
            PolicyKind::RoundRobin => self.round_robin(),
            PolicyKind::StickyHash => self.sticky_hash(program),
            PolicyKind::LeastRequests | PolicyKind::Ibisdale => self.least_requests(random),
            PolicyKind::Fifo => self
                .least_requests(random)
                .filter(|replica| self.in_flight[*replica] < self.in_flight_limit),
        }
    }

    fn live_replicas(&self) -> impl Iterator<Item = usize> {
        (0..self.is_live.len()).filter(|replica| self.is_live[*replica])
    }

    fn round_robin(&mut self) -> Option<usize> {
        let count = self.is_live.len();
        for _ in 0..count {
            self.last_chosen = (self.last_chosen + 1) % count;
            if self.is_live[self.last_chosen] {
                return Some(self.last_chosen);
            }
        }
        None
    }

    fn sticky_hash(&self, program: usize) -> Option<usize> {
        self.live_replicas().max_by_key(|replica| {
            let hash = (program as u64) << 20 | *replica as u64;
            let hash = (hash ^ (hash >> 15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            (hash ^ (hash >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb)
        })
    }

    fn least_requests(&self, random: &mut impl Rng) -> Option<usize> {
        self.live_replicas()
            .min_by_key(|replica| (self.in_flight[*replica], random.random::<u16>()))
    }
}
