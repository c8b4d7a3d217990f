//! A running daemon: its listeners, threads and shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::FutureExt;
use ibisdale_core::SlotId;
use ibisdale_fleet::FleetLinks;
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::{KvClient, KvOptions};
use ibisdale_policy::ownership::{DaemonProfile, OwnershipOptions};
use ibisdale_policy::{MemberFacts, PolicyProfile};
use ibisdale_settings::DaemonSettings;
use ibisdale_telemetry::{SpanOptions, SpanWriter};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use snafu::ResultExt;

use crate::cleanup::CleanupTask;
use crate::clock::unix_now;
use crate::context::{ContextParts, DaemonContext, DaemonIdentity};
use crate::control::{ControlOptions, ControlThread};
use crate::credit::{CreditChannel, start_credit};
use crate::drain::DrainSwitch;
use crate::error::{HistorySnafu, SpansSnafu, StartError, ThreadSnafu};
use crate::history::{AppendJob, HistoryHolder, HistoryWriter};
use crate::listeners::{DaemonAddresses, DaemonListeners, ServeGuards, serve};
use crate::load_watch::LoadWatch;
use crate::members::{MemberSettings, start_members};
use crate::operators::OperatorAccess;
use crate::ownership::{OwnershipDriver, ProcessClock};
use crate::settings_feed::{FeedOptions, FeedTask, SettingsFeed};
use crate::settings_watch::SettingsWatch;
use crate::slot_watch::SlotWatch;
use crate::threads::TrafficThreads;
use crate::upstream_watch::UpstreamWatch;

/// Time between two writes by which slots are claimed.
const CLAIM_INTERVAL: Duration = Duration::from_millis(200);
/// Time in which a leaving daemon's slots must be handed over.
const HANDOVER_LIMIT: Duration = Duration::from_secs(20);
/// Time for which callers keep an answer with addresses.
const ADDRESS_KEEP: Duration = Duration::from_secs(5);

/// How a daemon is started.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    settings: DaemonSettings,
    address_keep: Duration,
    claim_interval: Duration,
}

impl DaemonOptions {
    /// Creates the options from the daemon's own file.
    #[must_use]
    pub fn new(settings: DaemonSettings) -> Self {
        Self {
            settings,
            address_keep: ADDRESS_KEEP,
            claim_interval: CLAIM_INTERVAL,
        }
    }

    /// Sets how long callers keep an answer with addresses, and so how long a
    /// leaving daemon still serves those who hold an old one.
    #[must_use]
    pub fn address_keep(mut self, keep: Duration) -> Self {
        self.address_keep = keep;
        self
    }

