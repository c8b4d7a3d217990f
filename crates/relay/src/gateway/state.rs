//! State that all parts of the gateway share on its single thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::future::Future;
use std::net::{SocketAddrV4, UdpSocket};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ibisdale_clients::{ClientAccount, ClientLimits, ConnectionLimiter};
use ibisdale_telemetry::record_event;
use ibisdale_turns::{ClientOptions, HolderInfo, HolderLinks, HolderTable, TurnClient};
use smol::Async;
use smol::channel::{Receiver, Sender, bounded};
use smol::lock::Mutex;

use super::boot_time::{BootTime, SuspensionWatch};
use super::caller_request::millis;
use super::ceilings::CeilingBatch;
use super::cold::record_cold_entries;
use super::directory::DirectoryRule;
use super::header_names::HeaderNames;
use super::message::{PeerMessage, RunReply};
use super::metrics::GatewayMetrics;
use super::origin_record::OriginWaiter;
use super::peer_link;
use super::pool::ConnectionPool;
use super::state_transfer::{self, PartFetches};
use super::task_lanes::TaskLanes;
use crate::decide::{
    AccountCopy, AnswerRecord, BudgetLedger, CeilingClaim, CeilingReads, ClaimOutcome, ColdTable,
    ColdTolerance, GrantLedger, GrantOutcome, LimitTable, LossTable, MemberFacts, MemberTable,
    OriginTable, PlanKnowledge, ProgramKey, QuotaLedger, QuotaTolerance, RateRefusal,
    RecentDecisions, ReplicaInfo, ReplicaTable, RunLedger, SpanHistory, StreamOrigin, SuspectTable,
    VersionHistory,
};
use crate::plan::DeploymentPlan;

/// Number of bits of a call's identifier that count the calls of a process.
const CALL_ID_BITS: u32 = 20;

/// Results of a write to the durable store, one for each ceiling.
pub type StoreFuture = Pin<Box<dyn Future<Output = Vec<ClaimOutcome>>>>;

/// Stores token ceilings of programs.
pub type StoreCeilings = Box<dyn Fn(Vec<CeilingClaim>) -> StoreFuture>;

/// Reads the recorded origins of streams; `None` if there is no record or the store does not
/// reply.
pub type ReadOrigins = Box<dyn Fn() -> Pin<Box<dyn Future<Output = Option<Vec<StreamOrigin>>>>>>;

/// Storage for data that has to survive the loss of all VMs.
pub struct DurableStore {
    /// Reads the versions that streams may have begun at, as of the call or later.
    pub read_origins: ReadOrigins,
    /// Stores ceilings in one write.
    pub store_ceilings: StoreCeilings,
    /// Maximum number of ceilings in one write.
    pub ceilings_max: usize,
}

impl fmt::Debug for DurableStore {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("DurableStore")
    }
}

/// Options for creating a gateway.
#[derive(Debug)]
pub struct GatewayOptions {
    /// Name, addresses and location of this VM, which are sent to its peers.
    pub facts: MemberFacts,
    /// Names of the HTTP headers that are exchanged with callers and replicas.
    pub header_names: HeaderNames,
    /// Format of the directory requests and responses.
    pub directory: DirectoryRule,
    /// Storage for data that has to survive the loss of all VMs.
    pub store: DurableStore,
    /// Addresses that are contacted while no other VM is known.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, so that no counts can be lost.
    pub is_first_start: bool,
    /// Maximum time since the configuration was known to be the newest for which it still proves
    /// that a key or a route does not exist.
    pub plan_max_age: Duration,
    /// Maximum time for which requests are served by a configuration of which other VMs are known
    /// to have a newer version.
    pub plan_outdated_max: Duration,
    /// Amount by which workspaces' rates may be exceeded.
    pub quota_tolerance: QuotaTolerance,
    /// Excess over the rate of cold replicas that the operators allow.
    pub cold_tolerance: ColdTolerance,
    /// Number of VMs with a disk that may be lost at the same time without losing a turn.
    pub tolerated_holders: usize,
    /// Memory for recent turns, in bytes.
    pub turn_cache_bytes: usize,
    /// Bounds on what clients may make the process hold.
    pub client_limits: ClientLimits,
}

