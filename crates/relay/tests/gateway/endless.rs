//! Replicas that send bytes without end.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use rstest::rstest;

use crate::support::{ScriptedReplica, TestGateway};

/// Bytes that a replica sends at most, so that a failing test ends.
const SENT_MAX: usize = 256 * 1_024 * 1_024;
/// Bytes of a response that may be read, including those that the sockets hold.
const READ_MAX: usize = 40 * 1_024 * 1_024;

const SEALED: &str = "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\n";

/// Starts a replica that answers with `start` and repeats `part` until the connection closes;
/// returns its address and the number of bytes sent.
fn start_endless(start: String, part: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let sent: Arc<AtomicUsize> = Arc::default();
    let counter = Arc::clone(&sent);
    thread::spawn(move || {
        let block = part.repeat(64 * 1_024 / part.len());
        while let Ok((mut stream, _)) = listener.accept() {
            let _ = stream.read(&mut [0; 4_096]);
            send_endless(&mut stream, start.as_bytes(), block.as_bytes(), &counter);
        }
    });
    (address, sent)
}

fn send_endless(stream: &mut TcpStream, start: &[u8], block: &[u8], sent: &AtomicUsize) {
    let mut next = start;
    while stream.write_all(next).is_ok() {
        next = block;
        if sent.fetch_add(next.len(), Ordering::SeqCst) > SENT_MAX {
            // Keeps the connection open until the gateway closes it.
            let _ = stream.read(&mut [0; 1]);
            return;
        }
    }
}

/// Guards against reading bytes that are no answer until the memory or the VM is used up.
#[rstest]
#[case::head("/act/", "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nx: ".to_owned(), "x")]
#[case::interim_heads("/act/", String::new(), "HTTP/1.1 102 Processing\r\n\r\n")]
#[case::body("/act/", format!("{SEALED}\r\n"), "x")]
#[case::body_of_another_answer("/act/", "HTTP/1.1 200 OK\r\nt-attempt: a0\r\n\r\n".to_owned(), "x")]
#[case::chunk_size("/act/", format!("{SEALED}Transfer-Encoding: chunked\r\n\r\n"), "0")]
#[case::trailer("/act/", format!("{SEALED}Transfer-Encoding: chunked\r\n\r\n0\r\n"), "x: y\r\n")]
#[case::event("/stream/", format!("{SEALED}\r\nid: 1\ndata: "), "x")]
fn endless_response_is_cut_and_the_vm_serves_others(
    #[case] path: &str,
    #[case] start: String,
    #[case] part: &'static str,
) {
    let (address, sent) = start_endless(start, part);
    let mut replica = ScriptedReplica::start(|_, _| (Vec::new(), false));
    replica.address = address;
    let gateway = TestGateway::start(&[&replica]);
    let request = format!(
        "POST {path}x HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\nt-deadline: 3000\r\n\
         Authorization: Bearer secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    let response = thread::scope(|scope| {
        let call = scope.spawn(|| gateway.call(&request));
        gateway.wait_for_vms(1);
        call.join().unwrap()
    });
    assert!(response.starts_with("HTTP/1.1 50"), "{response}");
    let sent = sent.load(Ordering::SeqCst);
    assert!(sent <= READ_MAX, "{sent} bytes");
}
