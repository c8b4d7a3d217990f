//! Requests whose bodies do not fit into the memory for clients.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::support::{ScriptedReplica, TestGateway, TestGatewayOptions};

/// Longer than the time in which a body counts as new.
const STALL: Duration = Duration::from_millis(1_200);

fn start_gateway(replica: &ScriptedReplica) -> TestGateway {
    let options = TestGatewayOptions {
        client_memory_bytes: Some(900),
        ..TestGatewayOptions::default()
    };
    TestGateway::start_with(&[replica], options)
}

fn start_replica() -> ScriptedReplica {
    ScriptedReplica::start(|_, _| {
        let response =
            b"HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 2\r\n\r\nhi";
        (response.to_vec(), true)
    })
}

fn message(sent: usize) -> String {
    let body = "x".repeat(sent);
    format!(
        "POST /act/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\n\
         Authorization: Bearer secret\r\nConnection: close\r\nContent-Length: 800\r\n\r\n{body}"
    )
}

/// Guards against unfinished bodies that keep others out, and against refusals that a client
/// can't read or that are untrue.
#[test]
fn stalled_body_makes_room_and_its_client_reads_the_refusal() {
    let replica = start_replica();
    let gateway = start_gateway(&replica);
    let mut stalled = TcpStream::connect(gateway.entry).unwrap();
    stalled.write_all(message(799).as_bytes()).unwrap();
    thread::sleep(STALL);
    let answer = gateway.call(&message(800));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    // Data that arrives after the refusal must not reset the connection.
    stalled.write_all(b"more").unwrap();
    let mut refusal = String::new();
    stalled.read_to_string(&mut refusal).unwrap();
    let (head, body) = refusal.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 503"), "{refusal:?}");
    assert!(head.contains("connection: close"), "{refusal:?}");
    assert!(head.contains("retry-after: 0.100"), "{refusal:?}");
    assert_eq!(body, "the body arrives too slowly while memory is short");
    assert_eq!(replica.requests().len(), 1);
}

/// Guards against memory that is not released after an answer, a refusal or a disconnect.
#[test]
fn memory_is_free_again_after_each_request() {
    let replica = start_replica();
    let gateway = start_gateway(&replica);
    for _ in 0..3 {
        let answer = gateway.call(&message(800));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        let too_large = message(800).replace("800\r\n\r\n", "1000\r\n\r\n");
        let answer = gateway.call(&too_large);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
        let mut gone = TcpStream::connect(gateway.entry).unwrap();
        gone.write_all(message(10).as_bytes()).unwrap();
        drop(gone);
        thread::sleep(STALL);
    }
}

/// Guards against a slow client whose body takes longer than the timeout of the route.
#[test]
fn slow_body_is_served_while_memory_is_free() {
    let replica = start_replica();
    let gateway = start_gateway(&replica);
    let text = message(800).replace("/act/", "/brief/");
    let (first, last) = text.split_at(text.len() - 1);
    let mut stream = TcpStream::connect(gateway.entry).unwrap();
    stream.write_all(first.as_bytes()).unwrap();
    thread::sleep(2 * STALL);
    stream.write_all(last.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}
