//! A running daemon: its listeners, threads and shutdown.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use ibisdale_core::SlotId;
use ibisdale_fleet::{FleetHandlers, FleetLinks, answer_stream, serve_fleet};
use ibisdale_net::{
    NetError, ServeOptions, ShutdownGuard, TrafficExecutor, bind_listener, serve_http,
    shutdown_pair,
};
use ibisdale_policy::PolicyProfile;
use ibisdale_settings::{DaemonSettings, SettingsSnapshot};
use ibisdale_telemetry::{MetricRegistry, SpanError, SpanOptions, SpanWriter};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol::Async;
use snafu::{ResultExt, Snafu};

use crate::callers::{serve_caller, serve_forwarded};
use crate::clock::unix_now;
use crate::context::{DaemonContext, DaemonIdentity, OwnerTable, SlotOwner, UpstreamPools};
use crate::control::{ControlOptions, ControlThread, OwnedSlot, SlotChange};
use crate::drain::DrainSwitch;
use crate::load_watch::LoadWatch;
use crate::operators::{OperatorAccess, serve_operator};
use crate::threads::TrafficThreads;
use crate::upstream_watch::UpstreamWatch;

/// Tells why a daemon did not start.
#[derive(Debug)]
#[derive(Snafu)]
pub enum StartError {
    /// A listener could not be opened.
    #[snafu(display("{source}"))]
    Listener {
        /// The cause.
        source: NetError,
    },
    /// A listener's address could not be read.
    #[snafu(display("a listener's address can't be read: {source}"))]
    ListenerAddress {
        /// The system's error.
        source: io::Error,
    },
    /// The trace file could not be opened.
    #[snafu(display("{source}"))]
    Spans {
        /// The cause.
        source: SpanError,
    },
    /// A thread could not be started.
    #[snafu(display("a thread can't be started: {source}"))]
    Thread {
        /// The system's error.
        source: io::Error,
    },
}

/// How a daemon is started.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    settings: DaemonSettings,
    snapshot: SettingsSnapshot,
}

impl DaemonOptions {
    /// Creates the options from the daemon's own file.
    #[must_use]
    pub fn new(settings: DaemonSettings) -> Self {
        Self {
            settings,
            snapshot: SettingsSnapshot::empty(),
        }
    }

    /// Sets the operators' settings to start with.
    #[must_use]
    pub fn snapshot(mut self, snapshot: SettingsSnapshot) -> Self {
        self.snapshot = snapshot;
        self
    }

    /// Returns the daemon's own settings.
    #[must_use]
    pub fn get_settings(&self) -> &DaemonSettings {
        &self.settings
    }
}

struct DaemonListeners {
    entry: Async<TcpListener>,
    fleet: Async<TcpListener>,
    operator: Async<TcpListener>,
}

impl DaemonListeners {
    fn bind(settings: &DaemonSettings) -> Result<Self, StartError> {
        let entry = bind_listener(settings.entry_address).context(ListenerSnafu)?;
        let fleet = bind_listener(settings.fleet_address).context(ListenerSnafu)?;
        let operator = bind_listener(settings.operator_address).context(ListenerSnafu)?;
        Ok(Self {
            entry,
            fleet,
            operator,
        })
    }
}

impl DaemonListeners {
    fn addresses(&self) -> Result<DaemonAddresses, StartError> {
        Ok(DaemonAddresses {
            entry: local_address(&self.entry)?,
            fleet: local_address(&self.fleet)?,
            operator: local_address(&self.operator)?,
        })
    }
}

fn local_address(listener: &Async<TcpListener>) -> Result<SocketAddr, StartError> {
    listener
        .get_ref()
        .local_addr()
        .context(ListenerAddressSnafu)
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
    spans: Option<SpanWriter>,
    addresses: DaemonAddresses,
}

