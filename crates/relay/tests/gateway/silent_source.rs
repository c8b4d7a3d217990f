//! A VM whose source of the configuration does not serve it.

use std::io::Read;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::Duration;

use crate::busy::next_plan;
use crate::fleet_support::VmCommand;
use crate::support::{
    POLL_INTERVAL, ScriptedReplica, TestGateway, TestGatewayOptions, free_address,
};

/// Maximum size of a datagram, in bytes.
const DATAGRAM_MAX_BYTES: usize = 65_536;
/// Byte that requests the configuration.
const PLAN_REQUEST: u8 = b'p';

/// A VM that names the version of another one and does not serve it.
struct SilentSource {
    address: SocketAddrV4,
    socket: UdpSocket,
    listener: TcpListener,
}

impl SilentSource {
    fn bind() -> Self {
        let address = free_address();
        Self {
            address,
            socket: UdpSocket::bind(address).unwrap(),
            listener: TcpListener::bind(address).unwrap(),
        }
    }

    /// Returns the next datagram from a VM.
    fn receive_from(&self, origin: SocketAddrV4) -> Vec<u8> {
        let mut datagram = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            let (size, sender) = self.socket.recv_from(&mut datagram).unwrap();
            if sender == SocketAddr::from(origin) {
                datagram.truncate(size);
                return datagram;
            }
        }
    }

    /// Passes the datagrams of a VM on to another one until the test ends.
    fn pass_on(&self, origin: SocketAddrV4, receiver: SocketAddrV4) {
        let passed_on = Self {
            address: self.address,
            socket: self.socket.try_clone().unwrap(),
            listener: self.listener.try_clone().unwrap(),
        };
        thread::spawn(move || {
            loop {
                let datagram = passed_on.receive_from(origin);
                passed_on.socket.send_to(&datagram, receiver).unwrap();
            }
        });
    }

    /// Sends a datagram again and again until the test ends.
    fn repeat(&self, datagram: Vec<u8>, receiver: SocketAddrV4) {
        let socket = self.socket.try_clone().unwrap();
        thread::spawn(move || {
            loop {
                socket.send_to(&datagram, receiver).unwrap();
                thread::sleep(POLL_INTERVAL);
            }
        });
    }

    /// Returns the next connection on which the configuration is requested.
    fn accept_plan_request(&self) -> TcpStream {
        loop {
            let (mut connection, _) = self.listener.accept().unwrap();
            let mut part = [0];
            if connection.read(&mut part).unwrap() == 1 && part == [PLAN_REQUEST] {
                return connection;
            }
        }
    }
}

/// Reads until the other end closes the connection.
fn wait_for_close(mut connection: TcpStream) {
    // A reset is a close too.
    let _ = connection.read_to_end(&mut Vec::new());
}

fn request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: host.test\r\nConnection: close\r\n\r\n")
}

/// Returns the first line and the body of a response.
fn summarize(response: &str) -> String {
    let status = response.lines().next().unwrap_or_default();
    let body = response.split("\r\n\r\n").nth(1).unwrap_or_default();
    format!("{status}: {body}")
}

#[test]
fn configuration_that_its_announcer_does_not_serve_is_fetched_from_another_vm_meanwhile() {
    let replica = ScriptedReplica::start(|_, _| (Vec::new(), false));
    let source = SilentSource::bind();
    let seeded = TestGatewayOptions {
        seed: Some(source.address),
        ..TestGatewayOptions::default()
    };
    let without_plan = TestGatewayOptions {
        has_no_plan: true,
        is_feed_unconfirmed: true,
        ..seeded.clone()
    };
    let second = TestGateway::start_with(&[], without_plan);
    let first = TestGateway::start_with(&[&replica], seeded);
    source.pass_on(first.peer_address, second.peer_address);
    wait_for_close(source.accept_plan_request());
    let response = second.call(&request("/none/"));
    insta::assert_snapshot!(summarize(&response), @"HTTP/1.1 404 Not Found: no such route");
}

/// Returns what a VM answers before and after it has heard of a newer configuration that nobody
/// serves.
fn answers_around_a_newer_plan(options: TestGatewayOptions) -> String {
    let replica = ScriptedReplica::start(|_, _| (Vec::new(), false));
    let source = SilentSource::bind();
    let seeded = TestGatewayOptions {
        seed: Some(source.address),
        ..TestGatewayOptions::default()
    };
    let first = TestGateway::start_with(&[&replica], seeded);
    first.command(VmCommand::Apply(Box::new(next_plan())));
    first.command(VmCommand::Announce);
    let mut newest = Vec::new();
    // The first ones may have been sent before.
    for _ in 0..4 {
        newest = source.receive_from(first.peer_address);
    }
    first.kill();
    let second = TestGateway::start_with(&[&replica], options);
    let before = second.call(&request("/none/"));
    source.repeat(newest, second.peer_address);
    let _unanswered = source.accept_plan_request();
    let after = ["/none/", "/read/"].map(|path| second.call(&request(path)));
    [&before, &after[0], &after[1]]
        .map(|response| summarize(response))
        .join("\n")
}

#[test]
fn vm_that_can_not_get_a_newer_configuration_does_not_prove_by_the_one_before() {
    let answers = answers_around_a_newer_plan(TestGatewayOptions::default());
    insta::assert_snapshot!(answers, @"
    HTTP/1.1 404 Not Found: no such route
    HTTP/1.1 503 Service Unavailable: the configuration may be outdated
    HTTP/1.1 503 Service Unavailable: the configuration may be outdated
    ");
}

#[test]
fn vm_that_can_not_get_a_newer_configuration_in_time_serves_nothing_by_the_one_before() {
    let options = TestGatewayOptions {
        plan_outdated_max: Some(Duration::ZERO),
        ..TestGatewayOptions::default()
    };
    let answers = answers_around_a_newer_plan(options);
    insta::assert_snapshot!(answers, @"
    HTTP/1.1 404 Not Found: no such route
    HTTP/1.1 503 Service Unavailable: the configuration is outdated
    HTTP/1.1 503 Service Unavailable: the configuration is outdated
    ");
}
