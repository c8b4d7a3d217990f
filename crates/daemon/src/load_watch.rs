//! Reads the load reports of upstream replicas.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ibisdale_policy::LoadReport;
use ibisdale_upstreams::LoadClient;
use smol::Task;

use crate::clock::unix_now;
use crate::context::DaemonContext;

/// Time between two reads of a replica's load.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Thousandths in a whole.
const PERMILLE: u64 = 1_000;

/// The running reads.
#[derive(Debug)]
pub(crate) struct LoadWatch {
    task: Task<()>,
}

impl LoadWatch {
    /// Starts to read the load of all replicas that have a pool.
    pub(crate) fn start(context: &Arc<DaemonContext>) -> Self {
        let task = read_all(Arc::clone(context));
        Self {
            task: context.executor.spawn(task),
        }
    }

    /// Stops the reads.
    pub(crate) async fn close(self) {
        self.task.cancel().await;
    }
}

async fn read_all(context: Arc<DaemonContext>) {
    let reading: Arc<Mutex<HashSet<SocketAddr>>> = Arc::default();
    loop {
        for address in context.pools.addresses() {
            let is_new = reading
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(address);
            if is_new {
                let context = Arc::clone(&context);
                let executor = ibisdale_net::TrafficExecutor::clone(&context.executor);
                let reading = Arc::clone(&reading);
                let task = async move {
                    read_load(&context, address).await;
                    reading
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .remove(&address);
                };
                executor.spawn(task).detach();
            }
        }
        smol::Timer::after(READ_INTERVAL).await;
    }
}

async fn read_load(context: &DaemonContext, address: SocketAddr) {
    let credential = context.upstream_credential(address);
    let client = LoadClient::new(context.pools.get(address), credential);
    match client.read_load().await {
        Ok(report) => context.control.record_load(address, to_policy(&report)),
        Err(error) => log::debug!("no load report: {error}"),
    }
}

fn to_policy(report: &ibisdale_upstreams::LoadReport) -> LoadReport {
    let clamp = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
    let used = report.held_tokens.saturating_mul(PERMILLE);
    let permille = used.checked_div(report.capacity_tokens).unwrap_or(0);
    LoadReport {
        queue_length: clamp(report.waiting),
        running: clamp(report.running),
        kv_use_permille: u16::try_from(permille).unwrap_or(u16::MAX),
        at: unix_now(),
    }
}
