//! Datagrams that no VM of the fleet sends.

use std::net::UdpSocket;
use std::thread;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::support::{ScriptedReplica, TestGateway, TestGatewayOptions, free_address};

/// Number of datagrams that are sent.
const DATAGRAMS: usize = 6_000;
/// Number of kinds of messages that are tried, more than there are.
const KINDS: u8 = 64;
/// Number of requests that may be refused before one is served, and the time between them.
const RETRIES: u32 = 100;
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

fn request() -> &'static str {
    "GET /read/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\nt-deadline: 5000\r\n\
     Authorization: Bearer secret\r\nConnection: close\r\n\r\n"
}

/// Returns a sound message with some bytes changed, or random bytes after the number of a kind.
fn odd_datagram(sound: &[u8], random: &mut Pcg64) -> Vec<u8> {
    if random.random() {
        let size = random.random_range(0..200);
        let mut bytes: Vec<u8> = (0..size).map(|_| random.random()).collect();
        bytes.insert(0, random.random_range(0..KINDS));
        return bytes;
    }
    let mut bytes = sound.to_vec();
    for _ in 0..random.random_range(1..6) {
        let at = random.random_range(0..bytes.len());
        bytes[at] = random.random();
    }
    bytes.truncate(random.random_range(1..=bytes.len()));
    bytes
}

/// A datagram of another sender must neither end the process nor keep it from serving.
#[test]
fn odd_datagrams_do_not_end_the_process() {
    let replica = ScriptedReplica::start(|_, _| {
        let response =
            "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 2\r\n\r\nok";
        (response.as_bytes().to_vec(), true)
    });
    let address = free_address();
    let peer = UdpSocket::bind(address).unwrap();
    peer.set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let options = TestGatewayOptions {
        seed: Some(address),
        ..TestGatewayOptions::default()
    };
    let gateway = TestGateway::start_with(&[&replica], options);
    // The state that the gateway sends to its seeds.
    let mut buffer = vec![0; 60_000];
    let (size, _) = peer.recv_from(&mut buffer).unwrap();
    let mut random = Pcg64::seed_from_u64(45);
    for _ in 0..DATAGRAMS {
        let datagram = odd_datagram(&buffer[..size], &mut random);
        peer.send_to(&datagram, gateway.peer_address).unwrap();
    }
    // VMs that only such datagrams named are asked until they have been silent for long enough.
    let mut responses = (0..RETRIES).map(|_| {
        thread::sleep(RETRY_INTERVAL);
        gateway.call(request())
    });
    assert!(responses.any(|response| response.starts_with("HTTP/1.1 200")));
}
