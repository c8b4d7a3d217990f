//! Streams at replicas of two software versions.

use crate::fleet_support::{StoreStandIn, start_fleet_with};
use crate::support::{ScriptedReplica, TestGateway, TestGatewayOptions, header};

/// Number of streams that each test begins, at replicas chosen at random.
const STREAMS: usize = 40;
/// Number of events in a stream.
const EVENTS: u64 = 4;

fn request(attempt: &str, extra_headers: &str) -> String {
    request_on("stream", attempt, extra_headers)
}

fn request_on(route: &str, attempt: &str, extra_headers: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: {attempt}\r\n\
         t-deadline: 5000\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\
         Content-Length: 0\r\n{extra_headers}\r\n"
    )
}

/// Starts a replica that breaks off each new stream after two events and completes each
/// stream that goes on; the data of its events is its version.
fn replica(version: &'static str, refuses_resumptions: bool) -> ScriptedReplica {
    let script = move |_: usize, request: &str| {
        let attempt = header(request, "t-attempt").unwrap_or_default();
        let after: Option<u64> = header(request, "last-event-id").and_then(|id| id.parse().ok());
        if refuses_resumptions && after.is_some() {
            let refusal = format!(
                "HTTP/1.1 503 Busy\r\nt-attempt: {attempt}\r\nt-not-run: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return (refusal.into_bytes(), true);
        }
        let last = if after.is_some() { EVENTS } else { 2 };
        let ids = after.unwrap_or_default() + 1..=last;
        let events = ids.map(|id| format!("id: {id}\ndata: {version}\n\n"));
        let events = events.collect::<Vec<_>>().concat();
        let head = format!(
            "HTTP/1.1 200 OK\r\nt-attempt: {attempt}\r\nt-seal: s\r\n\
             Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n",
            events.len()
        );
        let end = if after.is_some() { "0\r\n\r\n" } else { "" };
        ((head + end).into_bytes(), after.is_some())
    };
    ScriptedReplica::start(script).with_version(version)
}

/// Returns the versions whose replicas made the events of a response, in order.
fn event_versions(response: &str) -> Vec<&str> {
    let lines = response.lines();
    lines
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}

fn is_complete(response: &str) -> bool {
    response.ends_with("0\r\n\r\n")
}

#[test]
fn stream_does_not_go_on_at_another_version_within_a_response() {
    // The route allows two replicas, and resumptions go to another one of which some refuse.
    let replicas = [
        replica("v1", true),
        replica("v1", false),
        replica("v1", false),
        replica("v2", true),
        replica("v2", false),
        replica("v2", false),
    ];
    let gateway = TestGateway::start(&replicas.each_ref());
    let mut complete = 0;
    for number in 0..STREAMS {
        let response = gateway.call(&request_on("talk", &format!("a{number}"), ""));
        let mut versions = event_versions(&response);
        complete += usize::from(versions.len() == 4 && is_complete(&response));
        versions.dedup();
        assert_eq!(versions.len(), 1, "{response}");
    }
    assert_eq!(complete, STREAMS);
}

#[test]
fn stream_taken_up_at_another_vm_does_not_go_on_at_another_version() {
    let first_replicas = [replica("v1", true), replica("v2", true)];
    let first = TestGateway::start(&first_replicas.each_ref());
    let options = TestGatewayOptions {
        seed: Some(first.peer_address),
        ..TestGatewayOptions::default()
    };
    let replicas = [replica("v1", false), replica("v2", false)];
    let second = TestGateway::start_with(&replicas.each_ref(), options);
    first.wait_for_vms(2);
    second.wait_for_vms(2);
    for number in 0..STREAMS {
        let began = first.call(&request(&format!("a{number}"), ""));
        let headers = format!("Last-Event-Id: 2\r\nt-resumes: a{number}\r\n");
        let taken_up = second.call(&request(&format!("b{number}"), &headers));
        let mut versions = event_versions(&began);
        versions.extend(event_versions(&taken_up));
        assert_eq!(versions.len(), 4, "{began}\n{taken_up}");
        versions.dedup();
        assert_eq!(versions.len(), 1, "{began}\n{taken_up}");
    }
}

/// Guards against streams that are lost with all VMs but one, which had no copy of their origin.
#[test]
fn stream_goes_on_at_the_only_vm_that_survives() {
    let replicas = [replica("v1", true), replica("v2", true)];
    let mut fleet = start_fleet_with(&replicas.each_ref(), 7, &StoreStandIn::default());
    let survivor = fleet.pop().unwrap();
    let broken_off = |number: usize| fleet[0].call(&request(&format!("a{number}"), ""));
    let responses: Vec<_> = (0..STREAMS).map(broken_off).collect();
    for vm in fleet {
        vm.kill();
    }
    for (number, response) in responses.iter().enumerate() {
        let headers = format!("Last-Event-Id: 2\r\nt-resumes: a{number}\r\n");
        survivor.call(&request(&format!("b{number}"), &headers));
        let version = event_versions(response)[0];
        let reached = |replica: &ScriptedReplica| {
            let requests = replica.requests();
            let mut attempts = requests.iter().map(|text| header(text, "t-attempt"));
            attempts.any(|attempt| attempt == Some(&format!("b{number}")))
        };
        let expected = [version == "v1", version == "v2"];
        assert_eq!(replicas.each_ref().map(reached), expected, "{number}");
    }
}

#[test]
fn stream_that_nobody_knows_is_refused_while_two_versions_serve() {
    let replicas = [replica("v1", false), replica("v2", false)];
    let gateway = TestGateway::start(&replicas.each_ref());
    let headers = "Last-Event-Id: 2\r\nt-resumes: unknown\r\n";
    let response = gateway.call(&request("a1", headers));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let sent = replicas.iter().map(|replica| replica.requests().len());
    assert_eq!(sent.sum::<usize>(), 0);
}

/// Starts a VM that hears no other one, and whose list has replicas of `v1` only.
fn start_alone(replica: &ScriptedReplica, recorded: &[&'static str]) -> TestGateway {
    let options = TestGatewayOptions {
        store: StoreStandIn::default(),
        ..TestGatewayOptions::default()
    };
    for version in recorded {
        options.store.record_version(version);
    }
    TestGateway::start_with(&[replica], options)
}

#[test]
fn stream_that_nobody_knows_goes_on_if_only_one_version_can_have_begun_it() {
    let replica = replica("v1", false);
    let gateway = start_alone(&replica, &["v1"]);
    let response = gateway.call(&request("a1", "Last-Event-Id: 2\r\n"));
    assert_eq!(event_versions(&response), ["v1", "v1"], "{response}");
    assert!(is_complete(&response));
}

/// A VM that was cut off or stood still while a version joined took its old list for whole.
#[test]
fn vm_out_of_step_does_not_join_a_stream_to_another_version() {
    let replica = replica("v1", false);
    let gateway = start_alone(&replica, &["v1", "v2"]);
    let headers = "Last-Event-Id: 2\r\nt-resumes: unknown\r\n";
    let response = gateway.call(&request("a1", headers));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(replica.requests().is_empty());
}

/// A VM that the store does not answer can't know which versions have joined.
#[test]
fn vm_without_a_record_does_not_join_a_stream_to_another_version() {
    let replica = replica("v1", false);
    let gateway = start_alone(&replica, &[]);
    let headers = "Last-Event-Id: 2\r\nt-resumes: unknown\r\n";
    let response = gateway.call(&request("a1", headers));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(replica.requests().is_empty());
}
