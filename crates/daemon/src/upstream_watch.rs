//! Watches the platform's VM list and tells the control thread of upstream VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ibisdale_platform::wire::{VmEntry, VmList, VmState};
use ibisdale_platform::{VmListClient, VmListOptions};
use smol::Task;

use crate::context::DaemonContext;
use crate::control::{UpstreamGroup, UpstreamVm};

/// Time between two looks at the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Group of the VMs that run daemons.
const DAEMON_GROUP: &str = "daemons";

/// The running watch.
#[derive(Debug)]
pub(crate) struct UpstreamWatch {
    client: Arc<VmListClient>,
    task: Task<()>,
}

impl UpstreamWatch {
    /// Starts to watch the VM list at `address`.
    pub(crate) fn start(address: SocketAddr, context: &Arc<DaemonContext>) -> Self {
        let options = VmListOptions::new(address).interval(LIST_INTERVAL);
        let client = Arc::new(VmListClient::start(options, &context.executor));
        let task = watch_list(Arc::clone(&client), Arc::clone(context));
        let task = context.executor.spawn(task);
        Self { client, task }
    }

    /// Stops the watch.
    pub(crate) async fn close(self) {
        self.task.cancel().await;
        if let Some(client) = Arc::into_inner(self.client) {
            client.close().await;
        }
    }
}

async fn watch_list(client: Arc<VmListClient>, context: Arc<DaemonContext>) {
    loop {
        let snapshot = client.get_latest();
        if snapshot.read_at.is_some() {
            let vms: Vec<UpstreamVm> = snapshot.list.vms.iter().filter_map(upstream_vm).collect();
            context
                .pools
                .retain(|address| vms.iter().any(|vm| vm.address == address));
            context.upstreams.store(Arc::new(vms.clone()));
            context.control.set_upstreams(vms);
            context.members.propose(daemon_addresses(&snapshot.list));
        }
        client.changed().await;
    }
}

fn daemon_addresses(list: &VmList) -> Vec<SocketAddr> {
    let daemons = list.vms.iter().filter(|entry| entry.group == DAEMON_GROUP);
    daemons.map(|entry| entry.address).collect()
}

fn upstream_vm(entry: &VmEntry) -> Option<UpstreamVm> {
    if entry.group == DAEMON_GROUP {
        return None;
    }
    Some(UpstreamVm {
        group: UpstreamGroup(Bytes::from(entry.group.clone())),
        address: entry.address,
        failure_domain: Bytes::from(entry.failure_domain.clone()),
        is_leaving: entry.state == VmState::Leaving,
    })
}
