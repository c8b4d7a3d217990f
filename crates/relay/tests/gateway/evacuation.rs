//! Evacuation of failure domains across VMs.

use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::fleet_support::VmCommand;
use crate::support::{
    POLL_INTERVAL, POLLS_MAX, ScriptedReplica, TestGateway, TestGatewayOptions, header, start_pair,
};

impl TestGateway {
    /// Polls until a request gets a response with `status`, and returns it.
    fn wait_for_status(&self, text: &str, status: u16) -> String {
        for _ in 0..POLLS_MAX {
            let response = self.call(text);
            if response.starts_with(&format!("HTTP/1.1 {status}")) {
                return response;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("no response had status {status} in time");
    }

    /// Passes evacuated domains to the gateway and returns once they are applied.
    fn evacuate(&self, domains: &'static [&'static str], revision: u64) {
        let commands = self.commands.as_ref().unwrap();
        let command = VmCommand::Evacuate(domains, revision);
        commands.send_blocking(command).unwrap();
        // The channel holds one command, so the third is sent once the first is done.
        self.freeze(Duration::ZERO);
        self.freeze(Duration::ZERO);
    }
}

fn request(target: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\nt-deadline: 9000\r\n\
         Authorization: Bearer secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    )
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 32\r\n\r\n";

fn replica(domain: &'static str) -> ScriptedReplica {
    let events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
    let response = format!("{HEAD}{events}").into_bytes();
    let mut replica = ScriptedReplica::start(move |_, _| (response.clone(), true));
    replica.domain = domain;
    replica
}

/// Guards against VMs that go on sending to an evacuated domain since they did not learn of it
/// from the VM that did, and against ones that never send there again.
#[test]
fn service_in_one_domain_is_refused_by_all_vms_until_the_domain_returns() {
    let replica = replica("east");
    let (first, second) = start_pair(&[&replica]);
    first.evacuate(&["east", "unknown"], 5);
    for vm in [&first, &second] {
        let refusal = vm.wait_for_status(&request("/act/x"), 503);
        assert_eq!(header(&refusal, "retry-after"), Some("1.000"));
    }
    let sent = replica.requests().len();
    // A view that is older arrives late.
    second.evacuate(&[], 4);
    for vm in [&first, &second] {
        let response = vm.call(&request("/stream/x"));
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    }
    assert_eq!(replica.requests().len(), sent);
    second.evacuate(&["unknown"], 6);
    for vm in [&first, &second] {
        vm.wait_for_status(&request("/act/x"), 200);
    }
}

/// Guards against a VM that starts during an evacuation and sends requests before it knows of it.
#[test]
fn vm_that_starts_learns_of_the_evacuation_with_the_configuration() {
    let (east, west) = (replica("east"), replica("west"));
    let first = TestGateway::start(&[&east, &west]);
    first.evacuate(&["east"], 5);
    let second = TestGateway::start_with(
        &[],
        TestGatewayOptions {
            is_feed_unconfirmed: true,
            has_no_plan: true,
            seed: Some(first.peer_address),
            ..TestGatewayOptions::default()
        },
    );
    second.wait_for_status(&request("/act/x"), 200);
    for _ in 0..20 {
        second.call(&request("/act/x"));
    }
    assert_eq!(east.requests(), Vec::<String>::new());
}

/// Guards against retries and resumed streams that reach an evacuated domain, where the request
/// began before the evacuation.
#[rstest]
#[case::retry("/read/x")]
#[case::same_replica("/stream/x")]
#[case::resumed("/talk/x")]
fn request_that_is_under_way_does_not_return_to_the_domain(#[case] target: &str) {
    let (arrived, arrival) = channel();
    let (resume, resumed) = channel::<()>();
    let resumed = Mutex::new(resumed);
    let east = ScriptedReplica::start(move |_, _| {
        arrived.send(()).unwrap();
        // Fails once the test has ended.
        let _ = resumed.lock().unwrap().recv();
        // Breaks off after the first of two events.
        (format!("{HEAD}id: 1\ndata: e1\n\n").into_bytes(), false)
    });
    // Another replica of the domain, which would get the request next.
    let other = ScriptedReplica::at(east.address);
    let gateway = TestGateway::start(&[&east, &other]);
    thread::scope(|scope| {
        scope.spawn(|| gateway.call(&request(target)));
        arrival.recv().unwrap();
        gateway.evacuate(&["east"], 6);
        resume.send(()).unwrap();
        // A further request to the domain must not wait, so that the test ends.
        drop(resume);
    });
    assert_eq!(east.requests().len(), 1);
}
