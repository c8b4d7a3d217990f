//! What all parts of the gateway share, on its one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::net::UdpSocket;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ibisdale_telemetry::record_event;
use smol::channel::{Receiver, Sender, bounded};
use smol::{Async, LocalExecutor};

use super::call::millis;
use super::ceilings::CeilingBatch;
use super::directory::DirectoryRule;
use super::header_names::HeaderNames;
use super::message::PeerMessage;
use super::metrics::GatewayMetrics;
use super::peers;
use super::pool::ConnectionPool;
use crate::decide::{
    BudgetBook, CeilingClaim, MemberFacts, MemberTable, ProgramKey, QuotaLedger, QuotaTolerance,
    ReplicaFact, ReplicaTable, VmKey, is_reader, reader_rank, stable_hash,
};
use crate::plan::DeploymentPlan;

/// Time beyond the operators' for which programs are remembered, in
/// milliseconds; covers calls on their way.
const REMEMBER_SLACK_MS: u64 = 5_000;

/// Result of a write to the durable store: which ceilings are certainly stored.
pub type StoreFuture = Pin<Box<dyn Future<Output = Vec<bool>>>>;

/// Writes ceilings for the tokens of programs.
pub type StoreCeilings = Box<dyn Fn(Vec<CeilingClaim>) -> StoreFuture>;

/// What must outlive all VMs.
pub struct DurableStore {
    /// Stores ceilings in one write.
    pub save_ceilings: StoreCeilings,
    /// Ceilings that one write holds.
    pub ceilings_max: usize,
}

impl fmt::Debug for DurableStore {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("DurableStore")
    }
}

/// What a gateway is started with.
#[derive(Debug)]
pub struct GatewayOptions {
    /// What this VM says of itself.
    pub facts: MemberFacts,
    /// Names of header fields.
    pub header_names: HeaderNames,
    /// How callers ask for addresses.
    pub directory: DirectoryRule,
    /// Writes that must outlive all VMs.
    pub store: DurableStore,
    /// Addresses of other VMs to begin with.
    pub seeds: Vec<std::net::SocketAddrV4>,
    /// Tells whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Age of the configuration after which it no longer proves that a key or a
    /// route does not exist.
    pub feed_trust: Duration,
    /// By how much workspaces' rates may be exceeded.
    pub quota_tolerance: QuotaTolerance,
}

pub(crate) struct GatewayState {
    pub(crate) options: GatewayOptions,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) socket: Async<UdpSocket>,
    pub(crate) origin: Instant,
    pub(crate) plan: RefCell<Rc<DeploymentPlan>>,
    pub(crate) is_planned: Cell<bool>,
    pub(crate) plan_revision: Cell<u64>,
    pub(crate) feed_confirmed: Cell<Option<Instant>>,
    pub(crate) peers_confirmed: Cell<Option<Instant>>,
    pub(crate) replicas_version: Cell<u64>,
    pub(crate) replicas: RefCell<ReplicaTable>,
    pub(crate) members: RefCell<MemberTable>,
    pub(crate) losses: RefCell<Vec<(VmKey, u64)>>,
    pub(crate) counted_since: Cell<Option<u64>>,
    pub(crate) ceilings_read_ms: Cell<Option<u64>>,
    pub(crate) quota: RefCell<QuotaLedger>,
    pub(crate) budgets: RefCell<BudgetBook>,
    /// Ceilings that are being stored; closed when the write has ended.
    pub(crate) ceiling_writes: RefCell<HashMap<ProgramKey, Receiver<()>>>,
    pub(crate) ceiling_batch: RefCell<CeilingBatch>,
    pub(crate) pool: ConnectionPool,
    pub(crate) asks: RefCell<HashMap<u64, Sender<PeerMessage>>>,
    pub(crate) next_ask: Cell<u64>,
    pub(crate) is_fetching_plan: Cell<bool>,
    pub(crate) is_fetching_replicas: Cell<bool>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) in_flight: Cell<u32>,
    pub(crate) is_draining: Cell<bool>,
    pub(crate) closing: Receiver<()>,
    pub(crate) close_sender: RefCell<Option<Sender<()>>>,
}

