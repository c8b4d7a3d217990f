//! Requests that crash the replicas that run them.

use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::support::{
    ScriptedReplica, TestGateway, TestGatewayOptions, header, read_message, start_pair,
};

/// Number of crashes after which a request must not be sent on.
const CRASHES_MAX: usize = 3;
/// Time for which a replica that crashed accepts no connections.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Time after which VMs no longer repeat to each other what they have seen.
const REPEAT_TIME: Duration = Duration::from_millis(3_200);

/// What a replica does with a request that crashes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crash {
    /// It ends before it has answered.
    AtOnce,
    /// It ends in the middle of its stream.
    AfterAnEvent,
    /// It only closes the connection.
    ConnectionOnly,
}

/// A replica that ends, and is back after [`DOWN_TIME`], when it runs a request whose body is
/// "deadly".
struct FragileReplica {
    address: SocketAddr,
    crashes: Arc<AtomicUsize>,
}

impl FragileReplica {
    fn start(crash: Crash) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let crashes: Arc<AtomicUsize> = Arc::default();
        let counter = Arc::clone(&crashes);
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                let current = listener.take();
                let current = current.unwrap_or_else(|| TcpListener::bind(address).unwrap());
                run_until_crash(current, crash);
                counter.fetch_add(1, Ordering::SeqCst);
                thread::sleep(DOWN_TIME);
            }
        });
        Self { address, crashes }
    }

    /// Returns the replica as gateways list it.
    fn listed(&self) -> ScriptedReplica {
        ScriptedReplica::at(self.address)
    }

    fn crashes(&self) -> usize {
        self.crashes.load(Ordering::SeqCst)
    }
}

