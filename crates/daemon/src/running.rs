//! A running daemon: its listeners, threads and shutdown.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use ibisdale_core::SlotId;
use ibisdale_fleet::FleetLinks;
use ibisdale_net::TrafficExecutor;
use ibisdale_policy::{MemberFacts, PolicyProfile};
use ibisdale_settings::DaemonSettings;
use ibisdale_telemetry::{SpanWriter, SpanWriterOptions};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snafu::ResultExt;

use crate::clients::client_limits;
use crate::clock::unix_now;
use crate::context::{ContextParts, DaemonContext, DaemonIdentity};
use crate::control::{ControlOptions, ControlThread};
use crate::credit::{CreditChannel, start_credit};
use crate::drain::DrainSwitch;
use crate::error::{HistorySnafu, SpansSnafu, StartError, ThreadSnafu};
use crate::history::{AppendJob, HistoryHolder, HistoryWriter};
use crate::listeners::{DaemonAddresses, DaemonListeners, ServeGuards, serve};
use crate::members::{MemberSettings, start_members};
use crate::operators::OperatorAccess;
use crate::options::DaemonOptions;
use crate::platform_links::{PlatformLinks, start_platform};
use crate::settings_feed::SettingsFeed;
use crate::threads::TrafficThreads;
use crate::watches::DaemonWatches;

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
            .clients(client_limits(&settings))
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

fn start_spans(settings: &DaemonSettings) -> Result<Option<SpanWriter>, StartError> {
    let Some(path) = &settings.trace_file else {
        return Ok(None);
    };
    let options = SpanWriterOptions::new(path, settings.name.as_str());
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
