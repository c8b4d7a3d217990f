//! Idle connections that are closed for new ones.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::support::{ScriptedReplica, TestGateway, TestGatewayOptions};

/// File descriptors of the process.
const DESCRIPTORS: f64 = 32.0;
/// Number of connections that these allow.
const CONNECTIONS: usize = 16;
/// Time for which the gateway stands still, and within which requests and connections arrive.
const PAUSE: Duration = Duration::from_millis(500);
const REQUEST: &str = "GET /act/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\n\
                       Authorization: Bearer secret\r\n\r\n";
const RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 2\r\n\r\nhi";

/// Sends a request and returns whether it is answered before the connection is closed.
fn is_answered(mut connection: &TcpStream) -> bool {
    let mut data = [0; 4_096];
    matches!(connection.read(&mut data), Ok(size) if size > 0)
}

#[test]
fn request_on_an_idle_connection_that_is_closed_for_a_new_one_is_not_passed_on() {
    let replica = ScriptedReplica::start(|_, _| (RESPONSE.into(), true));
    let options = TestGatewayOptions {
        descriptors: Some(DESCRIPTORS),
        ..TestGatewayOptions::default()
    };
    let gateway = TestGateway::start_with(&[&replica], options);
    let connect = || TcpStream::connect(gateway.entry).unwrap();
    let mut idle = connect();
    // Leaves a kept connection to the replica, on which a request is sent at once.
    let mut last = connect();
    last.write_all(REQUEST.as_bytes()).unwrap();
    assert!(is_answered(&last));
    let _others: Vec<_> = (2..CONNECTIONS).map(|_| connect()).collect();
    thread::sleep(PAUSE);
    gateway.freeze(PAUSE);
    thread::sleep(PAUSE / 5);
    let _new = connect();
    idle.write_all(REQUEST.as_bytes()).unwrap();
    let answered = 1 + usize::from(is_answered(&idle));
    assert_eq!(replica.requests().len(), answered);
}
