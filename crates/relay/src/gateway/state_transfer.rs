//! Transfer of the configuration and the list of replicas between VMs over TCP.
//!
//! Only a few VMs, the readers, watch the key-value service; the others fetch new
//! versions from them. A VM whose calls the service refuses, or that starts during an
//! outage of the service, gets the current state in the same way.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use ibisdale_clients::{ConnectionLimiter, HeldBytes, OpenConnection};
use ibisdale_telemetry::record_event;
use ibisdale_turns::HolderInfo;
use rand::seq::IteratorRandom;
use smol::{Async, Timer};

use super::state::Gateway;
use crate::decide::{MemberFacts, ReplicaInfo};
use crate::plan::DeploymentPlan;

/// Maximum duration of a transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read in a transfer.
const TRANSFER_MAX_BYTES: u64 = 16 * 1_024 * 1_024;
/// Time for which a VM that watches the service itself waits for a change from there
/// before it fetches the change from a peer.
const OWN_FEED_DELAY: Duration = Duration::from_millis(150);
/// Delay before accepting again after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Part of the state that is transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatePart {
    Plan,
    Replicas,
    Holders,
}

impl StatePart {
    /// Byte that requests this part.
    const fn code(self) -> u8 {
        match self {
            Self::Plan => b'p',
            Self::Replicas => b'r',
            Self::Holders => b'h',
        }
    }

    fn current_version(self, gateway: &Gateway) -> u64 {
        match self {
            Self::Plan => gateway.plan().map_or(0, |plan| plan.get_version()),
            Self::Replicas => gateway.state.replicas_version.get(),
            // Fetched only where no holder is known.
            Self::Holders => 0,
        }
    }

    fn is_fetching(self, gateway: &Gateway) -> &Cell<bool> {
        match self {
            Self::Plan => &gateway.state.is_fetching_plan,
            Self::Replicas => &gateway.state.is_fetching_replicas,
            Self::Holders => &gateway.state.is_fetching_holders,
        }
    }
}

/// Serves the current state to VMs that request it.
pub(crate) async fn serve(
    gateway: Gateway,
    limiter: ConnectionLimiter,
    listener: Async<TcpListener>,
) {
    loop {
        limiter.wait_for_room().await;
        match listener.accept().await {
            Ok((stream, peer)) => {
                // Each transfer ends soon.
                let open = limiter.admit_when_free().await;
                let sender = gateway.clone();
                gateway.spawn(async move {
                    let closed = async {
                        open.wait_for_close().await;
                        Err(io::ErrorKind::ConnectionAborted.into())
                    };
                    let transfer = with_timeout(send_part(&sender, &open, stream));
                    if let Err(error) = transfer.or(closed).await {
                        log::debug!("failed to send state to {peer}: {error}");
                    }
                });
            }
            Err(error) => {
                log::debug!("failed to accept a connection from a peer: {error}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn send_part(
    gateway: &Gateway,
    open: &OpenConnection,
    mut stream: Async<TcpStream>,
) -> io::Result<()> {
    let mut code = [0_u8];
    stream.read_exact(&mut code).await?;
    let _progress = open.begin_request();
    let data = if code[0] == StatePart::Replicas.code() {
        let version = gateway.state.replicas_version.get();
        postcard::to_stdvec(&(version, gateway.replica_infos()))
    } else if code[0] == StatePart::Holders.code() {
        postcard::to_stdvec(&gateway.holders())
    } else {
        let Some(plan) = gateway.plan() else {
            return Ok(());
        };
        postcard::to_stdvec(&(gateway.state.plan_revision.get(), plan.as_ref()))
    };
    let data = data.map_err(io::Error::other)?;
    let mut held = HeldBytes::new(&gateway.state.clients);
    if !held.resize(data.len()) {
        return Err(io::ErrorKind::OutOfMemory.into());
    }
    stream.write_all(&data).await
}

async fn with_timeout<T>(transfer: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let timed_out = async {
        Timer::after(TRANSFER_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    transfer.or(timed_out).await
}

/// Starts fetching a newer version from a peer unless a fetch is already running.
///
/// A VM that watches the service first waits for the version to arrive from there.
pub(crate) fn spawn_fetch(gateway: &Gateway, peer: SocketAddrV4, part: StatePart, version: u64) {
    if part.is_fetching(gateway).replace(true) {
        return;
    }
    let fetcher = gateway.clone();
    gateway.spawn(async move {
        if fetcher.is_reader() && !fetcher.is_store_lost() {
            Timer::after(OWN_FEED_DELAY).await;
        }
        if part.current_version(&fetcher) < version {
            let started = Instant::now();
            let result = with_timeout(fetch(&fetcher, peer, part)).await;
            record_fetch(peer, part, version, started, result);
        }
        part.is_fetching(&fetcher).set(false);
    });
}

fn record_fetch(
    peer: SocketAddrV4,
    part: StatePart,
    version: u64,
    started: Instant,
    result: io::Result<usize>,
) {
    let elapsed_ms = started.elapsed().as_millis();
    match result {
        Ok(size) => record_event!(
            StateFetched,
            part = format!("{part:?}"),
            version = version,
            from = peer,
            size = size,
            elapsed_ms = elapsed_ms
        ),
        Err(error) => record_event!(
            StateNotFetched,
            part = format!("{part:?}"),
            version = version,
            from = peer,
            elapsed_ms = elapsed_ms,
            error = error
        ),
    }
}

/// Starts fetching the holders from a live peer.
pub(crate) fn spawn_fetch_holders(gateway: &Gateway) {
    let peer = {
        let members = gateway.state.members.borrow();
        let live = members.live(gateway.now_ms());
        live.map(MemberFacts::peer_address).choose(&mut rand::rng())
    };
    if let Some(peer) = peer {
        spawn_fetch(gateway, peer, StatePart::Holders, 1);
    }
}

/// Fetches a part of the state of a peer; returns its size in bytes.
async fn fetch(gateway: &Gateway, peer: SocketAddrV4, part: StatePart) -> io::Result<usize> {
    let mut stream = Async::<TcpStream>::connect(peer).await?;
    stream.write_all(&[part.code()]).await?;
    let mut data = Vec::new();
    stream
        .take(TRANSFER_MAX_BYTES)
        .read_to_end(&mut data)
        .await?;
    match part {
        StatePart::Plan => {
            let (revision, plan): (u64, DeploymentPlan) =
                postcard::from_bytes(&data).map_err(io::Error::other)?;
            gateway.apply_plan(plan.with_indexes(), revision, "peer");
        }
        StatePart::Replicas => {
            let (version, replicas): (u64, Vec<ReplicaInfo>) =
                postcard::from_bytes(&data).map_err(io::Error::other)?;
            gateway.set_replicas(replicas, version);
        }
        StatePart::Holders => {
            let holders: Vec<HolderInfo> = postcard::from_bytes(&data).map_err(io::Error::other)?;
            // The store may have been read meanwhile.
            if gateway.holders().is_empty() {
                gateway.set_holders(holders);
            }
        }
    }
    Ok(data.len())
}
