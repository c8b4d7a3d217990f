//! Passing the configuration on between daemons.
//!
//! A VM that the key-value service turns away learns a new version from any
//! other VM, and one that starts during an outage gets the version in force.

use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::{Async, Timer};

use super::state::Gateway;
use crate::plan::DeploymentPlan;

/// Time in which a transfer must be over.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest configuration that is taken, in bytes.
const PLAN_MAX_BYTES: u64 = 16 * 1_024 * 1_024;
/// Time that the key-value service has to tell of a version itself.
const FETCH_DELAY: Duration = Duration::from_millis(150);

/// Hands the configuration in force to each daemon that connects.
pub(crate) async fn serve(gateway: Gateway, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let sender = gateway.clone();
                gateway.spawn(async move { send_plan(sender, stream).await });
            }
            Err(error) => {
                log::debug!("accepting a peer failed: {error}");
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn send_plan(gateway: Gateway, mut stream: Async<TcpStream>) {
    let Some(plan) = gateway.plan() else {
        return;
    };
    let data = match postcard::to_stdvec(&(gateway.state.plan_revision.get(), plan.as_ref())) {
        Ok(data) => data,
        Err(error) => {
            log::error!("the configuration can't be written for a peer: {error}");
            return;
        }
    };
    let write = async { stream.write_all(&data).await };
    let expire = async {
        Timer::after(TRANSFER_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    if let Err(error) = write.or(expire).await {
        log::debug!("passing the configuration on failed: {error}");
    }
}

/// Fetches a newer version from a peer unless it arrives otherwise.
pub(crate) fn fetch_soon(gateway: &Gateway, peer: SocketAddrV4, version: u64) {
    let fetcher = gateway.clone();
    if fetcher.state.is_fetching.replace(true) {
        return;
    }
    gateway.spawn(async move {
        Timer::after(FETCH_DELAY).await;
        let known = fetcher.plan().map_or(0, |plan| plan.get_version());
        if known < version {
            let fetch = fetch(peer);
            let expire = async {
                Timer::after(TRANSFER_TIMEOUT).await;
                Err(std::io::ErrorKind::TimedOut.into())
            };
            match fetch.or(expire).await {
                Ok((revision, plan)) => fetcher.apply_plan(plan.indexed(), revision, "peer"),
                Err(error) => log::info!("the configuration of {peer} can't be had: {error}"),
            }
        }
        fetcher.state.is_fetching.set(false);
    });
}

async fn fetch(peer: SocketAddrV4) -> std::io::Result<(u64, DeploymentPlan)> {
    let stream = Async::<TcpStream>::connect(peer).await?;
    let mut data = Vec::new();
    stream.take(PLAN_MAX_BYTES).read_to_end(&mut data).await?;
    postcard::from_bytes(&data).map_err(std::io::Error::other)
}