/// Stops the listeners.
#[derive(Debug)]
struct ServeGuards {
    entry: ShutdownGuard,
    fleet: ShutdownGuard,
    operator: ShutdownGuard,
}

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DaemonAddresses {
    entry: SocketAddr,
    fleet: SocketAddr,
    operator: SocketAddr,
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
        let failure_domain = Bytes::from(settings.failure_domain.clone());
        let spans = start_spans(&settings)?;
        let control = start_control(&failure_domain)?;
        let context = Arc::new(DaemonContext {
            identity: DaemonIdentity {
                name: settings.name.clone(),
                incarnation: unix_now().as_millis(),
                entry_address: addresses.entry,
            },
            control: control.get_handle().clone(),
            settings: Arc::new(ArcSwap::from_pointee(options.snapshot)),
            owners: ArcSwap::default(),
            links: FleetLinks::new(TrafficExecutor::clone(executor)),
            pools: UpstreamPools::new(TrafficExecutor::clone(executor)),
            executor: TrafficExecutor::clone(executor),
            metrics: MetricRegistry::new(),
            spans: spans
                .as_ref()
                .map(SpanWriter::get_sender)
                .unwrap_or_default(),
            drain: DrainSwitch::new(),
        });
        own_all_slots(&context, addresses.fleet);
        let access = OperatorAccess {
            key_hash: settings.operator_key_hash,
        };
        let guards = serve(listeners, &context, &access);
        let watch = UpstreamWatch::start(settings.vm_list_address, &context);
        let load_watch = LoadWatch::start(&context);
        Ok(Self {
            context,
            control,
            threads,
            guards,
            watch,
            load_watch,
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

    /// Finishes the requests in flight and stops.
    pub fn close(self) {
        smol::block_on(async {
            self.guards.entry.close().await;
            self.guards.operator.close().await;
            self.guards.fleet.close().await;
            self.watch.close().await;
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

fn start_control(failure_domain: &Bytes) -> Result<ControlThread, StartError> {
    let options = ControlOptions {
        failure_domain: failure_domain.clone(),
        profile: PolicyProfile::default(),
        random: SmallRng::from_os_rng(),
    };
    ControlThread::start(options).context(ThreadSnafu)
}

/// Takes all slots, as the only daemon.
fn own_all_slots(context: &DaemonContext, fleet_address: SocketAddr) {
    let entry_address = context.identity.entry_address;
    let owner = SlotOwner {
        entry_address,
        fleet_address,
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

fn serve(
    listeners: DaemonListeners,
    context: &Arc<DaemonContext>,
    access: &OperatorAccess,
) -> ServeGuards {
    ServeGuards {
        entry: serve_callers(listeners.entry, context),
        fleet: serve_daemons(listeners.fleet, context),
        operator: serve_operators(listeners.operator, context, access),
    }
}

fn serve_callers(listener: Async<TcpListener>, context: &Arc<DaemonContext>) -> ShutdownGuard {
    let (guard, signal) = shutdown_pair();
    let shared = Arc::clone(context);
    let server = serve_http(
        listener,
        TrafficExecutor::clone(&context.executor),
        ServeOptions::new(),
        signal,
        move |request, _peer| serve_caller(Arc::clone(&shared), request),
    );
    context.executor.spawn(server).detach();
    guard
}

fn serve_operators(
    listener: Async<TcpListener>,
    context: &Arc<DaemonContext>,
    access: &OperatorAccess,
) -> ShutdownGuard {
    let (guard, signal) = shutdown_pair();
    let shared = Arc::clone(context);
    let access = access.clone();
    let server = serve_http(
        listener,
        TrafficExecutor::clone(&context.executor),
        ServeOptions::new(),
        signal,
        move |request, _peer| serve_operator(Arc::clone(&shared), access.clone(), request),
    );
    context.executor.spawn(server).detach();
    guard
}

fn serve_daemons(listener: Async<TcpListener>, context: &Arc<DaemonContext>) -> ShutdownGuard {
    let (guard, signal) = shutdown_pair();
    let executor = TrafficExecutor::clone(&context.executor);
    let server = serve_fleet(listener, executor, signal, fleet_handlers(context));
    context.executor.spawn(server).detach();
    guard
}

fn fleet_handlers(context: &Arc<DaemonContext>) -> FleetHandlers {
    let forward_context = Arc::clone(context);
    FleetHandlers::new().forward(move |request| {
        let context = Arc::clone(&forward_context);
        async move { Ok(answer_stream(serve_forwarded(context, request).await)) }
    })
}