/// The gateway of one VM; clones share it.
#[derive(Clone)]
pub struct Gateway {
    pub(crate) state: Rc<GatewayState>,
}

impl fmt::Debug for Gateway {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Gateway")
    }
}

impl Gateway {
    /// Creates a gateway that exchanges messages with its peers by `socket`.
    #[must_use]
    pub fn new(
        options: GatewayOptions,
        executor: Rc<LocalExecutor<'static>>,
        socket: Async<UdpSocket>,
    ) -> Self {
        let (close_sender, closing) = bounded(1);
        let book = BudgetBook::new(options.facts.key(), options.facts.incarnation);
        let quota = QuotaLedger::new(options.quota_tolerance, options.is_first_start);
        let first_start = options.is_first_start;
        let losses = if options.is_first_start {
            Vec::new()
        } else {
            // The counts of this VM's previous process are lost.
            vec![(options.facts.key(), 0)]
        };
        let state = GatewayState {
            options,
            executor,
            socket,
            origin: Instant::now(),
            plan: RefCell::default(),
            is_planned: Cell::new(false),
            plan_revision: Cell::new(0),
            feed_confirmed: Cell::new(None),
            peers_confirmed: Cell::new(None),
            replicas_version: Cell::new(0),
            replicas: RefCell::default(),
            members: RefCell::default(),
            losses: RefCell::new(losses),
            counted_since: Cell::new(first_start.then_some(0)),
            ceilings_read_ms: Cell::new(first_start.then_some(1)),
            quota: RefCell::new(quota),
            budgets: RefCell::new(book),
            ceiling_writes: RefCell::default(),
            ceiling_batch: RefCell::default(),
            pool: ConnectionPool::default(),
            asks: RefCell::default(),
            next_ask: Cell::new(0),
            is_fetching_plan: Cell::new(false),
            is_fetching_replicas: Cell::new(false),
            metrics: GatewayMetrics::new(),
            in_flight: Cell::new(0),
            is_draining: Cell::new(false),
            closing,
            close_sender: RefCell::new(Some(close_sender)),
        };
        Self {
            state: Rc::new(state),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        // Never 0, which stands for "not yet".
        millis(self.state.origin.elapsed()) + 1
    }

    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.state.executor.spawn(future).detach();
    }

    /// Returns the configuration in force, if any is known.
    #[must_use]
    pub fn plan(&self) -> Option<Rc<DeploymentPlan>> {
        let plan = self.state.plan.borrow();
        self.state.is_planned.get().then(|| Rc::clone(&plan))
    }

    /// Puts a configuration in force unless it is older than the present one.
    pub fn apply_plan(&self, plan: DeploymentPlan, revision: u64, source: &str) {
        let in_force = self.state.plan.borrow().get_version();
        let version = plan.get_version();
        if self.state.is_planned.get() && version <= in_force {
            if version < in_force {
                record_event!(
                    PlanIgnored,
                    version = version,
                    in_force = in_force,
                    source = source
                );
            }
            return;
        }
        record_event!(
            PlanInForce,
            version = version,
            revision = revision,
            source = source,
            routes = plan.get_routes().len(),
            workspaces = plan.get_workspaces().len(),
        );
        for grant in plan.get_workspaces() {
            record_event!(
                WorkspaceRate,
                workspace = text(&grant.name),
                version = version,
                rate_per_s = grant.rate_per_s,
                burst = grant.burst,
                keys = grant.keys.len(),
            );
        }
        let rates = plan.get_workspaces().iter();
        let rates = rates.map(|grant| (stable_hash(&grant.name), grant.rate_per_s, grant.burst));
        self.state
            .quota
            .borrow_mut()
            .set_rates(rates, self.now_ms());
        *self.state.plan.borrow_mut() = Rc::new(plan);
        self.state.is_planned.set(true);
        self.state.plan_revision.set(revision);
    }

