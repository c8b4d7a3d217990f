//! Number of replicas that a request is sent to.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener};
use std::thread;

use rstest::rstest;

use crate::support::{ScriptedReplica, TestGateway, free_address, header};

/// Number of streams that are begun, at replicas chosen at random.
const STREAMS: usize = 20;
/// Number of events in a stream.
const EVENTS: u64 = 4;

fn request(attempt: &str) -> String {
    format!(
        "POST /stream/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: {attempt}\r\n\
         t-deadline: 5000\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Returns the first two events of a stream that never ends.
fn broken_stream(attempt: &str, extra_headers: &str) -> Vec<u8> {
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let head = format!(
        "HTTP/1.1 200 OK\r\nt-attempt: {attempt}\r\nt-seal: s\r\n{extra_headers}\
         Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n",
        events.len()
    );
    head.into_bytes()
}

/// What a replica does besides breaking off the streams that begin at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// It refuses to resume them.
    Refuses,
    /// It says that it leaves.
    Leaves,
}

fn replica(behaviour: Behaviour) -> ScriptedReplica {
    ScriptedReplica::start(move |_, request| {
        let attempt = header(request, "t-attempt").unwrap_or_default();
        if header(request, "last-event-id").is_some() {
            let refusal = format!(
                "HTTP/1.1 503 Busy\r\nt-attempt: {attempt}\r\nt-not-run: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return (refusal.into_bytes(), true);
        }
        let leaving = match behaviour {
            Behaviour::Refuses => "",
            Behaviour::Leaves => "t-leaving: 1\r\n",
        };
        (broken_stream(attempt, leaving), false)
    })
}

/// Guards against streams that go on at a second replica while the first still serves.
#[rstest]
#[case::replica_refuses_the_resumption(Behaviour::Refuses)]
#[case::replica_leaves(Behaviour::Leaves)]
fn stream_goes_on_at_one_replica_where_its_route_allows_one(#[case] behaviour: Behaviour) {
    let replicas = [replica(behaviour), replica(Behaviour::Refuses)];
    let gateway = TestGateway::start(&replicas.each_ref());
    for number in 0..STREAMS {
        let attempt = format!("a{number}");
        gateway.call(&request(&attempt));
        let has_request = |replica: &&ScriptedReplica| {
            let requests = replica.requests();
            let mut attempts = requests.iter().map(|text| header(text, "t-attempt"));
            attempts.any(|sent| sent == Some(&attempt))
        };
        let reached = replicas.iter().filter(has_request).count();
        assert_eq!(reached, 1, "replicas that got {attempt}");
    }
}

/// Starts a replica that says that it leaves and ends in the middle of its first stream.
fn start_ending_replica() -> ScriptedReplica {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0_u8; 4_096];
        let size = stream.read(&mut buffer).unwrap();
        let text = String::from_utf8_lossy(&buffer[..size]).into_owned();
        let attempt = header(&text, "t-attempt").unwrap_or_default();
        stream
            .write_all(&broken_stream(attempt, "t-leaving: 1\r\n"))
            .unwrap();
        // The listener is closed first, as the kernel does when the process ends.
        drop(listener);
    });
    ScriptedReplica::at(address)
}

/// Guards against streams that break off with a replica whose end was planned.
#[test]
fn stream_of_a_replica_that_has_left_goes_on_elsewhere() {
    let survivor = ScriptedReplica::start(|_, request| {
        let attempt = header(request, "t-attempt").unwrap_or_default();
        let after: u64 = header(request, "last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or_default();
        let events = (after + 1..=EVENTS).map(|id| format!("id: {id}\ndata: c\n\n"));
        let events = events.collect::<Vec<_>>().concat();
        let response = format!(
            "HTTP/1.1 200 OK\r\nt-attempt: {attempt}\r\nt-seal: s\r\n\
             Content-Length: {}\r\n\r\n{events}",
            events.len()
        );
        (response.into_bytes(), true)
    });
    for _ in 0..STREAMS {
        let ending = start_ending_replica();
        let gateway = TestGateway::start(&[&ending, &survivor]);
        let response = gateway.call(&request("a"));
        assert!(response.contains("id: 4"), "{response}");
    }
}

/// Number of replicas that can't be reached.
const GONE_REPLICAS: usize = 40;

/// Guards against requests that are refused with time left after a fixed number of replicas that
/// are gone and still listed.
#[test]
fn request_is_served_by_the_only_replica_that_can_be_reached() {
    let gone = (0..GONE_REPLICAS).map(|_| ScriptedReplica::at(free_address().into()));
    let mut replicas: Vec<_> = gone.collect();
    replicas.push(ScriptedReplica::start(|_, _| {
        let response =
            "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 2\r\n\r\nok";
        (response.into(), true)
    }));
    let gateway = TestGateway::start(&replicas.iter().collect::<Vec<_>>());
    let response = gateway.call(
        "POST /act/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\nt-deadline: 5000\r\n\
         Authorization: Bearer secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    );
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}
