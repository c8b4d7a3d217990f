//! Memory and descriptors of a daemon's process while crowds of clients misbehave.
//!
//! The tests start real processes and check only that the daemon lives, stays within the limits of
//! its settings and answers an ordinary request afterwards; they check no times and no share of
//! served requests.

mod support;

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use ibisdale_standins::{ClientCrowd, CrowdPlan, CrowdRequest, exchange, pipelined};
use support::{KERMESSE_KEY, OPERATOR_KEY, TestFleet, wait_until};

/// Memory of the daemon in its settings, in megabytes; the bound of its peak.
const MEMORY_MB: u64 = 96;
/// Descriptors of the daemon in its settings; the bound of its open ones.
const DESCRIPTORS: usize = 384;
/// Clients that send at the same time.
const CLIENTS: usize = 60;
/// Size of a legal body, in bytes; all together exceed the memory.
const BODY_BYTES: usize = 3_900_000;
/// Connections without a complete request; more than the descriptors.
const CONNECTIONS: usize = 600;
const CHAT: &str =
    r#"{"model": "small", "messages": [{"role": "user", "content": "Which talk is next?"}]}"#;

/// Only one fleet with a crowd of clients runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Bodies were collected without a bound on their sum (issue 51).
#[test]
fn whole_bodies_stay_within_the_memory() {
    check_crowd(|entry, _| {
        let body = caller_request("/v1/chat/completions").unfinished_body(BODY_BYTES);
        CrowdPlan::new(entry, CLIENTS, body).send()
    });
}

/// Bodies were collected without a bound on their sum (issue 51).
#[test]
fn bodies_in_pieces_stay_within_the_memory() {
    check_crowd(|entry, _| {
        let body = caller_request("/v1/chat/completions").unfinished_body(BODY_BYTES);
        CrowdPlan::new(entry, CLIENTS, body).piece(10_000).send()
    });
}

/// Bodies were collected without a bound on their sum (issue 51).
#[test]
fn large_chunks_stay_within_the_memory() {
    check_crowd(|entry, _| {
        let request = caller_request("/v1/chat/completions");
        let body = request.unfinished_chunks(BODY_BYTES, 100_000);
        CrowdPlan::new(entry, CLIENTS, body).send()
    });
}

/// Bodies were collected without a bound on their sum (issue 51).
#[test]
fn small_chunks_stay_within_the_memory() {
    check_crowd(|entry, _| {
        let request = caller_request("/v1/chat/completions");
        let body = request.unfinished_chunks(BODY_BYTES, 100);
        CrowdPlan::new(entry, CLIENTS, body).send()
    });
}

