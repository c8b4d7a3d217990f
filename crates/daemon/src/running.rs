//! A running daemon: its listeners, threads and shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ibisdale_core::SlotId;
use ibisdale_fleet::FleetLinks;
use ibisdale_net::TrafficExecutor;
use ibisdale_policy::{MemberFacts, PolicyProfile};
use ibisdale_settings::{DaemonSettings, SettingsSnapshot};
use ibisdale_telemetry::{SpanOptions, SpanWriter};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snafu::ResultExt;

use crate::cleanup::CleanupTask;
use crate::clock::unix_now;
use crate::context::{DaemonContext, DaemonIdentity, OwnerTable, SlotOwner};
use crate::control::{ControlOptions, ControlThread, OwnedSlot, SlotChange};
use crate::credit::{CreditChannel, CreditHandle, start_credit};
use crate::drain::DrainSwitch;
use crate::error::{SpansSnafu, StartError, ThreadSnafu};
use crate::listeners::{DaemonAddresses, DaemonListeners, ServeGuards, serve};
use crate::load_watch::LoadWatch;
use crate::members::{MemberSettings, start_members};
use crate::operators::OperatorAccess;
use crate::threads::TrafficThreads;
use crate::upstream_watch::UpstreamWatch;

/// Time for which callers keep an answer with addresses.
const ADDRESS_KEEP: Duration = Duration::from_secs(5);

/// How a daemon is started.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    settings: DaemonSettings,
    snapshot: SettingsSnapshot,
    address_keep: Duration,
}

impl DaemonOptions {
    /// Creates the options from the daemon's own file.
    #[must_use]
    pub fn new(settings: DaemonSettings) -> Self {
        Self {
            settings,
            snapshot: SettingsSnapshot::empty(),
            address_keep: ADDRESS_KEEP,
        }
    }

    /// Sets the operators' settings to start with.
    #[must_use]
    pub fn snapshot(mut self, snapshot: SettingsSnapshot) -> Self {
        self.snapshot = snapshot;
        self
    }

    /// Sets how long callers keep an answer with addresses, and so how long a
    /// leaving daemon still serves those who hold an old one.
    #[must_use]
    pub fn address_keep(mut self, keep: Duration) -> Self {
        self.address_keep = keep;
        self
    }

    /// Returns the daemon's own settings.
    #[must_use]
    pub fn get_settings(&self) -> &DaemonSettings {
        &self.settings
    }
}

/// A daemon that serves callers and other daemons.
#[derive(Debug)]
pub struct RunningDaemon {
    context: Arc<DaemonContext>,
    control: ControlThread,
    threads: TrafficThreads,
    guards: ServeGuards,
    watch: UpstreamWatch,
    load_watch: LoadWatch,
    cleanup: CleanupTask,
    spans: Option<SpanWriter>,
    addresses: DaemonAddresses,
}