pub(crate) struct GatewayState {
    pub(crate) options: GatewayOptions,
    pub(crate) lanes: Rc<TaskLanes>,
    pub(crate) socket: Async<UdpSocket>,
    pub(crate) started: Instant,
    pub(crate) plan: RefCell<Rc<DeploymentPlan>>,
    pub(crate) has_plan: Cell<bool>,
    /// Times for which streams and programs are remembered.
    pub(crate) spans: RefCell<SpanHistory>,
    pub(crate) plan_knowledge: RefCell<PlanKnowledge>,
    /// Revision of the key-value store at which the configuration was written.
    pub(crate) plan_revision: Cell<u64>,
    /// When the key-value service last confirmed the configuration to this VM.
    pub(crate) feed_confirmed_at: Cell<Option<BootTime>>,
    pub(crate) peer_feed_confirmed_at: Cell<Option<BootTime>>,
    /// When the key-value service answered any VM.
    pub(crate) answers: Cell<AnswerRecord>,
    /// Earliest time since which it has answered another VM without a gap; `None` until a
    /// VM has reported one since [`Gateway::forget_peer_answers`].
    pub(crate) peer_answers_since: Cell<Option<BootTime>>,
    /// When the last state of another VM arrived.
    pub(crate) peer_state_at: Cell<Option<BootTime>>,
    /// Number of this VM's feeds whose calls the key-value service refuses or does not answer.
    pub(crate) lost_feeds: Cell<u32>,
    pub(crate) suspensions: SuspensionWatch,
    pub(crate) replicas_version: Cell<u64>,
    pub(crate) replicas: RefCell<ReplicaTable>,
    pub(crate) limits: RefCell<LimitTable>,
    pub(crate) cold: RefCell<ColdTable>,
    pub(crate) versions: RefCell<VersionHistory>,
    pub(crate) origins: RefCell<OriginTable>,
    /// Requests that wait for the next read of the recorded origins.
    pub(crate) origin_waiters: RefCell<Vec<OriginWaiter>>,
    pub(crate) members: RefCell<MemberTable>,
    /// Whether the registered VMs have been read.
    pub(crate) has_registrations: Cell<bool>,
    pub(crate) losses: RefCell<LossTable>,
    pub(crate) ceiling_reads: RefCell<CeilingReads>,
    pub(crate) quota: RefCell<QuotaLedger>,
    pub(crate) quota_decisions: RefCell<RecentDecisions<Option<RateRefusal>>>,
    pub(crate) grants: RefCell<GrantLedger>,
    pub(crate) grant_decisions: RefCell<RecentDecisions<GrantOutcome>>,
    pub(crate) suspects: RefCell<SuspectTable>,
    pub(crate) runs: RefCell<RunLedger>,
    pub(crate) run_decisions: RefCell<RecentDecisions<RunReply>>,
    pub(crate) budgets: RefCell<BudgetLedger>,
    /// Calls whose reservation this VM decides on as home, by sender and identifier.
    pub(crate) reserve_calls: RefCell<HashSet<(SocketAddrV4, u64)>>,
    /// Locks of programs on which this VM decides as home.
    pub(crate) program_locks: RefCell<HashMap<ProgramKey, Rc<Mutex<()>>>>,
    pub(crate) role_replies: RefCell<RecentDecisions<Option<AccountCopy>>>,
    /// Whether VMs have joined, restarted or died since copies of accounts were sent last.
    pub(crate) are_copies_due: Cell<bool>,
    pub(crate) ceiling_batch: RefCell<CeilingBatch>,
    pub(crate) pool: ConnectionPool,
    pub(crate) clients: ClientAccount,
    /// Connections of clients, by listener.
    pub(crate) connections: RefCell<Vec<ConnectionLimiter>>,
    pub(crate) pending_peer_calls: RefCell<HashMap<u64, Sender<PeerMessage>>>,
    pub(crate) next_call_id: Cell<u64>,
    pub(crate) fetched: PartFetches,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) turns: TurnClient,
    pub(crate) in_flight: Cell<u32>,
    pub(crate) is_draining: Cell<bool>,
    /// Whether requests are no longer passed on, since the process ends soon.
    pub(crate) is_stopping: Cell<bool>,
    pub(crate) shutdown_signal: Receiver<()>,
    pub(crate) shutdown_sender: RefCell<Option<Sender<()>>>,
}