/// Serves connections until a request crashes the replica, and closes all sockets then, the
/// listener first: the kernel closes those of a process in the order in which it opened them.
fn run_until_crash(listener: TcpListener, crash: Crash) {
    let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let has_crashed = Arc::new(AtomicBool::new(false));
    let address = listener.local_addr().unwrap();
    while let Ok((stream, _)) = listener.accept() {
        if has_crashed.load(Ordering::SeqCst) {
            break;
        }
        streams.lock().unwrap().push(stream.try_clone().unwrap());
        let has_crashed = Arc::clone(&has_crashed);
        thread::spawn(move || {
            if serve_until_crash(stream, crash) {
                has_crashed.store(true, Ordering::SeqCst);
                // Ends the wait for the next connection.
                let _ = TcpStream::connect(address);
            }
        });
    }
    drop(listener);
    for stream in streams.lock().unwrap().iter() {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Answers requests; returns whether one of them crashes the replica.
fn serve_until_crash(mut stream: TcpStream, crash: Crash) -> bool {
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer) {
        let attempt = header(&request, "t-attempt").unwrap().to_owned();
        let next =
            header(&request, "last-event-id").map_or(1, |last| last.parse().unwrap_or(0) + 1);
        let events = format!("id: {next}\ndata: e\n\nid: {}\ndata: e\n\n", next + 1);
        let head = format!(
            "HTTP/1.1 200 OK\r\nt-attempt: {attempt}\r\nt-seal: s\r\nContent-Length: {}\r\n\r\n",
            events.len()
        );
        if request.ends_with("deadly") {
            if crash == Crash::AfterAnEvent {
                let event = &events[..events.len() / 2];
                let _ = stream.write_all(format!("{head}{event}").as_bytes());
            }
            if crash == Crash::ConnectionOnly {
                let _ = stream.shutdown(Shutdown::Both);
            }
            return crash != Crash::ConnectionOnly;
        }
        if stream
            .write_all(format!("{head}{events}").as_bytes())
            .is_err()
        {
            return false;
        }
    }
    false
}

fn request(target: &str, attempt: &str, body: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nHost: host.test\r\nt-attempt: {attempt}\r\nt-deadline: 5000\r\n\
         Authorization: Bearer secret\r\nt-program: {attempt}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn start_fleet(replicas: &[FragileReplica]) -> [TestGateway; 2] {
    let listed: Vec<_> = replicas.iter().map(FragileReplica::listed).collect();
    let listed: Vec<_> = listed.iter().collect();
    start_pair(&listed).into()
}

fn count_crashes(replicas: &[FragileReplica]) -> usize {
    replicas.iter().map(FragileReplica::crashes).sum()
}

/// Guards against a request that is sent on to replica after replica (incident BUDGET).
#[rstest]
fn request_that_crashes_replicas_ends_three_at_most(
    #[values("/read/x", "/act/x", "/stream/x")] target: &str,
    #[values(Crash::AtOnce, Crash::AfterAnEvent)] crash: Crash,
) {
    let replicas = [(); 8].map(|()| FragileReplica::start(crash));
    let vms = start_fleet(&replicas);
    let mut last = String::new();
    let mut innocents = Vec::new();
    for index in 0..12 {
        last = vms[index % 2].call(&request(target, &format!("a{index}"), "deadly"));
        innocents.push(vms[(index + 1) % 2].call(&request(target, &format!("i{index}"), "fine")));
    }
    let crashes = count_crashes(&replicas);
    assert!(crashes <= CRASHES_MAX, "{crashes} replicas ended");
    assert!(last.starts_with("HTTP/1.1 503"), "{last}");
    let retry_after: f64 = header(&last, "retry-after").unwrap().parse().unwrap();
    assert!(retry_after > 500.0, "{last}");
    for innocent in innocents {
        assert!(innocent.starts_with("HTTP/1.1 200"), "{innocent}");
    }
}

/// Guards against forms of a request that are not recognised, as their bodies have grown.
#[test]
fn request_whose_body_grows_ends_three_replicas_at_most() {
    let replicas = [(); 8].map(|()| FragileReplica::start(Crash::AtOnce));
    let vms = start_fleet(&replicas);
    for index in 0..12 {
        let body = "x".repeat(300 + 50 * index) + "deadly";
        vms[index % 2].call(&request("/stream/x", &format!("a{index}"), &body));
    }
    let crashes = count_crashes(&replicas);
    assert!(crashes <= CRASHES_MAX, "{crashes} replicas ended");
}

/// Guards against copies that run side by side and end a replica each.
#[test]
fn copies_sent_at_once_to_all_vms_end_few_replicas() {
    let replicas = [(); 8].map(|()| FragileReplica::start(Crash::AtOnce));
    let vms = start_fleet(&replicas);
    vms[0].call(&request("/act/x", "first", "deadly"));
    thread::scope(|scope| {
        for index in 0..16 {
            let vm = &vms[index % 2];
            scope.spawn(move || vm.call(&request("/act/x", &format!("a{index}"), "deadly")));
        }
    });
    let crashes = count_crashes(&replicas);
    assert!(crashes <= CRASHES_MAX, "{crashes} replicas ended");
}

/// Guards against refusing innocent requests: replicas that close connections have not ended.
#[rstest]
fn request_whose_connections_are_lost_is_not_refused(
    #[values("/read/x", "/act/x", "/stream/x")] target: &str,
) {
    let replicas = [(); 4].map(|()| FragileReplica::start(Crash::ConnectionOnly));
    let vms = start_fleet(&replicas);
    for index in 0..8 {
        let response = vms[index % 2].call(&request(target, &format!("a{index}"), "deadly"));
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    }
    assert_eq!(count_crashes(&replicas), 0);
}

/// Guards against VMs that start and do not know which requests end replicas.
#[test]
fn vm_that_starts_refuses_what_the_others_refuse() {
    let replicas = [(); 8].map(|()| FragileReplica::start(Crash::AtOnce));
    let listed: Vec<_> = replicas.iter().map(FragileReplica::listed).collect();
    let listed: Vec<_> = listed.iter().collect();
    let first = TestGateway::start(&listed);
    for index in 0..4 {
        first.call(&request("/act/x", &format!("a{index}"), "deadly"));
    }
    thread::sleep(REPEAT_TIME);
    let options = TestGatewayOptions {
        is_feed_unconfirmed: true,
        has_no_plan: true,
        seed: Some(first.peer_address),
        ..TestGatewayOptions::default()
    };
    let second = TestGateway::start_with(&[], options);
    second.wait_for_vms(2);
    let response = second.call(&request("/act/x", "b", "deadly"));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(count_crashes(&replicas), CRASHES_MAX);
}
