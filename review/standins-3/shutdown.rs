//! A machine that is stopped by SIGTERM while a client still reads its answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::record::{Recorder, Sent};

const KEY: &str = "key-of-congress";
const ANSWER_BYTES: usize = 14_000_000;
/// The client reads so much, then waits for the pause: 2 MB a second.
const READ_BYTES: usize = 40_000;
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Receive buffer of the client, in bytes.
const RECEIVE_BUFFER: i32 = 64 * 1_024;

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
}

const CONFIGURATION: &str = "{\"version\":1,\"routes\":[{\"name\":\"r-doc\",\"host\":\"app.example\",\"prefix\":\"/doc/\",\"kind\":\"idempotent\",\"timeout_ms\":15000,\"slo_ms\":2000,\"priority\":2,\"service\":\"app\",\"attempts\":2,\"public\":false,\"sticky\":false}],\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":400,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"congress\",\"api_keys\":[\"key-of-congress\"],\"rate_per_s\":400,\"burst\":400}]}";

pub fn run_slow_reader(deployment: &mut Deployment, has_trouble: bool) -> crate::Verdict {
    let times = (20, 0);
    deployment.add_replica_of("v1", 100, "app", times, 0, ANSWER_BYTES)?;
    deployment.add_replica_of("v1", 101, "app", times, 0, ANSWER_BYTES)?;
    deployment.store.write("op/config", CONFIGURATION);
    deployment.start_vms(3)?;
    let recorder = deployment.recorder.clone();
    let entry = deployment.vms[0].entry();
    let has_begun = Arc::new(AtomicBool::new(false));
    let client = {
        let (recorder, has_begun) = (recorder.clone(), Arc::clone(&has_begun));
        thread::spawn(move || read_slowly(&recorder, entry, &has_begun))
    };
    let began = Instant::now();
    while !has_begun.load(Ordering::Relaxed) && began.elapsed() < Duration::from_secs(5) {
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(1_000));
    if has_trouble {
        deployment.stop_vm(0);
        recorder.note("the machine that the client is connected to gets SIGTERM");
    }
    let result = client
        .join()
        .unwrap_or_else(|_| Err("the client failed".to_owned()));
    match result {
        Ok(bytes) => {
            let is_whole = bytes == ANSWER_BYTES;
            recorder.note(format!("the client got {bytes} of {ANSWER_BYTES} bytes"));
            Ok(!is_whole)
        }
        Err(error) => Err(std::io::Error::other(error)),
    }
}

/// Sends one request and reads its answer slowly; returns how much of the body came.
fn read_slowly(
    recorder: &Recorder,
    entry: SocketAddr,
    has_begun: &AtomicBool,
) -> Result<usize, String> {
    let at = recorder.now();
    let began = Instant::now();
    let mut stream = TcpStream::connect(entry).map_err(|error| error.to_string())?;
    // SAFETY: the value lives as long as the call, which reads four bytes of it.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_RCVBUF,
            &RECEIVE_BUFFER,
            4,
        )
    };
    let request = format!(
        "GET /doc/program HTTP/1.1\r\nHost: app.example\r\nAuthorization: Bearer {KEY}\r\nX-Ibisdale-Attempt-Id: 00000001\r\nX-Ibisdale-Deadline-Ms: 15000\r\n\r\n"
    );
    stream
        .write_all(request.as_bytes())
        .map_err(|error| error.to_string())?;
    let mut received: Vec<u8> = Vec::new();
    let mut head_bytes = None;
    let mut part = vec![0_u8; READ_BYTES];
    let mut ended = "the connection ended";
    loop {
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(size) => received.extend_from_slice(&part[..size]),
            Err(_) => {
                ended = "the connection was reset";
                break;
            }
        }
        has_begun.store(true, Ordering::Relaxed);
        if head_bytes.is_none() {
            let end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            head_bytes = end.map(|end| end + 4);
        }
        if head_bytes.is_some_and(|head| received.len() - head >= ANSWER_BYTES) {
            ended = "the answer is whole";
            break;
        }
        thread::sleep(READ_PAUSE);
    }
    let Some(head) = head_bytes else {
        return Err("no head came".to_owned());
    };
    let status = String::from_utf8_lossy(&received[..12]).into_owned();
    let bytes = received.len() - head;
    recorder.note(format!(
        "{status}; {ended} after {} ms",
        began.elapsed().as_millis()
    ));
    recorder.add_sent(Sent {
        at,
        attempt: "00000001".to_owned(),
        part: "slow client".to_owned(),
        machine: entry.to_string(),
        status: status[9..].parse().unwrap_or(0),
        got: bytes as u64,
        is_whole: bytes == ANSWER_BYTES,
        took_ms: began.elapsed().as_millis() as u64,
    });
    if status.ends_with("200") {
        Ok(bytes)
    } else {
        Err(format!("the answer is {status}"))
    }
}
