//! Transfer of the configuration and the list of replicas between VMs over TCP.
//!
//! Only a few VMs, the readers, watch the key-value service; the others fetch new
//! versions from them and from those that have fetched them before. A VM whose calls the
//! service refuses, or that starts during an outage of the service, gets the current state
//! in the same way.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use ibisdale_clients::{ConnectionLimiter, OpenConnection};
use ibisdale_telemetry::record_event;
use ibisdale_turns::HolderInfo;
use rand::seq::IteratorRandom;
use smol::channel::{Sender, bounded};
use smol::lock::Semaphore;
use smol::{Async, Task, Timer};

use super::peer_link::{peer_addresses, send_state};
use super::state::Gateway;
use crate::decide::{MemberFacts, ReplicaInfo, SourceQueue};
use crate::plan::DeploymentPlan;

/// Maximum duration of a transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read in a transfer.
const TRANSFER_MAX_BYTES: u64 = 16 * 1_024 * 1_024;
/// Time for which a VM that watches the service itself waits for a change from there
/// before it fetches the change from a peer.
const OWN_FEED_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of transfers that share the link at the same time. The first VMs get a version early
/// and serve it to the others, while a fair share for all would let each of them exceed the time limit.
const TRANSFERS_MAX: usize = 8;
/// Time after which another source is asked beside one that has not answered.
const NEXT_SOURCE_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of sources that are asked at the same time.
const FETCHES_MAX: usize = 8;
/// Number of other VMs that a VM tells at once of a version that it has fetched.
const SPREAD_PEERS: usize = 8;
/// Maximum number of times that one source is asked for the same version.
const SOURCE_TRIES_MAX: u32 = 3;
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
            Self::Holders => u64::from(!gateway.holders().is_empty()),
        }
    }

    fn fetch_state(self, gateway: &Gateway) -> &FetchState {
        match self {
            Self::Plan => &gateway.state.fetched.plan,
            Self::Replicas => &gateway.state.fetched.replicas,
            Self::Holders => &gateway.state.fetched.holders,
        }
    }
}

/// Fetch of one part.
#[derive(Debug, Default)]
pub(crate) struct FetchState {
    sources: RefCell<SourceQueue>,
    is_running: Cell<bool>,
}

/// Fetches of all parts.
#[derive(Debug, Default)]
pub(crate) struct PartFetches {
    plan: FetchState,
    replicas: FetchState,
    holders: FetchState,
}

/// Serves the current state to VMs that request it.
pub(crate) async fn serve(
    gateway: Gateway,
    limiter: ConnectionLimiter,
    listener: Async<TcpListener>,
) {
    let slots = Rc::new(Semaphore::new(TRANSFERS_MAX));
    loop {
        limiter.wait_for_room().await;
        match listener.accept().await {
            Ok((stream, peer)) => {
                // Each transfer ends soon.
                let open = limiter.admit_when_free().await;
                let (sender, slots) = (gateway.clone(), Rc::clone(&slots));
                gateway.spawn(async move {
                    let closed = async {
                        open.wait_for_close().await;
                        Err(io::ErrorKind::ConnectionAborted.into())
                    };
                    let transfer = with_timeout(send_part(&sender, &open, &slots, stream));
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
    slots: &Semaphore,
    mut stream: Async<TcpStream>,
) -> io::Result<()> {
    let mut code = [0_u8];
    stream.read_exact(&mut code).await?;
    let _progress = open.begin_request();
    let _slot = slots.acquire().await;
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
    stream.write_all(&data.map_err(io::Error::other)?).await
}

async fn with_timeout<T>(transfer: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let timed_out = async {
        Timer::after(TRANSFER_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    transfer.or(timed_out).await
}

/// Records that a peer has a newer version of a part, and starts to fetch it unless that is under
/// way.
///
/// A VM that watches the service first waits for the version to arrive from there.
pub(crate) fn offer_source(gateway: &Gateway, peer: SocketAddrV4, part: StatePart, version: u64) {
    let fetch = part.fetch_state(gateway);
    fetch.sources.borrow_mut().offer(peer, version);
    if fetch.is_running.replace(true) {
        return;
    }
    let fetcher = gateway.clone();
    gateway.spawn(async move {
        if fetcher.is_reader() && !fetcher.is_store_lost() {
            Timer::after(OWN_FEED_DELAY).await;
        }
        fetch_newest(&fetcher, part).await;
        let fetch = part.fetch_state(&fetcher);
        // A source that was asked too often is asked again when it next names its version.
        fetch.sources.take();
        fetch.is_running.set(false);
    });
}

/// Fetches a part from the peers that have a newer version of it until the newest is in force, or
/// none of them is left to ask.
///
/// Asks another peer beside one that has not served it within [`NEXT_SOURCE_DELAY`].
async fn fetch_newest(gateway: &Gateway, part: StatePart) {
    let (sender, ended) = bounded(FETCHES_MAX);
    // Those under way are cancelled when the version is in force.
    let mut tasks = Vec::new();
    let mut running = 0;
    loop {
        let in_force = part.current_version(gateway);
        let sources = &part.fetch_state(gateway).sources;
        if !sources.borrow().has_newer(in_force) {
            return;
        }
        let next = if running < FETCHES_MAX {
            let random = rand::random();
            sources
                .borrow_mut()
                .take(in_force, SOURCE_TRIES_MAX, random)
        } else {
            None
        };
        if let Some((peer, version)) = next {
            running += 1;
            tasks.push(spawn_fetch(gateway, part, (peer, version), sender.clone()));
        } else if running == 0 {
            return;
        }
        let ended_source = async { ended.recv().await.ok() };
        let next_is_due = async {
            Timer::after(NEXT_SOURCE_DELAY).await;
            None
        };
        if let Some(peer) = ended_source.or(next_is_due).await {
            running -= 1;
            sources.borrow_mut().end(peer);
        }
    }
}

/// Starts to fetch a part from a peer; `ended` gets the address of the peer at the end.
fn spawn_fetch(
    gateway: &Gateway,
    part: StatePart,
    (peer, version): (SocketAddrV4, u64),
    ended: Sender<SocketAddrV4>,
) -> Task<()> {
    let cloned = gateway.clone();
    gateway.state.lanes.spawn(async move {
        let started = Instant::now();
        let in_force = part.current_version(&cloned);
        let result = with_timeout(fetch(&cloned, peer, part)).await;
        record_fetch(peer, part, version, started, result);
        if part.current_version(&cloned) > in_force {
            spread_version(&cloned);
        }
        // Fails if the version has arrived meanwhile.
        let _ = ended.send(peer).await;
    })
}

/// Sends this VM's state to some others at once, so that they can fetch from it as well.
fn spread_version(gateway: &Gateway) {
    let peers = peer_addresses(gateway).into_iter();
    let chosen = peers.choose_multiple(&mut rand::rng(), SPREAD_PEERS);
    let cloned = gateway.clone();
    gateway.spawn(async move { send_state(&cloned, &chosen).await });
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
        offer_source(gateway, peer, StatePart::Holders, 1);
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
