//! Responses with neither a length nor chunks, which end with their connection.

use crate::support::{ScriptedReplica, TestGateway};

const HEAD: &str = "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\n\r\n";

fn request(path: &str) -> String {
    format!(
        "POST {path}x HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\nt-deadline: 3000\r\n\
         Authorization: Bearer secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Starts a replica that sends `body` and closes the connection; a stream that is taken up
/// gets events 2 and 3.
fn replica(body: &'static str) -> ScriptedReplica {
    ScriptedReplica::start(move |_, request| {
        let is_resumed = request.to_lowercase().contains("last-event-id");
        let rest = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        let body = if is_resumed { rest } else { body };
        (format!("{HEAD}{body}").into_bytes(), false)
    })
}

fn is_complete(response: &str) -> bool {
    response.ends_with("\r\n0\r\n\r\n")
}

#[test]
fn response_that_ends_with_its_connection_is_served_whole() {
    let gateway = TestGateway::start(&[&replica("whole body")]);
    let response = gateway.call(&request("/act/"));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("whole body"), "{response}");
}

#[test]
fn stream_that_ends_with_its_connection_is_served_whole() {
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let replica = replica(events);
    let gateway = TestGateway::start(&[&replica]);
    let response = gateway.call(&request("/stream/"));
    assert!(response.contains("data: a"), "{response}");
    assert!(response.contains("data: b") && is_complete(&response));
    assert_eq!(replica.requests().len(), 1);
}

/// A stream that ends inside an event has been broken off, and goes on after the last whole one.
#[test]
fn stream_that_ends_inside_an_event_goes_on() {
    let replica = replica("id: 1\ndata: a\n\nid: 2\nda");
    let gateway = TestGateway::start(&[&replica]);
    let response = gateway.call(&request("/stream/"));
    let data: Vec<_> = response
        .lines()
        .filter(|line| line.starts_with("data: "))
        .collect();
    assert_eq!(data, ["data: a", "data: b", "data: c"], "{response}");
    assert!(is_complete(&response), "{response}");
}

/// A stream that can't go on must not look complete.
#[test]
fn stream_that_ends_inside_an_event_does_not_look_complete() {
    let replica = ScriptedReplica::start(move |_, request| {
        let is_resumed = request.to_lowercase().contains("last-event-id");
        let body = if is_resumed {
            "id: 2\nda"
        } else {
            "id: 1\ndata: a\n\nid: 2\nda"
        };
        (format!("{HEAD}{body}").into_bytes(), false)
    });
    let gateway = TestGateway::start(&[&replica]);
    let response = gateway.call(&request("/stream/"));
    assert!(response.contains("data: a"), "{response}");
    assert!(!is_complete(&response), "{response}");
}