/// The gateway of one VM; clones share the same state.
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
    /// Creates a gateway that exchanges messages with its peers over `socket`.
    #[must_use]
    pub fn new(options: GatewayOptions, lanes: Rc<TaskLanes>, socket: Async<UdpSocket>) -> Self {
        let (shutdown_sender, shutdown_signal) = bounded(1);
        let budgets = BudgetLedger::new(options.facts.key(), options.facts.incarnation);
        let quota = QuotaLedger::new(options.quota_tolerance, options.is_first_start);
        let is_first_start = options.is_first_start;
        let mut ceiling_reads = CeilingReads::default();
        if !is_first_start {
            ceiling_reads.record_loss(0);
        }
        let losses = LossTable::new(budgets.process(), is_first_start);
        // Peers must not take calls of this process for those of the previous one.
        let first_call_id = options.facts.incarnation << CALL_ID_BITS;
        let metrics = GatewayMetrics::new();
        let turn_options = ClientOptions {
            tolerated: options.tolerated_holders,
            domain: options.facts.domain.clone(),
            cache_bytes: options.turn_cache_bytes,
        };
        let clients = ClientAccount::new(options.client_limits.memory_bytes());
        let turns = TurnClient::new(
            turn_options,
            HolderLinks::new(lanes.control()),
            metrics.turns.clone(),
        );
        let state = GatewayState {
            options,
            lanes,
            socket,
            started: Instant::now(),
            plan: RefCell::default(),
            has_plan: Cell::new(false),
            spans: RefCell::new(SpanHistory::new(
                DeploymentPlan::default().get_memory_spans(),
            )),
            plan_knowledge: RefCell::default(),
            plan_revision: Cell::new(0),
            feed_confirmed_at: Cell::new(None),
            peer_feed_confirmed_at: Cell::new(None),
            answers: Cell::default(),
            peer_answers_since: Cell::new(None),
            peer_state_at: Cell::new(None),
            lost_feeds: Cell::new(0),
            suspensions: SuspensionWatch::start(),
            replicas_version: Cell::new(0),
            replicas: RefCell::default(),
            limits: RefCell::default(),
            cold: RefCell::default(),
            versions: RefCell::new(if is_first_start {
                VersionHistory::complete()
            } else {
                VersionHistory::default()
            }),
            origins: RefCell::default(),
            origin_waiters: RefCell::default(),
            members: RefCell::default(),
            has_registrations: Cell::new(false),
            losses: RefCell::new(losses),
            ceiling_reads: RefCell::new(ceiling_reads),
            quota: RefCell::new(quota),
            quota_decisions: RefCell::default(),
            grants: RefCell::default(),
            grant_decisions: RefCell::default(),
            suspects: RefCell::default(),
            runs: RefCell::default(),
            run_decisions: RefCell::default(),
            budgets: RefCell::new(budgets),
            reserve_calls: RefCell::default(),
            program_locks: RefCell::default(),
            role_replies: RefCell::default(),
            are_copies_due: Cell::default(),
            ceiling_batch: RefCell::default(),
            pool: ConnectionPool::default(),
            clients,
            connections: RefCell::default(),
            pending_peer_calls: RefCell::default(),
            next_call_id: Cell::new(first_call_id),
            fetched: PartFetches::default(),
            metrics,
            turns,
            in_flight: Cell::new(0),
            is_draining: Cell::new(false),
            is_stopping: Cell::new(false),
            shutdown_signal,
            shutdown_sender: RefCell::new(Some(shutdown_sender)),
        };
        Self {
            state: Rc::new(state),
        }
    }

    /// Returns the time since the start of the process, in milliseconds, plus 1.
    pub(crate) fn now_ms(&self) -> u64 {
        // 0 stands for "not yet".
        millis(self.state.started.elapsed()) + 1
    }

    /// Spawns a control task.
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.state.lanes.spawn(future).detach();
    }

    /// Spawns a task of a client's connection.
    pub(crate) fn spawn_client(&self, future: impl Future<Output = ()> + 'static) {
        self.state.lanes.spawn_client(future).detach();
    }

    /// Sends this VM's state to all other VMs at once.
    pub fn announce(&self) {
        let cloned = self.clone();
        self.spawn(async move { peer_link::announce(&cloned).await });
    }

    /// Returns the known replicas.
    #[must_use]
    pub fn replica_infos(&self) -> Vec<ReplicaInfo> {
        self.state.replicas.borrow().infos().cloned().collect()
    }

    /// Replaces the list of replicas unless the new list is older than the current one.
    pub fn set_replicas(&self, replicas: Vec<ReplicaInfo>, version: u64) {
        if version < self.state.replicas_version.get() {
            return;
        }
        self.state.replicas_version.set(version);
        let mut versions = self.state.versions.borrow_mut();
        versions.record_list(replicas.iter(), self.now_ms());
        drop(versions);
        let changes = self.state.replicas.borrow_mut().replace(replicas);
        for replica in changes.added.iter().chain(&changes.changed) {
            record_event!(
                ReplicaListed,
                replica = lossy_string(&replica.id),
                service = lossy_string(&replica.service),
                version = lossy_string(&replica.software_version),
                address = replica.address,
                draining = replica.is_draining,
            );
        }
        record_cold_entries(self, changes.added.iter().chain(&changes.changed));
        for (key, replica) in &changes.removed {
            self.state.pool.remove_replica(*key);
            record_event!(
                ReplicaDelisted,
                replica = lossy_string(&replica.id),
                service = lossy_string(&replica.service),
                address = replica.address,
            );
        }
    }

    /// Replaces the list of VMs with a disk, which hold copies of turns.
    pub fn set_holders(&self, holders: Vec<HolderInfo>) {
        self.state.turns.set_holders(HolderTable::new(holders));
    }

    /// Returns the known VMs with a disk.
    #[must_use]
    pub fn holders(&self) -> Vec<HolderInfo> {
        self.state.turns.holders()
    }

    /// Asks a VM with a disk to copy its turns to the others, since its disk is to be
    /// removed; returns how many copies are left, or `None` if it does not reply.
    pub async fn retire_holder(&self, holder: &HolderInfo) -> Option<u64> {
        self.state.turns.retire(holder).await
    }

    /// Returns whether turns are to be kept and VMs with a disk may be unknown: fewer are known
    /// than get a copy, or all VMs have started together, and some may not have registered yet.
    #[must_use]
    pub fn may_lack_holders(&self) -> bool {
        let keeps_turns = self.plan().is_none_or(|plan| plan.keeps_turns());
        let is_few = self.holders().len() <= self.state.options.tolerated_holders;
        keeps_turns && (is_few || self.state.options.is_first_start)
    }

    /// Fetches the VMs with a disk from another VM, if none is known.
    pub fn fetch_holders_if_unknown(&self) {
        if self.holders().is_empty() {
            state_transfer::spawn_fetch_holders(self);
        }
    }

    /// Replaces the list of registered VMs.
    pub fn set_members(&self, facts: Vec<MemberFacts>) {
        let own = self.state.options.facts.key();
        let others = facts.into_iter().filter(|facts| facts.key() != own);
        let now_ms = self.now_ms();
        let mut members = self.state.members.borrow_mut();
        let new_processes = members.set_registered(others.collect(), now_ms);
        drop(members);
        for process in new_processes {
            self.record_new_process(process);
        }
        self.state.has_registrations.set(true);
        if !self.state.quota.borrow().knows_fleet() {
            self.start_quota_round();
        }
    }

    pub(crate) fn own_facts(&self) -> MemberFacts {
        let mut facts = self.state.options.facts.clone();
        facts.is_serving = self.is_ready();
        facts
    }

    /// Returns whether this VM can serve requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.has_plan.get()
            && !self.is_plan_outdated()
            && self.state.quota.borrow().knows_fleet()
            && !self.state.is_draining.get()
            && !self.state.replicas.borrow().is_empty()
    }
}

/// Decodes bytes for logging; invalid UTF-8 is replaced.
pub(crate) fn lossy_string(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
