//! What all requests of a daemon share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use ibisdale_clients::ClientLimits;
use ibisdale_core::{DaemonName, SlotId, TimeStamp};
use ibisdale_fleet::FleetLinks;
use ibisdale_net::TrafficExecutor;
use ibisdale_settings::SettingsSnapshot;
use ibisdale_telemetry::{MetricRegistry, SpanSender, record_event};
use ibisdale_upstreams::{PoolOptions, UpstreamCredential, UpstreamPool};

use crate::clients::DaemonClients;
use crate::control::{ControlHandle, UpstreamVm};
use crate::credit::CreditHandle;
use crate::drain::DrainSwitch;
use crate::members::MemberHandle;
use crate::ownership::{OwnershipHandle, ProcessClock};
use crate::settings_feed::SettingsFeed;

/// What a daemon says of itself.
#[derive(Clone, Debug)]
pub(crate) struct DaemonIdentity {
    pub(crate) name: DaemonName,
    pub(crate) incarnation: u64,
    pub(crate) entry_address: SocketAddr,
}

/// The daemon that owns a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotOwner {
    pub(crate) entry_address: SocketAddr,
    pub(crate) fleet_address: SocketAddr,
    pub(crate) epoch: u64,
    /// When this daemon learned of the owner, by the clock of its process.
    pub(crate) since: TimeStamp,
    pub(crate) is_self: bool,
}

/// Owners of all slots, as this daemon knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerTable {
    owners: Vec<Option<SlotOwner>>,
}

impl OwnerTable {
    /// Creates a table from one entry a slot, in order.
    pub(crate) fn new(owners: Vec<Option<SlotOwner>>) -> Self {
        Self { owners }
    }

    /// Returns a slot's owner, if one is known.
    pub(crate) fn get(&self, slot: SlotId) -> Option<SlotOwner> {
        self.owners.get(usize::from(slot.get())).copied().flatten()
    }
}

/// Connection pools of the upstream replicas.
#[derive(Debug)]
pub(crate) struct UpstreamPools {
    executor: TrafficExecutor,
    pools: Mutex<HashMap<SocketAddr, UpstreamPool>>,
}

impl UpstreamPools {
    pub(crate) fn new(executor: TrafficExecutor) -> Self {
        Self {
            executor,
            pools: Mutex::default(),
        }
    }

    /// Returns the pool of a replica.
    pub(crate) fn get(&self, address: SocketAddr) -> UpstreamPool {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let executor = &self.executor;
        let open = || {
            UpstreamPool::new(
                address,
                TrafficExecutor::clone(executor),
                PoolOptions::new(),
            )
        };
        pools.entry(address).or_insert_with(open).clone()
    }

    /// Returns the pool of a replica that is listed.
    pub(crate) fn find(&self, address: SocketAddr) -> Option<UpstreamPool> {
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.get(&address).cloned()
    }

    /// Returns the addresses of all pools.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.keys().copied().collect()
    }

    /// Forgets the pools of replicas that are gone.
    pub(crate) fn retain(&self, is_listed: impl Fn(SocketAddr) -> bool) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|address, _| is_listed(*address));
    }
}

/// Parts of the daemon that requests talk to.
pub(crate) struct ContextParts {
    pub(crate) control: ControlHandle,
    pub(crate) credit: CreditHandle,
    pub(crate) members: MemberHandle,
    pub(crate) feed: SettingsFeed,
    pub(crate) ownership: OwnershipHandle,
    pub(crate) clock: ProcessClock,
    pub(crate) links: FleetLinks,
}

