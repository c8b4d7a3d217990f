//! The VM list's client keeps the last good list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ibisdale_net::TrafficExecutor;
use ibisdale_platform::wire::{VmEntry, VmState};
use ibisdale_platform::{VmListClient, VmListOptions};
use ibisdale_standins::VmListServer;

const INTERVAL: Duration = Duration::from_millis(5);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn vm(name: &str) -> VmEntry {
    VmEntry {
        name: name.to_owned(),
        group: "daemons".to_owned(),
        address: loopback(),
        failure_domain: "a".to_owned(),
        region: "r".to_owned(),
        state: VmState::Live,
    }
}

#[test]
fn last_good_list_is_kept_while_reads_fail() {
    let executor: TrafficExecutor = Arc::new(async_executor::Executor::new());
    smol::block_on(executor.run(async {
        let server = VmListServer::start(loopback(), &executor).expect("a free port");
        server.add_vm(vm("one"));
        let options = VmListOptions::new(server.get_address()).interval(INTERVAL);
        let client = VmListClient::start(options, &executor);
        client.changed().await;
        server.set_failing(true);
        while client.get_latest().failure_count < 2 {
            smol::Timer::after(INTERVAL).await;
        }
        assert_eq!(client.get_latest().list.vms, [vm("one")]);
        server.set_failing(false);
        server.set_state("one", VmState::Leaving);
        client.changed().await;
        let latest = client.get_latest();
        assert_eq!(latest.list.vms[0].state, VmState::Leaving);
        assert_eq!(latest.failure_count, 0);
        client.close().await;
        server.close().await;
    }));
}

#[test]
fn lag_hides_a_change() {
    let executor: TrafficExecutor = Arc::new(async_executor::Executor::new());
    smol::block_on(executor.run(async {
        let server = VmListServer::start(loopback(), &executor).expect("a free port");
        server.set_lag(Duration::from_hours(1));
        server.add_vm(vm("one"));
        let options = VmListOptions::new(server.get_address()).interval(INTERVAL);
        let client = VmListClient::start(options, &executor);
        while server.get_read_count() < 3 {
            smol::Timer::after(INTERVAL).await;
        }
        assert!(client.get_latest().list.vms.is_empty());
        client.close().await;
        server.close().await;
    }));
}
