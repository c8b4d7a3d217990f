//! A VM whose thread is busy with the connections of its clients.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use futures_lite::future::yield_now;
use ibisdale_relay::gateway::{Gateway, TaskLanes};
use ibisdale_relay::plan::DeploymentPlan;

use crate::fleet_support::VmCommand;
use crate::support::{POLL_INTERVAL, ScriptedReplica, TestGateway, TestGatewayOptions, plan};

/// Number of clients' tasks that are always ready to run.
const TASKS: u64 = 2_000;
/// Time that each poll of such a task takes.
const POLL_TIME: Duration = Duration::from_millis(1);
/// Number of polls after which the test gives up.
const POLLS_MAX: u64 = 3 * TASKS;

/// Load of a gateway's thread by clients, and what is seen of it; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct BusyLoad {
    polls: Arc<AtomicU64>,
    /// Version of the configuration in force at the latest poll.
    version: Arc<AtomicU64>,
}

impl BusyLoad {
    /// Occupies the thread of a gateway.
    pub(crate) fn begin(&self, gateway: &Gateway, lanes: &TaskLanes) {
        for _ in 0..TASKS {
            let (load, gateway) = (self.clone(), gateway.clone());
            lanes.spawn_client(load.keep_busy(gateway)).detach();
        }
    }

    async fn keep_busy(self, gateway: Gateway) {
        loop {
            let started = Instant::now();
            while started.elapsed() < POLL_TIME {}
            self.polls.fetch_add(1, Ordering::Relaxed);
            let version = gateway.plan().map_or(0, |plan| plan.get_version());
            self.version.store(version, Ordering::Relaxed);
            yield_now().await;
        }
    }

    /// Returns the number of polls until a version is in force, or at which the test gives up.
    fn polls_until(&self, version: u64) -> u64 {
        let polls = || self.polls.load(Ordering::Relaxed);
        let before = polls();
        while self.version.load(Ordering::Relaxed) < version && polls() - before < POLLS_MAX {
            thread::sleep(POLL_INTERVAL);
        }
        polls() - before
    }
}

/// Returns the configuration that follows the first one.
pub(crate) fn next_plan() -> DeploymentPlan {
    let first = plan();
    let routes = first.get_routes().to_vec();
    let workspaces = first.get_workspaces().to_vec();
    DeploymentPlan::new(2, first.get_limits(), routes, Vec::new(), Some(workspaces))
}

#[test]
fn vm_that_is_busy_with_clients_follows_a_change_before_each_of_them_has_run_once() {
    let replica = ScriptedReplica::start(|_, _| (Vec::new(), false));
    let first = TestGateway::start(&[&replica]);
    let load = BusyLoad::default();
    let options = TestGatewayOptions {
        seed: Some(first.peer_address),
        busy: Some(load.clone()),
        ..TestGatewayOptions::default()
    };
    let _second = TestGateway::start_with(&[&replica], options);
    first.wait_for_vms(2);
    first.command(VmCommand::Apply(Box::new(next_plan())));
    first.command(VmCommand::Announce);
    let polls = load.polls_until(2);
    assert!(polls < TASKS, "in force after {polls} polls of clients");
}