    /// Notes that the configuration and the lists were confirmed just now.
    pub fn confirm_feed(&self) {
        self.state.feed_confirmed.set(Some(Instant::now()));
    }

    /// Returns the age of the last contact of any VM with the key-value service.
    #[must_use]
    pub fn feed_age(&self) -> Option<Duration> {
        let own = self.state.feed_confirmed.get();
        let latest = own.max(self.state.peers_confirmed.get());
        latest.map(|at| at.elapsed())
    }

    /// Tells whether this VM follows the key-value service itself.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        let members = self.state.members.borrow();
        let own = self.state.options.facts.key();
        let others = members.live(self.now_ms()).map(MemberFacts::key);
        is_reader(reader_rank(own, others), self.feed_age().map(millis))
    }

    /// Tells the other VMs of a change at once.
    pub fn announce(&self) {
        let teller = self.clone();
        self.spawn(async move { peers::announce(&teller).await });
    }

    /// Returns the replicas that are known.
    #[must_use]
    pub fn replica_facts(&self) -> Vec<ReplicaFact> {
        self.state.replicas.borrow().facts().cloned().collect()
    }

    /// Returns when the key-value service has last answered any other VM.
    #[must_use]
    pub fn peers_confirmed(&self) -> Option<Instant> {
        self.state.peers_confirmed.get()
    }

    /// Tells whether an unknown key or route certainly does not exist.
    pub(crate) fn is_feed_trusted(&self) -> bool {
        let limit = self.state.options.feed_trust;
        self.feed_age().is_some_and(|age| age <= limit)
    }

    /// Replaces the list of replicas unless it is older than the present one.
    pub fn set_replicas(&self, facts: Vec<ReplicaFact>, version: u64) {
        if version < self.state.replicas_version.get() {
            return;
        }
        self.state.replicas_version.set(version);
        let changes = self.state.replicas.borrow_mut().replace(facts);
        for fact in changes.added.iter().chain(&changes.changed) {
            record_event!(
                ReplicaListed,
                replica = text(&fact.id),
                service = text(&fact.service),
                address = fact.address,
                draining = fact.is_draining,
            );
        }
        for (key, fact) in &changes.removed {
            self.state.pool.remove_replica(*key);
            record_event!(
                ReplicaDelisted,
                replica = text(&fact.id),
                service = text(&fact.service),
                address = fact.address,
            );
        }
    }

    /// Replaces the registered VMs.
    pub fn set_members(&self, facts: Vec<MemberFacts>) {
        let own = self.state.options.facts.key();
        let others = facts.into_iter().filter(|facts| facts.key() != own);
        let now_ms = self.now_ms();
        let mut members = self.state.members.borrow_mut();
        members.register(others.collect(), now_ms);
    }

    pub(crate) fn record_ceiling(&self, program: ProgramKey, ceiling: u64) {
        let mut budgets = self.state.budgets.borrow_mut();
        budgets.record_ceiling(program, ceiling);
    }

    pub(crate) fn own_facts(&self) -> MemberFacts {
        let mut facts = self.state.options.facts.clone();
        facts.is_serving = self.is_ready();
        facts
    }

    /// Tells whether callers may be sent to this VM.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.is_planned.get()
            && !self.state.is_draining.get()
            && !self.state.replicas.borrow().is_empty()
    }

    /// Returns how long programs are remembered after their last call, which is
    /// also how long the death of a VM may mean lost counts.
    pub(crate) fn remember_ms(&self) -> u64 {
        self.state.plan.borrow().get_retention_ms() + REMEMBER_SLACK_MS
    }
}

/// Shows bytes as text in a log line.
pub(crate) fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
