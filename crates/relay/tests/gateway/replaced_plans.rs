//! What began under a version of the configuration that has been replaced since.

use std::thread;
use std::time::Duration;

use ibisdale_relay::plan::{DeploymentPlan, ExecutionSemantics, RouteRule};

use crate::fleet_support::{StoreStandIn, VmCommand, start_fleet_with};
use crate::support::{ScriptedReplica, header, plan};

/// Time after which streams and programs of a version with the shortest times are forgotten;
/// includes an interval between removals of what has expired.
const SHORT_MEMORY: Duration = Duration::from_secs(4);

/// Changes the routes of the configuration at the start.
type RouteChange = fn(&mut Vec<RouteRule>);

/// Returns version `number` of the configuration.
fn next_plan(number: u64, change: RouteChange) -> Box<DeploymentPlan> {
    let first = plan();
    let mut routes = first.get_routes().to_vec();
    change(&mut routes);
    Box::new(DeploymentPlan::new(
        number,
        first.get_limits(),
        routes,
        first.get_services().to_vec(),
        Some(first.get_workspaces().to_vec()),
    ))
}

/// A replica whose streams break off after an event, and end with the one after the last that the
/// client has.
fn replica(version: &'static str) -> ScriptedReplica {
    let script = move |_: usize, request: &str| {
        let attempt = header(request, "t-attempt").unwrap_or_default();
        let after: Option<u64> = header(request, "last-event-id").and_then(|id| id.parse().ok());
        let id = after.unwrap_or_default() + 1;
        let event = format!("id: {id}\ndata: {version}\n\n");
        let end = if after.is_some() { "0\r\n\r\n" } else { "" };
        let response = format!(
            "HTTP/1.1 200 OK\r\nt-attempt: {attempt}\r\nt-seal: s\r\n\
             Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n{end}",
            event.len()
        );
        (response.into_bytes(), after.is_some())
    };
    ScriptedReplica::start(script).with_version(version)
}

fn stream(attempt: &str, extra_headers: &str) -> String {
    format!(
        "POST /stream/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: {attempt}\r\n\
         t-deadline: 9000\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\
         Content-Length: 0\r\n{extra_headers}\r\n"
    )
}

/// Lowers the time-outs of all routes.
fn lower_timeouts(routes: &mut Vec<RouteRule>) {
    for route in routes {
        route.timeout_ms = 500;
    }
}

/// Removes all routes whose streams can be resumed.
fn remove_streams(routes: &mut Vec<RouteRule>) {
    routes.retain(|route| route.kind != ExecutionSemantics::StreamResumable);
}

/// Leaves the routes as they are at the start.
fn restore_routes(_: &mut Vec<RouteRule>) {}

/// Begins a stream at v1, replaces its replica by one of v2 and applies `changes`, with a pause
/// after the first; returns the response to the client that takes the stream up, and the number of
/// requests at v2.
fn take_up_after(changes: &[RouteChange]) -> (String, usize) {
    let replicas = [replica("v1"), replica("v2")];
    let store = StoreStandIn::default();
    store.record_version("v2");
    let fleet = start_fleet_with(&[&replicas[0]], 2, &store);
    let began = fleet[0].call(&stream("a1", ""));
    assert!(began.contains("data: v1"), "{began}");
    for vm in &fleet {
        vm.command(VmCommand::List(vec![replicas[1].info(1)], 2));
    }
    for (number, change) in (2..).zip(changes) {
        for vm in &fleet {
            vm.command(VmCommand::Apply(next_plan(number, *change)));
        }
        if number == 2 {
            thread::sleep(SHORT_MEMORY);
        }
    }
    let headers = "Last-Event-Id: 1\r\nt-resumes: a1\r\n";
    let response = fleet[1].call(&stream("a2", headers));
    (response, replicas[1].requests().len())
}

/// Guards against streams that are joined to another version after their time-out was lowered.
#[test]
fn stream_keeps_its_version_after_its_timeout_is_lowered() {
    let (response, at_v2) = take_up_after(&[lower_timeouts]);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(at_v2, 0);
}

/// Guards against streams that are joined to another version after their route was away.
#[test]
fn stream_keeps_its_version_after_its_route_was_away() {
    let (response, at_v2) = take_up_after(&[remove_streams, restore_routes]);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(at_v2, 0);
}