impl RunningDaemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be had or a thread can't be started.
    pub fn start(options: DaemonOptions) -> Result<Self, StartError> {
        let settings = options.settings;
        let listeners = DaemonListeners::bind(&settings)?;
        let addresses = listeners.addresses()?;
        let threads = TrafficThreads::start(settings.traffic_threads).context(ThreadSnafu)?;
        let spans = start_spans(&settings)?;
        let control = start_control(&settings)?;
        let credit = CreditChannel::new();
        let sender = spans.as_ref().map(SpanWriter::get_sender);
        let context = build_context(
            &settings,
            addresses,
            &control,
            credit.get_handle(),
            threads.get_executor(),
        )
        .spans(sender.unwrap_or_default())
        .snapshot(options.snapshot)
        .address_keep(options.address_keep)
        .share();
        start_credit(credit, &context);
        own_all_slots(&context, addresses.fleet);
        let access = OperatorAccess {
            key_hash: settings.operator_key_hash,
        };
        let guards = serve(listeners, &context, &access);
        let watch = UpstreamWatch::start(settings.vm_list_address, &context);
        let load_watch = LoadWatch::start(&context);
        let cleanup = CleanupTask::start(&context);
        Ok(Self {
            context,
            control,
            threads,
            guards,
            watch,
            load_watch,
            cleanup,
            spans,
            addresses,
        })
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn get_entry_address(&self) -> SocketAddr {
        self.addresses.entry
    }

    /// Returns the address for other daemons.
    #[must_use]
    pub fn get_fleet_address(&self) -> SocketAddr {
        self.addresses.fleet
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn get_operator_address(&self) -> SocketAddr {
        self.addresses.operator
    }

    /// Returns the switch that starts a graceful shutdown.
    #[must_use]
    pub fn get_drain(&self) -> DrainSwitch {
        self.context.drain.clone()
    }

    /// Waits until a graceful shutdown starts.
    pub fn wait_drain(&self) {
        smol::block_on(self.context.drain.wait());
    }

    /// Leaves the fleet: is no longer named in addresses, serves those who hold
    /// an old answer, finishes the requests in flight and stops.
    pub fn close(self) {
        self.context.drain.start();
        self.context.members.start_drain();
        smol::block_on(async {
            smol::Timer::after(self.context.address_keep).await;
            self.guards.close().await;
            self.watch.close().await;
            self.cleanup.close().await;
            self.load_watch.close().await;
        });
        self.control.close();
        self.threads.close();
        if let Some(spans) = self.spans {
            spans.close();
        }
    }
}

fn start_spans(settings: &DaemonSettings) -> Result<Option<SpanWriter>, StartError> {
    let Some(path) = &settings.trace_file else {
        return Ok(None);
    };
    let options = SpanOptions::new(path, settings.name.as_str());
    SpanWriter::start(options).map(Some).context(SpansSnafu)
}

fn start_control(settings: &DaemonSettings) -> Result<ControlThread, StartError> {
    let options = ControlOptions {
        failure_domain: Bytes::from(settings.failure_domain.clone()),
        profile: PolicyProfile::default(),
        random: SmallRng::from_os_rng(),
    };
    ControlThread::start(options).context(ThreadSnafu)
}

fn member_facts(settings: &DaemonSettings, addresses: DaemonAddresses) -> MemberFacts {
    MemberFacts {
        name: settings.name.clone(),
        fleet_address: addresses.fleet,
        entry_address: addresses.entry,
        failure_domain: Bytes::from(settings.failure_domain.clone()),
        settings_revision: 0,
        load_permille: 0,
        is_holder: settings.data_folder.is_some(),
    }
}

fn build_context(
    settings: &DaemonSettings,
    addresses: DaemonAddresses,
    control: &ControlThread,
    credit: CreditHandle,
    executor: &TrafficExecutor,
) -> DaemonContext {
    let incarnation = unix_now().as_millis();
    let control = control.get_handle().clone();
    let links = FleetLinks::new(TrafficExecutor::clone(executor));
    let (revision_seen, _revisions) = async_channel::bounded(1);
    let member_settings = MemberSettings {
        facts: member_facts(settings, addresses),
        incarnation,
        random: SmallRng::from_os_rng(),
    };
    let members = start_members(member_settings, &control, &links, executor, revision_seen);
    let identity = DaemonIdentity {
        name: settings.name.clone(),
        incarnation,
        entry_address: addresses.entry,
    };
    DaemonContext::new(identity, control, members, credit, links, executor)
}

/// Takes all slots, as the only daemon.
fn own_all_slots(context: &DaemonContext, fleet_address: SocketAddr) {
    let entry_address = context.identity.entry_address;
    let owner = SlotOwner {
        entry_address,
        fleet_address,
        epoch: 1,
        is_self: true,
    };
    let owners = SlotId::all().map(|_| Some(owner)).collect();
    context.owners.store(Arc::new(OwnerTable::new(owners)));
    let gained = SlotId::all()
        .map(|slot| OwnedSlot { slot, epoch: 1 })
        .collect();
    context.control.change_slots(SlotChange {
        gained,
        lost: Vec::new(),
    });
}
