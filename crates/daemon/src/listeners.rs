//! The daemon's listeners and what serves them.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use ibisdale_fleet::{FleetHandlers, encode_response, serve_fleet};
use ibisdale_net::{
    ServeOptions, ShutdownGuard, TrafficExecutor, bind_listener, serve_http, shutdown_pair,
};
use ibisdale_settings::DaemonSettings;
use smol::Async;
use snafu::ResultExt;

use crate::callers::{serve_caller, serve_forwarded};
use crate::context::DaemonContext;
use crate::error::{ListenerAddressSnafu, ListenerSnafu, StartError};
use crate::history::HistoryHolder;
use crate::operators::{OperatorAccess, serve_operator};
use crate::settings_watch;

/// The open listeners.
pub(crate) struct DaemonListeners {
    entry: Async<TcpListener>,
    fleet: Async<TcpListener>,
    operator: Async<TcpListener>,
}

impl DaemonListeners {
    /// Opens the listeners.
    pub(crate) fn bind(settings: &DaemonSettings) -> Result<Self, StartError> {
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
    /// Returns where the daemon listens.
    pub(crate) fn addresses(&self) -> Result<DaemonAddresses, StartError> {
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

/// Stops the listeners.
#[derive(Debug)]
pub(crate) struct ServeGuards {
    pub(crate) entry: ShutdownGuard,
    pub(crate) fleet: ShutdownGuard,
    pub(crate) operator: ShutdownGuard,
}

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DaemonAddresses {
    pub(crate) entry: SocketAddr,
    pub(crate) fleet: SocketAddr,
    pub(crate) operator: SocketAddr,
}

impl ServeGuards {
    /// Finishes the requests in flight and stops listening.
    pub(crate) async fn close(self) {
        self.entry.close().await;
        self.operator.close().await;
        self.fleet.close().await;
    }
}

/// Serves all listeners.
pub(crate) fn serve(
    listeners: DaemonListeners,
    context: &Arc<DaemonContext>,
    access: &OperatorAccess,
    holder: Option<&HistoryHolder>,
) -> ServeGuards {
    ServeGuards {
        entry: serve_callers(listeners.entry, context),
        fleet: serve_daemons(listeners.fleet, context, holder),
        operator: serve_operators(listeners.operator, context, access),
    }
}

fn serve_callers(listener: Async<TcpListener>, context: &Arc<DaemonContext>) -> ShutdownGuard {
    let (guard, signal) = shutdown_pair();
    let shared = Arc::clone(context);
    let server = serve_http(
        listener,
        TrafficExecutor::clone(&context.executor),
        ServeOptions::new().limiter(context.clients.entry.clone()),
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
        ServeOptions::new().limiter(context.clients.operator.clone()),
        signal,
        move |request, _peer| serve_operator(Arc::clone(&shared), access.clone(), request),
    );
    context.executor.spawn(server).detach();
    guard
}

fn serve_daemons(
    listener: Async<TcpListener>,
    context: &Arc<DaemonContext>,
    holder: Option<&HistoryHolder>,
) -> ShutdownGuard {
    let (guard, signal) = shutdown_pair();
    let executor = TrafficExecutor::clone(&context.executor);
    let handlers = fleet_handlers(context);
    let handlers = match holder {
        Some(holder) => holder.add_handlers(handlers),
        None => handlers,
    };
    let traffic = context.links.get_traffic().clone();
    let limiter = context.clients.fleet.clone();
    let server = serve_fleet(listener, executor, limiter, signal, handlers, traffic);
    context.executor.spawn(server).detach();
    guard
}

fn fleet_handlers(context: &Arc<DaemonContext>) -> FleetHandlers {
    let forward_context = Arc::clone(context);
    let handlers = FleetHandlers::new().forward(move |request| {
        let context = Arc::clone(&forward_context);
        async move { Ok(encode_response(serve_forwarded(context, request).await)) }
    });
    let handlers = context.credit.add_handlers(handlers);
    let handlers = settings_watch::add_handlers(handlers, context);
    context
        .members
        .add_handlers(handlers, &context.links, &context.feed)
}