    /// Sets the time between two writes by which slots are claimed.
    #[must_use]
    pub fn claim_interval(mut self, interval: Duration) -> Self {
        self.claim_interval = interval;
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
    holder: Option<HistoryHolder>,
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
        let executor = threads.get_executor();
        let spans = start_spans(&settings)?;
        let holder = start_holder(&settings)?;
        let platform = start_platform(&settings, addresses, options.claim_interval, executor);
        let (jobs, appends) = async_channel::unbounded();
        let control = start_control(&settings, &platform.feed, jobs)?;
        let credit = CreditChannel::new();
        let (revision_seen, revisions) = async_channel::bounded(1);
        let member_settings = member_settings(&settings, addresses);
        let parts = connect_parts(
            &control,
            &credit,
            &platform,
            member_settings,
            executor,
            revision_seen,
        );
        start_writer(&parts, appends, executor);
        let sender = spans.as_ref().map(SpanWriter::get_sender);
        let context = DaemonContext::new(identity(&settings, addresses), parts, executor)
            .spans(sender.unwrap_or_default())
            .address_keep(options.address_keep)
            .share();
        start_credit(credit, &context);
        let access = OperatorAccess {
            key_hash: settings.operator_key_hash,
        };
        let guards = serve(listeners, &context, &access, holder.as_ref());
        let watches = DaemonWatches::start(&settings, &context, revisions);
        Ok(Self {
            context,
            control,
            threads,
            guards,
            platform,
            watches,
            holder,
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

    /// Tells whether every slot has an owner and upstreams are known, so that
    /// programs can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let owners = self.context.owners.load();
        let is_owned = SlotId::all().all(|slot| owners.get(slot).is_some());
        is_owned && !self.context.upstreams.load().is_empty()
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

    /// Leaves the fleet: is no longer named in addresses, hands its slots over,
    /// serves those who hold an old answer, finishes the requests in flight and
    /// stops.
    ///
    /// Slots that can't be handed over in time are taken over by others when
    /// the lease has ended.
    pub fn close(self) {
        self.context.drain.start();
        self.context.members.start_drain();
        smol::block_on(async {
            let keep = smol::Timer::after(self.context.address_keep);
            self.platform.drain().await;
            keep.await;
            self.guards.close().await;
            self.watches.close().await;
            self.platform.close().await;
        });
        self.control.close();
        self.threads.close();
        if let Some(holder) = self.holder {
            holder.close();
        }
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
    driver: OwnershipDriver,
    clock: ProcessClock,
}

impl PlatformLinks {
    /// Hands all slots over, or gives that up after a while.
    async fn drain(&self) {
        let give_up = async {
            smol::Timer::after(HANDOVER_LIMIT).await;
        };
        self.driver.drain().or(give_up).await;
    }

    async fn close(self) {
        self.feed_task.close().await;
        self.driver.close().await;
    }
}

fn start_platform(
    settings: &DaemonSettings,
    addresses: DaemonAddresses,
    claim_interval: Duration,
    executor: &TrafficExecutor,
) -> PlatformLinks {
    let endpoints = settings.key_value_endpoints.iter().copied();
    let options = endpoints.fold(KvOptions::new(), KvOptions::endpoint);
    let client = KvClient::new(options, executor);
    let (feed, feed_task) = SettingsFeed::start(client.clone(), FeedOptions::new(), executor);
    let profile = DaemonProfile {
        name: settings.name.clone(),
        fleet_address: addresses.fleet,
        entry_address: addresses.entry,
        failure_domain: settings.failure_domain.clone(),
    };
    let clock = ProcessClock::start();
    let options =
        OwnershipOptions::new(profile, rand::rng().random()).batch_interval(claim_interval);
    let driver = OwnershipDriver::start(options, client, clock, executor);
    PlatformLinks {
        feed,
        feed_task,
        driver,
        clock,
    }
}

fn start_holder(settings: &DaemonSettings) -> Result<Option<HistoryHolder>, StartError> {
    let folder = settings.data_folder.as_deref();
    folder
        .map(HistoryHolder::start)
        .transpose()
        .context(HistorySnafu)
}

fn start_writer(parts: &ContextParts, appends: Receiver<AppendJob>, executor: &TrafficExecutor) {
    let writer = HistoryWriter {
        links: parts.links.clone(),
        members: parts.members.clone(),
        control: parts.control.clone(),
        executor: TrafficExecutor::clone(executor),
    };
    executor.spawn(writer.run(appends)).detach();
}

fn member_settings(settings: &DaemonSettings, addresses: DaemonAddresses) -> MemberSettings {
    MemberSettings {
        facts: member_facts(settings, addresses),
        incarnation: unix_now().as_millis(),
        random: SmallRng::from_os_rng(),
    }
}

fn identity(settings: &DaemonSettings, addresses: DaemonAddresses) -> DaemonIdentity {
    DaemonIdentity {
        name: settings.name.clone(),
        incarnation: unix_now().as_millis(),
        entry_address: addresses.entry,
    }
}

fn connect_parts(
    control: &ControlThread,
    credit: &CreditChannel,
    platform: &PlatformLinks,
    member_settings: MemberSettings,
    executor: &TrafficExecutor,
    revision_seen: Sender<u64>,
) -> ContextParts {
    let control = control.get_handle().clone();
    let links = FleetLinks::new(TrafficExecutor::clone(executor));
    let feed = platform.feed.clone();
    let members = start_members(
        member_settings,
        &control,
        &links,
        &feed,
        executor,
        revision_seen,
    );
    ContextParts {
        control,
        credit: credit.get_handle(),
        members,
        feed,
        ownership: platform.driver.handle(),
        clock: platform.clock,
        links,
    }
}

/// The tasks that watch the platform, upstreams and settings.
#[derive(Debug)]
struct DaemonWatches {
    upstreams: UpstreamWatch,
    load: LoadWatch,
    cleanup: CleanupTask,
    settings: SettingsWatch,
    slots: SlotWatch,
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
            slots: SlotWatch::start(context),
        }
    }

    async fn close(self) {
        self.upstreams.close().await;
        self.cleanup.close().await;
        self.load.close().await;
        self.settings.close().await;
        self.slots.close().await;
    }
}

fn start_spans(settings: &DaemonSettings) -> Result<Option<SpanWriter>, StartError> {
    let Some(path) = &settings.trace_file else {
        return Ok(None);
    };
    let options = SpanOptions::new(path, settings.name.as_str());
    SpanWriter::start(options).map(Some).context(SpansSnafu)
}

fn start_control(
    settings: &DaemonSettings,
    feed: &SettingsFeed,
    jobs: Sender<AppendJob>,
) -> Result<ControlThread, StartError> {
    let options = ControlOptions {
        failure_domain: Bytes::from(settings.failure_domain.clone()),
        profile: PolicyProfile::default(),
        random: SmallRng::from_os_rng(),
        settings: feed.get_cell(),
        jobs,
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