/// A body of many short values took many times its size once it was parsed.
#[test]
fn parsed_bodies_stay_within_the_memory() {
    check_crowd(|entry, _| {
        let values = "0,".repeat(BODY_BYTES / 2 - 100);
        let body = format!(r#"{{"model":"small","messages":[{values}0]}}"#);
        let request = caller_request("/v1/chat/completions").body(body.as_bytes());
        CrowdPlan::new(entry, CLIENTS, request).send()
    });
}

/// Connections without a complete request took descriptors without a bound.
#[test]
fn idle_connections_stay_within_the_descriptors() {
    check_crowd(|entry, _| {
        let head = caller_request("/v1/chat/completions").unfinished_head(8_000);
        CrowdPlan::new(entry, CONNECTIONS, head).open()
    });
}

/// Settings of any size were collected without a bound on their sum.
#[test]
fn bodies_at_the_operator_address_stay_within_the_memory() {
    check_crowd(|_, daemon| {
        let key = format!("Bearer {OPERATOR_KEY}");
        let request = CrowdRequest::put("/admin/v1/settings").header("Host", "h");
        let request = request
            .header("Authorization", &key)
            .header("If-Match", "\"1\"");
        let body = request.unfinished_body(BODY_BYTES);
        let mut crowd = CrowdPlan::new(daemon.operator, CLIENTS, body).send();
        let head = b"GET /metrics HTTP/1.1\r\nX-Fill: ".to_vec();
        crowd.join(CrowdPlan::new(daemon.operator, CONNECTIONS, head).open());
        crowd
    });
}

/// Messages of other daemons were collected without a bound on their sum.
#[test]
fn connections_at_the_fleet_address_stay_within_the_limits() {
    check_crowd(|_, daemon| {
        let message = fleet_call(BODY_BYTES);
        let mut crowd = CrowdPlan::new(daemon.fleet, CLIENTS, message).send();
        crowd.join(CrowdPlan::new(daemon.fleet, CONNECTIONS, b"PRI ".to_vec()).open());
        crowd
    });
}

/// Responses that wait for their clients were not counted.
#[test]
fn responses_that_nobody_reads_stay_within_the_memory() {
    check_crowd(|_, daemon| {
        let request = CrowdRequest::get("/metrics").header("Host", "h").body(b"");
        CrowdPlan::new(daemon.operator, 40, pipelined(&request, 500)).send()
    });
}

/// Guards against refusals that a reset takes from a client that goes on sending.
#[test]
fn client_that_goes_on_sending_reads_its_refusal() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = TestFleet::start_with("memory_mb = 64\n");
    let key = format!("Bearer {OPERATOR_KEY}");
    let request = CrowdRequest::put("/admin/v1/settings").header("Host", "h");
    let request = request.header("Authorization", &key);
    // More than the memory for large bodies, and less than the limit of a body.
    let body = request.body(&vec![b'x'; 30_000_000]);
    let answer = exchange(fleet.daemons[0].operator, &body);
    let (head, body) = answer.split_once("\r\n\r\n").expect("a whole answer");
    assert!(head.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(head.contains("retry-after: 1"), "{answer:?}");
    assert!(body.contains(r#""code":"overloaded""#), "{answer:?}");
    assert!(body.contains(r#""run_state":"not_run""#), "{answer:?}");
}

fn caller_request(target: &str) -> CrowdRequest {
    let key = format!("Bearer {KERMESSE_KEY}");
    let request = CrowdRequest::post(target).header("Host", "h");
    request.header("Authorization", &key)
}

/// Returns an HTTP/2 connection with one call, whose message lacks its last byte.
fn fleet_call(length: usize) -> Vec<u8> {
    let frame = |kind: u8, flags: u8, stream: u8, payload: &[u8]| {
        let size = u32::try_from(payload.len())
            .expect("a short frame")
            .to_be_bytes();
        let mut frame = vec![size[1], size[2], size[3], kind, flags, 0, 0, 0, stream];
        frame.extend_from_slice(payload);
        frame
    };
    // Literal header fields without an index.
    let field = |name: &str, value: &str| {
        let mut field = vec![0, u8::try_from(name.len()).expect("a short name")];
        field.extend_from_slice(name.as_bytes());
        field.push(u8::try_from(value.len()).expect("a short value"));
        field.extend_from_slice(value.as_bytes());
        field
    };
    let fields = [
        field(":method", "POST"),
        field(":scheme", "http"),
        field(":path", "/ibisdale.fleet.v1.Fleet/Forward"),
        field(":authority", "h"),
        field("content-type", "application/grpc"),
        field("te", "trailers"),
    ];
    let mut call = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    call.extend(frame(4, 0, 0, &[]));
    call.extend(frame(1, 4, 1, &fields.concat()));
    let announced = u32::try_from(length + 1)
        .expect("a short message")
        .to_be_bytes();
    let message = [&[0][..], &announced, &vec![b'x'; length]].concat();
    for part in message.chunks(16_384) {
        call.extend(frame(0, 0, 1, part));
    }
    call
}

/// Starts daemons and a crowd, and checks the first daemon while the crowd keeps its connections.
fn check_crowd(start: impl Fn(SocketAddr, &support::DaemonProcess) -> ClientCrowd) {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let limits = format!("memory_mb = {MEMORY_MB}\nmax_descriptors = {DESCRIPTORS}\n");
    let fleet = TestFleet::start_with(&limits);
    let daemon = &fleet.daemons[0];
    let descriptors = daemon.watch_descriptors();
    let crowd = start(daemon.entry, daemon);
    daemon.usage().wait_until_idle().expect("the process ended");
    let request = caller_request("/v1/chat/completions").header("Connection", "close");
    wait_until("an ordinary request is answered", || {
        exchange(daemon.entry, &request.body(CHAT.as_bytes())).starts_with("HTTP/1.1 200")
    });
    let peak_kb = daemon.usage().peak_memory_kb().expect("the process ended");
    let most = descriptors.most();
    println!("peak {peak_kb} kB, {most} descriptors");
    crowd.close();
    let bound_kb = MEMORY_MB * 1_000_000 / 1_024;
    assert!(
        peak_kb <= bound_kb,
        "peak {peak_kb} kB, bound {bound_kb} kB"
    );
    assert!(most <= DESCRIPTORS, "{most} descriptors");
}
