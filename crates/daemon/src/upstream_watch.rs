//! Watches the platform's VM list and tells the control thread of upstream VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ibisdale_platform::wire::{VmEntry, VmList, VmState};
use ibisdale_platform::{VmListClient, VmListOptions};
use ibisdale_policy::{required_watchers, watched_replicas};
use smol::Task;

use crate::context::DaemonContext;
use crate::control::{UpstreamGroup, UpstreamVm};

/// Time between two looks at the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(3);
/// Replicas of a group that a daemon watches in any fleet.
const SUBSET_SIZE: usize = 24;
/// Daemons that watch a replica whatever else they watch.
const WATCHERS_MIN: usize = 2;
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
            let vms = watched_vms(vms, &context);
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

/// Keeps the replicas that this daemon watches and sends calls to: of each group
/// as many in any fleet, and those that hardly any other daemon watches.
fn watched_vms(vms: Vec<UpstreamVm>, context: &DaemonContext) -> Vec<UpstreamVm> {
    let mut groups: BTreeMap<UpstreamGroup, Vec<UpstreamVm>> = BTreeMap::new();
    for vm in vms {
        groups.entry(vm.group.clone()).or_default().push(vm);
    }
    let members = context.members.snapshot();
    let others = members.live().map(|update| update.facts.name.as_bytes());
    let daemons: Vec<&[u8]> = std::iter::once(context.identity.name.as_bytes())
        .chain(others)
        .collect();
    groups
        .into_values()
        .flat_map(|group| watched_of_group(group, &daemons))
        .collect()
}

/// Keeps the watched replicas of one group; `daemons` begins with this one.
fn watched_of_group(group: Vec<UpstreamVm>, daemons: &[&[u8]]) -> Vec<UpstreamVm> {
    if group.len() <= SUBSET_SIZE {
        return group;
    }
    let names: Vec<String> = group.iter().map(|vm| vm.address.to_string()).collect();
    let replicas: Vec<&[u8]> = names.iter().map(String::as_bytes).collect();
    let own = watched_replicas(daemons[0], &replicas, SUBSET_SIZE);
    let is_watched = |index: &usize| {
        own.contains(index)
            || required_watchers(replicas[*index], daemons, WATCHERS_MIN).contains(&0)
    };
    let kept: Vec<usize> = (0..group.len()).filter(is_watched).collect();
    kept.into_iter().map(|index| group[index].clone()).collect()
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
