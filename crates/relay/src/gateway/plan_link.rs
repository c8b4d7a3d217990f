//! Passing the configuration and the list of replicas on between daemons.
//!
//! Only a few VMs follow the key-value service; the others get what is new from
//! them. A VM that the service turns away, or that starts during an outage, gets
//! the state in force in the same way.

use std::io;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::{Async, Timer};

use super::state::Gateway;
use crate::decide::ReplicaInfo;
use crate::plan::DeploymentPlan;

/// Time in which a transfer must be over.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest transfer that is taken, in bytes.
const TRANSFER_MAX_BYTES: u64 = 16 * 1_024 * 1_024;
/// Time in which a VM that follows the service itself sees a change there.
const OWN_WATCH_DELAY: Duration = Duration::from_millis(150);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkSubject {
    Plan,
    Replicas,
}

impl LinkSubject {
    /// The byte by which a daemon asks for it.
    const fn code(self) -> u8 {
        match self {
            Self::Plan => b'p',
            Self::Replicas => b'r',
        }
    }

    fn known_version(self, gateway: &Gateway) -> u64 {
        match self {
            Self::Plan => gateway.plan().map_or(0, |plan| plan.get_version()),
            Self::Replicas => gateway.state.replicas_version.get(),
        }
    }
}

/// Hands what is in force to each daemon that asks.
pub(crate) async fn serve(gateway: Gateway, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let sender = gateway.clone();
                gateway.spawn(async move {
                    if let Err(error) = within(answer(&sender, stream)).await {
                        log::debug!("passing state on to {peer} failed: {error}");
                    }
                });
            }
            Err(error) => {
                log::debug!("accepting a peer failed: {error}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn answer(gateway: &Gateway, mut stream: Async<TcpStream>) -> io::Result<()> {
    let mut code = [0_u8];
    stream.read_exact(&mut code).await?;
    let data = if code[0] == LinkSubject::Replicas.code() {
        let version = gateway.state.replicas_version.get();
        postcard::to_stdvec(&(version, gateway.replica_facts()))
    } else {
        let Some(plan) = gateway.plan() else {
            return Ok(());
        };
        postcard::to_stdvec(&(gateway.state.plan_revision.get(), plan.as_ref()))
    };
    let data = data.map_err(io::Error::other)?;
    stream.write_all(&data).await
}

async fn within<T>(transfer: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let expire = async {
        Timer::after(TRANSFER_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    transfer.or(expire).await
}

/// Fetches a newer version from a peer unless it arrives otherwise.
pub(crate) fn fetch_soon(
    gateway: &Gateway,
    peer: SocketAddrV4,
    subject: LinkSubject,
    version: u64,
) {
    let fetching = match subject {
        LinkSubject::Plan => &gateway.state.is_fetching_plan,
        LinkSubject::Replicas => &gateway.state.is_fetching_replicas,
    };
    if fetching.replace(true) {
        return;
    }
    let fetcher = gateway.clone();
    gateway.spawn(async move {
        if fetcher.is_reader() {
            Timer::after(OWN_WATCH_DELAY).await;
        }
        if subject.known_version(&fetcher) < version
            && let Err(error) = within(fetch(&fetcher, peer, subject)).await
        {
            log::info!("the state of {peer} can't be had: {error}");
        }
        let fetching = match subject {
            LinkSubject::Plan => &fetcher.state.is_fetching_plan,
            LinkSubject::Replicas => &fetcher.state.is_fetching_replicas,
        };
        fetching.set(false);
    });
}

async fn fetch(gateway: &Gateway, peer: SocketAddrV4, subject: LinkSubject) -> io::Result<()> {
    let mut stream = Async::<TcpStream>::connect(peer).await?;
    stream.write_all(&[subject.code()]).await?;
    let mut data = Vec::new();
    stream
        .take(TRANSFER_MAX_BYTES)
        .read_to_end(&mut data)
        .await?;
    match subject {
        LinkSubject::Plan => {
            let (revision, plan): (u64, DeploymentPlan) =
                postcard::from_bytes(&data).map_err(io::Error::other)?;
            gateway.apply_plan(plan.with_indexes(), revision, "peer");
        }
        LinkSubject::Replicas => {
            let (version, facts): (u64, Vec<ReplicaInfo>) =
                postcard::from_bytes(&data).map_err(io::Error::other)?;
            gateway.set_replicas(facts, version);
        }
    }
    Ok(())
}
