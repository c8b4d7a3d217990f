//! What each daemon keeps for its decisions.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use ibisdale_policy::{
    AdmissionController, CallKey, DomainKey, FairQueue, PolicyProfile, ReplicaKey, ReplicaSet,
    ReplicaSpec, RetryBudget, WorkspaceKey,
};
use rand::Rng;

use super::event::stamp;
use super::scenario::{Scenario, WORKSPACE_PARTS};

/// The policy under test and those it is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    /// The decisions of this package.
    Ibisdale,
    RoundRobin,
    LeastRequests,
    /// Always the same replica for a program.
    StickyHash,
    /// One queue in order of arrival before replicas with few own calls.
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

/// State of one daemon.
#[derive(Clone, Debug)]
pub(crate) struct DaemonState {
    pub(crate) set: ReplicaSet,
    pub(crate) domain: DomainKey,
    pub(crate) keys: Vec<ReplicaKey>,
    pub(crate) queue: FairQueue,
    pub(crate) shares: Vec<WorkspaceKey>,
    pub(crate) waiting: HashMap<CallKey, usize>,
    pub(crate) gate: AdmissionController,
    pub(crate) workspace_budgets: Vec<RetryBudget>,
    pub(crate) upstream_budget: RetryBudget,
    pub(crate) pump_due_us: u64,
    pub(crate) baseline: BaselineState,
}

/// What the baselines keep.
#[derive(Clone, Debug)]
pub(crate) struct BaselineState {
    pub(crate) is_live: Vec<bool>,
    pub(crate) own_flights: Vec<u32>,
    next: usize,
    pub(crate) fifo: VecDeque<usize>,
    flight_limit: u32,
}

impl DaemonState {
    pub(crate) fn new(scenario: &Scenario, profile: &PolicyProfile, daemon: usize) -> Self {
        let mut set = ReplicaSet::new(profile.routing.clone());
        let domains: Vec<DomainKey> = (0..scenario.domains)
            .map(|domain| set.domain_key(format!("domain-{domain}").as_bytes()))
            .collect();
        let keys = (0..scenario.replicas)
            .map(|replica| {
                let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + replica as u16));
                let spec = ReplicaSpec::new(address, domains[replica % scenario.domains]);
                set.insert(spec.running_limit(scenario.engine.running_limit))
            })
            .collect();
        let mut queue = FairQueue::new(profile.queue.clone());
        let shares = WORKSPACE_PARTS
            .iter()
            .map(|part| queue.insert_workspace(*part))
            .collect();
        let budget = RetryBudget::new(profile.budget.clone(), stamp(0));
        let flight_limit = scenario.engine.running_limit / scenario.daemons as u32 + 1;
        Self {
            set,
            domain: domains[daemon % scenario.domains],
            keys,
            queue,
            shares,
            waiting: HashMap::new(),
            gate: AdmissionController::new(profile.admission.clone()),
            workspace_budgets: vec![budget.clone(); WORKSPACE_PARTS.len()],
            upstream_budget: budget,
            pump_due_us: u64::MAX,
            baseline: BaselineState {
                is_live: vec![true; scenario.replicas],
                own_flights: vec![0; scenario.replicas],
                next: daemon,
                fifo: VecDeque::new(),
                flight_limit,
            },
        }
    }
}

impl BaselineState {
    /// Chooses a replica as the baseline does; none when it would rather wait.
    pub(crate) fn choose(
        &mut self,
        kind: PolicyKind,
        program: usize,
        random: &mut impl Rng,
    ) -> Option<usize> {
        match kind {
            PolicyKind::RoundRobin => self.round_robin(),
            PolicyKind::StickyHash => self.sticky(program),
            PolicyKind::LeastRequests | PolicyKind::Ibisdale => self.least(random),
            PolicyKind::Fifo => self
                .least(random)
                .filter(|replica| self.own_flights[*replica] < self.flight_limit),
        }
    }

    fn live(&self) -> impl Iterator<Item = usize> {
        (0..self.is_live.len()).filter(|replica| self.is_live[*replica])
    }

    fn round_robin(&mut self) -> Option<usize> {
        let count = self.is_live.len();
        for _ in 0..count {
            self.next = (self.next + 1) % count;
            if self.is_live[self.next] {
                return Some(self.next);
            }
        }
        None
    }

    fn sticky(&self, program: usize) -> Option<usize> {
        self.live().max_by_key(|replica| {
            let mixed = (program as u64) << 20 | *replica as u64;
            let mixed = (mixed ^ (mixed >> 15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            (mixed ^ (mixed >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb)
        })
    }

    fn least(&self, random: &mut impl Rng) -> Option<usize> {
        self.live()
            .min_by_key(|replica| (self.own_flights[*replica], random.random::<u16>()))
    }
}
