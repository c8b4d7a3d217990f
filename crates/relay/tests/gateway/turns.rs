//! Routes whose turns are kept: bodies of continued turns, refusals and cut responses.

use rstest::rstest;

use crate::holder_support::TestHolder;
use crate::support::{ScriptedReplica, TestGateway, TestGatewayOptions, header};

fn turn_request(id: &str, previous: Option<&str>, input: &str) -> String {
    let previous = previous.map_or(String::new(), |id| format!("t-previous: {id}\r\n"));
    format!(
        "POST /turn/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: {id}\r\nt-deadline: 5000\r\n\
         Authorization: Bearer secret\r\nt-program: p1\r\nConnection: close\r\n{previous}\
         Content-Length: {}\r\n\r\n{input}",
        input.len()
    )
}

/// Returns a response of two events, the second with two lines of data.
fn turn_response(request: &str) -> Vec<u8> {
    let id = header(request, "t-attempt").unwrap();
    let events = format!("id: 1\ndata: one {id}\n\nid: 2\ndata:two\ndata: more\nother: x\n\n");
    format!(
        "HTTP/1.1 200 OK\r\nt-attempt: {id}\r\nt-seal: s\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n0\r\n\r\n",
        events.len()
    )
    .into_bytes()
}

fn start(holder: Option<&TestHolder>) -> (ScriptedReplica, TestGateway) {
    let replica = ScriptedReplica::start(|_, request| (turn_response(request), true));
    let options = TestGatewayOptions {
        holder: holder.map(|holder| holder.address),
        ..TestGatewayOptions::default()
    };
    let gateway = TestGateway::start_with(&[&replica], options);
    (replica, gateway)
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("none")
}

fn is_whole(response: &str) -> bool {
    response.ends_with("0\r\n\r\n")
}

fn bodies(replica: &ScriptedReplica) -> Vec<String> {
    let requests = replica.requests();
    let bodies = requests
        .iter()
        .map(|request| request.split_once("\r\n\r\n"));
    bodies.map(|parts| parts.unwrap().1.to_owned()).collect()
}

#[test]
fn replica_gets_what_was_said_before() {
    let holder = TestHolder::start();
    let (replica, gateway) = start(Some(&holder));
    for (id, previous, input) in [
        ("t1", None, "first"),
        ("t2", Some("t1"), "second"),
        ("t3", Some("t2"), "third"),
        ("branch", Some("t1"), "other"),
    ] {
        let response = gateway.call(&turn_request(id, previous, input));
        assert!(is_whole(&response), "{response}");
    }
    insta::assert_snapshot!(bodies(&replica).join("\n---\n"), @r"
    first
    ---
    firstone t1
    two
    more
    second
    ---
    firstone t1
    two
    more
    secondone t2
    two
    more
    third
    ---
    firstone t1
    two
    more
    other
    ");
    let sent = &replica.requests()[1];
    assert_eq!(header(sent, "t-previous"), Some("t1"));
}

#[test]
fn turn_is_found_by_a_gateway_that_did_not_serve_it() {
    let holder = TestHolder::start();
    let (_, gateway) = start(Some(&holder));
    gateway.call(&turn_request("t1", None, "first"));
    let (replica, other) = start(Some(&holder));
    let response = other.call(&turn_request("t2", Some("t1"), "second"));
    assert!(is_whole(&response));
    assert_eq!(bodies(&replica), ["firstone t1\ntwo\nmore\nsecond"]);
}

#[test]
fn turn_that_does_not_exist_is_refused_with_404_and_not_sent() {
    let holder = TestHolder::start();
    let (replica, gateway) = start(Some(&holder));
    let response = gateway.call(&turn_request("t2", Some("none"), "second"));
    assert_eq!(status(&response), "404");
    assert!(replica.requests().is_empty());
}

#[rstest]
#[case::unknown_holders(false)]
#[case::holder_is_down(true)]
fn turn_that_can_t_be_looked_up_is_refused_with_503(#[case] is_registered: bool) {
    let holder = TestHolder::start();
    let (replica, gateway) = start(is_registered.then_some(&holder));
    drop(holder);
    let response = gateway.call(&turn_request("t2", Some("t1"), "second"));
    assert_eq!(status(&response), "503");
    assert!(header(&response, "retry-after").is_some());
    assert!(replica.requests().is_empty());
}

#[test]
fn first_turn_is_refused_at_once_while_no_holder_is_known() {
    let (replica, gateway) = start(None);
    let response = gateway.call(&turn_request("t1", None, "first"));
    assert_eq!(status(&response), "503");
    assert!(replica.requests().is_empty());
}

#[test]
fn response_of_a_turn_that_can_t_be_kept_is_cut_after_its_events() {
    let holder = TestHolder::start();
    let (replica, gateway) = start(Some(&holder));
    drop(holder);
    let response = gateway.call(&turn_request("t1", None, "first"));
    assert_eq!(status(&response), "200");
    assert!(response.contains("data: more"), "{response}");
    assert!(!is_whole(&response));
    assert_eq!(replica.requests().len(), 1);
}

#[test]
fn chain_beyond_the_body_limit_is_refused_with_413() {
    let holder = TestHolder::start();
    let (replica, gateway) = start(Some(&holder));
    let input = "x".repeat(600);
    gateway.call(&turn_request("t1", None, &input));
    let response = gateway.call(&turn_request("t2", Some("t1"), &input));
    assert_eq!(status(&response), "413");
    assert_eq!(replica.requests().len(), 1);
}

/// Guards against bodies that turns lengthen beyond the memory for clients.
#[test]
fn chain_beyond_the_memory_for_clients_is_refused_with_503_and_not_sent() {
    let holder = TestHolder::start();
    let replica = ScriptedReplica::start(|_, request| (turn_response(request), true));
    let options = TestGatewayOptions {
        holder: Some(holder.address),
        client_memory_bytes: Some(1_200),
        ..TestGatewayOptions::default()
    };
    let gateway = TestGateway::start_with(&[&replica], options);
    let input = "x".repeat(450);
    let first = gateway.call(&turn_request("a1", None, &input));
    assert!(is_whole(&first), "{first:?}");
    let refused = gateway.call(&turn_request("a2", Some("a1"), &input));
    assert_eq!(status(&refused), "503", "{refused:?}");
    assert!(refused.contains("retry-after: 0.100"), "{refused:?}");
    assert_eq!(bodies(&replica).len(), 1);
    let short = gateway.call(&turn_request("a3", Some("a1"), "x"));
    assert!(is_whole(&short), "{short:?}");
}

#[test]
fn turn_that_broke_off_is_none() {
    let holder = TestHolder::start();
    let replica = ScriptedReplica::start(|_, request| {
        let mut response = turn_response(request);
        response.truncate(response.len() - 5);
        (response, false)
    });
    let options = TestGatewayOptions {
        holder: Some(holder.address),
        ..TestGatewayOptions::default()
    };
    let gateway = TestGateway::start_with(&[&replica], options);
    assert!(!is_whole(&gateway.call(&turn_request("t1", None, "first"))));
    let response = gateway.call(&turn_request("t2", Some("t1"), "second"));
    assert_eq!(status(&response), "404");
}
