//! Releases what engines hold of ended programs.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ibisdale_core::ProgramId;
use ibisdale_net::TrafficExecutor;
use ibisdale_programs::{CleanupKey, CleanupRequest};
use ibisdale_telemetry::record_event;
use ibisdale_upstreams::SessionClient;
use smol::Task;

use crate::context::DaemonContext;

/// Time between two looks at the requests that are not confirmed.
const ORDER_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two sweeps of an engine for sessions of no living program.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Orders under way at most.
const ORDERS_MAX: usize = 64;

/// The running clean-up.
#[derive(Debug)]
pub(crate) struct CleanupTask {
    task: Task<()>,
}

impl CleanupTask {
    /// Starts the clean-up.
    pub(crate) fn start(context: &Arc<DaemonContext>) -> Self {
        let cleaner = Arc::new(SessionCleaner {
            context: Arc::clone(context),
            running: Mutex::default(),
        });
        Self {
            task: context.executor.spawn(cleaner.run()),
        }
    }

    /// Stops the clean-up.
    pub(crate) async fn close(self) {
        self.task.cancel().await;
    }
}

struct SessionCleaner {
    context: Arc<DaemonContext>,
    running: Mutex<HashSet<CleanupKey>>,
}

impl SessionCleaner {
    async fn run(self: Arc<Self>) {
        let mut next_sweep = Instant::now() + SWEEP_INTERVAL;
        loop {
            self.start_orders().await;
            if Instant::now() >= next_sweep {
                next_sweep = Instant::now() + SWEEP_INTERVAL;
                self.start_sweeps();
            }
            smol::Timer::after(ORDER_INTERVAL).await;
        }
    }

    async fn start_orders(self: &Arc<Self>) {
        let requests = self.context.control.cleanups().await;
        let backlog = u32::try_from(requests.len()).unwrap_or(u32::MAX);
        self.context.metrics.set_cleanup_backlog(backlog);
        for (key, request) in requests {
            if self.begin(key) {
                let cleaner = Arc::clone(self);
                let executor = TrafficExecutor::clone(&self.context.executor);
                executor.spawn(cleaner.release(key, request)).detach();
            }
        }
    }

    fn begin(&self, key: CleanupKey) -> bool {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.len() < ORDERS_MAX && running.insert(key)
    }

    async fn release(self: Arc<Self>, key: CleanupKey, request: CleanupRequest) {
        if self.is_released(&request).await {
            self.context.control.confirm_cleanup(key).await;
        }
        self.running
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&key);
    }

    /// Tells whether the engine holds nothing of the program any more.
    async fn is_released(&self, request: &CleanupRequest) -> bool {
        let Some(address) = parse_address(request) else {
            return true;
        };
        let Some(client) = self.client(address) else {
            return true;
        };
        match client.release(request.program, request.epoch).await {
            Ok(_) => true,
            Err(error) => {
                let (upstream, session) = (address, request.program);
                record_event!(
                    ReleasePending,
                    upstream = upstream,
                    session = session,
                    error = error
                );
                false
            }
        }
    }

    /// Returns a client of an engine, unless the engine's VM is gone.
    fn client(&self, address: SocketAddr) -> Option<SessionClient> {
        let pool = self.context.pools.find(address)?;
        Some(SessionClient::new(
            pool,
            self.context.upstream_credential(address),
        ))
    }

    fn start_sweeps(self: &Arc<Self>) {
        for address in self.context.engine_addresses() {
            let cleaner = Arc::clone(self);
            let executor = TrafficExecutor::clone(&self.context.executor);
            executor
                .spawn(async move { cleaner.sweep(address).await })
                .detach();
        }
    }

    async fn sweep(&self, address: SocketAddr) {
        let Some(client) = self.client(address) else {
            return;
        };
        let Ok(sessions) = client.list().await else {
            return;
        };
        let held: Vec<ProgramId> = sessions
            .iter()
            .filter_map(ibisdale_upstreams::SessionReport::get_program)
            .collect();
        self.context.control.sweep_engine(address, held);
    }
}

fn parse_address(request: &CleanupRequest) -> Option<SocketAddr> {
    std::str::from_utf8(request.engine.as_bytes())
        .ok()?
        .parse()
        .ok()
}
