//! Exchange of state and budget counts between two gateways.

use std::thread;
use std::time::Duration;

use bytes::Bytes;
use ibisdale_relay::plan::{DeploymentPlan, WorkspaceSpec};

use crate::fleet_support::{StoreStandIn, VmCommand, start_fleet_with};
use crate::support::{ScriptedReplica, header, plan, start_pair};

/// Number of workspaces, whose homes differ.
const WORKSPACES: usize = 8;
/// Time in which VMs apply a configuration.
const APPLY_TIME: Duration = Duration::from_millis(500);

fn stream_request(headers: &str) -> String {
    format!(
        "POST /stream/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\nt-deadline: 5000\r\n\
         Authorization: Bearer secret\r\nConnection: close\r\nContent-Length: 0\r\n{headers}\r\n"
    )
}

fn replica() -> ScriptedReplica {
    ScriptedReplica::start(|_, _| {
        let head = "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 32\r\n\r\n";
        let events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
        (format!("{head}{events}").into_bytes(), true)
    })
}

#[test]
fn vm_without_feed_serves_with_state_from_peer() {
    let replica = replica();
    let (_first, second) = start_pair(&[&replica]);
    let response = second.call(&stream_request(""));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(header(&response, "t-seal"), Some("s"));
}

#[test]
fn calls_through_all_vms_count_against_budget() {
    let replica = replica();
    let (first, second) = start_pair(&[&replica]);
    let headers =
        |program: &str| format!("t-program: {program}\r\nt-budget: 10\r\nt-usage: 5,9\r\n");
    // The second call is refused whichever VM is the program's home.
    for program in ["p1", "p2", "p3", "p4", "p5", "p6"] {
        let first_response = first.call(&stream_request(&headers(program)));
        let second_response = second.call(&stream_request(&headers(program)));
        assert!(
            first_response.starts_with("HTTP/1.1 200"),
            "{first_response}"
        );
        assert!(
            second_response.starts_with("HTTP/1.1 402"),
            "{second_response}"
        );
    }
    assert_eq!(replica.requests().len(), 6);
}

#[test]
fn counts_of_drained_vm_are_kept() {
    let replica = replica();
    let (first, mut second) = start_pair(&[&replica]);
    let headers =
        |program: &str| format!("t-program: {program}\r\nt-budget: 10\r\nt-usage: 5,9\r\n");
    let programs = ["p1", "p2", "p3", "p4", "p5", "p6"];
    for program in programs {
        let response = second.call(&stream_request(&headers(program)));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    second.start_drain();
    first.wait_for_vms(1);
    drop(second);
    for program in programs {
        let response = first.call(&stream_request(&headers(program)));
        assert!(response.starts_with("HTTP/1.1 402"), "{response}");
    }
}

/// Guards against a write load that grows with the number of homes, as it did when each
/// home wrote the ceilings of its own programs.
#[test]
fn one_vm_writes_the_ceilings_of_all_homes() {
    let replica = replica();
    let (first, second) = start_pair(&[&replica]);
    let headers =
        |program: &str| format!("t-program: {program}\r\nt-budget: 20\r\nt-usage: 5,9\r\n");
    for program in ["p1", "p2", "p3", "p4", "p5", "p6"] {
        for _ in 0..5 {
            let response = first.call(&stream_request(&headers(program)));
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
    }
    let ceilings_by_vm = [first.ceilings(), second.ceilings()];
    let writers = ceilings_by_vm
        .iter()
        .filter(|ceilings| !ceilings.is_empty());
    assert_eq!(writers.count(), 1, "{ceilings_by_vm:?}");
}

/// Returns a configuration with workspaces whose rates are too low for a VM to admit requests
/// without a home.
fn plan_with_low_rates() -> Box<DeploymentPlan> {
    let first = plan();
    let workspaces = (0..WORKSPACES).map(|number| WorkspaceSpec {
        name: Bytes::from(format!("workspace-{number}")),
        keys: vec![Bytes::from(format!("key-{number}"))],
        priority: None,
        rate_per_s: 2.0,
        burst: 10.0,
    });
    Box::new(DeploymentPlan::new(
        2,
        first.get_limits(),
        first.get_routes().to_vec(),
        first.get_services().to_vec(),
        Some(workspaces.collect()),
    ))
}

/// Guards against requests below their rate that are refused with time left, since the first three
/// homes are gone and not yet known to be silent.
#[test]
fn requests_are_admitted_at_the_only_vm_that_survives() {
    let replica = replica();
    let mut fleet = start_fleet_with(&[&replica], 7, &StoreStandIn::default());
    for vm in &fleet {
        vm.command(VmCommand::Apply(plan_with_low_rates()));
    }
    thread::sleep(APPLY_TIME);
    let survivor = fleet.pop().unwrap();
    for vm in fleet {
        vm.kill();
    }
    let statuses = thread::scope(|scope| {
        let calls = (0..WORKSPACES).map(|number| {
            let request = stream_request("").replace("secret", &format!("key-{number}"));
            let survivor = &survivor;
            scope.spawn(move || survivor.call(&request)["HTTP/1.1 ".len()..][..3].to_owned())
        });
        let calls: Vec<_> = calls.collect();
        let statuses = calls.into_iter().map(|call| call.join().unwrap());
        statuses.collect::<Vec<_>>()
    });
    assert_eq!(statuses, ["200"; WORKSPACES]);
}
