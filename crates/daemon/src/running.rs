//! A running daemon: its listeners, threads and shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use ibisdale_core::SlotId;
use ibisdale_fleet::FleetLinks;
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::{KvClient, KvOptions};
use ibisdale_policy::{MemberFacts, PolicyProfile};
use ibisdale_settings::DaemonSettings;
use ibisdale_telemetry::{SpanOptions, SpanWriter};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snafu::ResultExt;

use crate::cleanup::CleanupTask;
use crate::clock::unix_now;
use crate::context::{DaemonContext, DaemonIdentity, OwnerTable, SlotOwner};
use crate::control::{ControlHandle, ControlOptions, ControlThread, OwnedSlot, SlotChange};
use crate::credit::{CreditChannel, CreditHandle, start_credit};
use crate::drain::DrainSwitch;
use crate::error::{SpansSnafu, StartError, ThreadSnafu};
use crate::listeners::{DaemonAddresses, DaemonListeners, ServeGuards, serve};
use crate::load_watch::LoadWatch;
use crate::members::{MemberSettings, start_members};
use crate::operators::OperatorAccess;
use crate::settings_feed::{FeedOptions, FeedTask, SettingsFeed};
use crate::settings_watch::SettingsWatch;
use crate::threads::TrafficThreads;
use crate::upstream_watch::UpstreamWatch;

/// Time for which callers keep an answer with addresses.
const ADDRESS_KEEP: Duration = Duration::from_secs(5);

/// How a daemon is started.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    settings: DaemonSettings,
    address_keep: Duration,
}

impl DaemonOptions {
    /// Creates the options from the daemon's own file.
    #[must_use]
    pub fn new(settings: DaemonSettings) -> Self {
        Self {
            settings,
            address_keep: ADDRESS_KEEP,
        }
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
    platform: PlatformLinks,
    watches: DaemonWatches,
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
        let platform = start_platform(&settings, threads.get_executor());
        let (revision_seen, revisions) = async_channel::bounded(1);
        let parts = ContextParts {
            control: control.get_handle().clone(),
            credit: credit.get_handle(),
            feed: platform.feed.clone(),
            revision_seen,
        };
        let sender = spans.as_ref().map(SpanWriter::get_sender);
        let context = build_context(&settings, addresses, parts, threads.get_executor())
            .spans(sender.unwrap_or_default())
            .address_keep(options.address_keep)
            .share();
        start_credit(credit, &context);
        own_all_slots(&context, addresses.fleet);
        let access = OperatorAccess {
            key_hash: settings.operator_key_hash,
        };
        let guards = serve(listeners, &context, &access);
        let watches = DaemonWatches::start(&settings, &context, revisions);
        Ok(Self {
            context,
            control,
            threads,
            guards,
            platform,
            watches,
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

    /// Tells whether the daemon owns slots and knows upstreams, and so can take
    /// programs.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let owners = self.context.owners.load();
        let owns_slots =
            SlotId::all().any(|slot| owners.get(slot).is_some_and(|owner| owner.is_self));
        owns_slots && !self.context.upstreams.load().is_empty()
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
            self.watches.close().await;
            self.platform.close().await;
        });
        self.control.close();
        self.threads.close();
        if let Some(spans) = self.spans {
            spans.close();
        }
    }
}

/// What the daemon shares with the platform.
#[derive(Debug)]
struct PlatformLinks {
    feed: SettingsFeed,
    feed_task: FeedTask,
}

impl PlatformLinks {
    async fn close(self) {
        self.feed_task.close().await;
    }
}

fn start_platform(settings: &DaemonSettings, executor: &TrafficExecutor) -> PlatformLinks {
    let endpoints = settings.key_value_endpoints.iter().copied();
    let options = endpoints.fold(KvOptions::new(), KvOptions::endpoint);
    let client = KvClient::new(options, executor);
    let (feed, feed_task) = SettingsFeed::start(client, FeedOptions::new(), executor);
    PlatformLinks { feed, feed_task }
}

/// The tasks that watch the platform, upstreams and settings.
#[derive(Debug)]
struct DaemonWatches {
    upstreams: UpstreamWatch,
    load: LoadWatch,
    cleanup: CleanupTask,
    settings: SettingsWatch,
}

impl DaemonWatches {
    fn start(
        settings: &DaemonSettings,
        context: &Arc<DaemonContext>,
        revisions: Receiver<u64>,
    ) -> Self {
        Self {
            upstreams: UpstreamWatch::start(settings.vm_list_address, context),
            load: LoadWatch::start(context),
            cleanup: CleanupTask::start(context),
            settings: SettingsWatch::start(context, revisions),
        }
    }

    async fn close(self) {
        self.upstreams.close().await;
        self.cleanup.close().await;
        self.load.close().await;
        self.settings.close().await;
    }
}

/// Parts that the context connects.
struct ContextParts {
    control: ControlHandle,
    credit: CreditHandle,
    feed: SettingsFeed,
    revision_seen: Sender<u64>,
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
    parts: ContextParts,
    executor: &TrafficExecutor,
) -> DaemonContext {
    let incarnation = unix_now().as_millis();
    let links = FleetLinks::new(TrafficExecutor::clone(executor));
    let member_settings = MemberSettings {
        facts: member_facts(settings, addresses),
        incarnation,
        random: SmallRng::from_os_rng(),
    };
    let members = start_members(
        member_settings,
        &parts.control,
        &links,
        &parts.feed,
        executor,
        parts.revision_seen,
    );
    let identity = DaemonIdentity {
        name: settings.name.clone(),
        incarnation,
        entry_address: addresses.entry,
    };
    DaemonContext::new(
        identity,
        parts.control,
        members,
        parts.credit,
        parts.feed,
        links,
        executor,
    )
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