/// What all requests share.
#[derive(Debug)]
pub(crate) struct DaemonContext {
    pub(crate) identity: DaemonIdentity,
    pub(crate) control: ControlHandle,
    pub(crate) feed: SettingsFeed,
    pub(crate) ownership: OwnershipHandle,
    pub(crate) clock: ProcessClock,
    settings: Arc<ArcSwap<SettingsSnapshot>>,
    pub(crate) owners: ArcSwap<OwnerTable>,
    pub(crate) links: FleetLinks,
    pub(crate) members: MemberHandle,
    pub(crate) credit: CreditHandle,
    pub(crate) pools: UpstreamPools,
    pub(crate) upstreams: ArcSwap<Vec<UpstreamVm>>,
    pub(crate) executor: TrafficExecutor,
    pub(crate) metrics: MetricRegistry,
    pub(crate) spans: SpanSender,
    pub(crate) drain: DrainSwitch,
    pub(crate) address_keep: Duration,
    pub(crate) clients: DaemonClients,
}

impl DaemonContext {
    /// Creates the context of a daemon that owns nothing yet.
    pub(crate) fn new(
        identity: DaemonIdentity,
        parts: ContextParts,
        executor: &TrafficExecutor,
    ) -> Self {
        Self {
            identity,
            control: parts.control,
            settings: parts.feed.get_cell(),
            feed: parts.feed,
            ownership: parts.ownership,
            clock: parts.clock,
            owners: ArcSwap::default(),
            links: parts.links,
            members: parts.members,
            credit: parts.credit,
            upstreams: ArcSwap::default(),
            pools: UpstreamPools::new(TrafficExecutor::clone(executor)),
            executor: TrafficExecutor::clone(executor),
            metrics: MetricRegistry::new(),
            spans: SpanSender::disabled(),
            drain: DrainSwitch::new(),
            address_keep: Duration::ZERO,
            clients: DaemonClients::new(ClientLimits::UNLIMITED),
        }
    }

    /// Sets where spans go.
    pub(crate) fn spans(mut self, spans: SpanSender) -> Self {
        self.spans = spans;
        self
    }

    /// Sets how long callers keep an answer with addresses.
    pub(crate) fn address_keep(mut self, keep: Duration) -> Self {
        self.address_keep = keep;
        self
    }

    /// Sets what clients may make the process hold.
    pub(crate) fn clients(mut self, limits: ClientLimits) -> Self {
        self.clients = DaemonClients::new(limits);
        self
    }

    /// Shares the finished context.
    pub(crate) fn share(self) -> Arc<Self> {
        Arc::new(self)
    }

    /// Returns the system's own credential at a replica, if there is one.
    pub(crate) fn upstream_credential(&self, address: SocketAddr) -> Option<UpstreamCredential> {
        let upstreams = self.upstreams.load();
        let vm = upstreams.iter().find(|vm| vm.address == address)?;
        let settings = self.settings();
        let models = settings
            .models()
            .find(|model| model.vm_group.as_bytes() == vm.group.0);
        let services = settings
            .services()
            .find(|item| item.vm_group.as_bytes() == vm.group.0);
        let path = models
            .and_then(|model| model.credential_file.as_ref())
            .or_else(|| services.and_then(|service| service.credential_file.as_ref()))?;
        read_credential(path)
    }

    /// Returns the addresses of the listed replicas that serve a model.
    pub(crate) fn engine_addresses(&self) -> Vec<SocketAddr> {
        let upstreams = self.upstreams.load();
        let settings = self.settings();
        let is_engine = |vm: &&UpstreamVm| {
            settings
                .models()
                .any(|model| model.vm_group.as_bytes() == vm.group.0)
        };
        upstreams
            .iter()
            .filter(is_engine)
            .map(|vm| vm.address)
            .collect()
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Arc<SettingsSnapshot> {
        self.settings.load_full()
    }
}

/// Reads the system's own credential at an upstream; a failure is logged.
pub(crate) fn read_credential(path: &Path) -> Option<UpstreamCredential> {
    UpstreamCredential::read(path)
        .inspect_err(|error| {
            record_event!(
                CredentialUnreadable,
                upstream = path.display(),
                error = error
            );
        })
        .ok()
}
