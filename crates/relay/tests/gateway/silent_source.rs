//! A VM whose source of the configuration does not serve it.

use std::io::Read;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::thread;

use crate::support::{ScriptedReplica, TestGateway, TestGatewayOptions, free_address};

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
