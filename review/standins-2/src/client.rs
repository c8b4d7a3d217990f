//! Clients, which send one request at a time on a connection.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::deployment::{HOST, KEY};
use crate::http::{Connection, Message};
use crate::record::Record;

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Returns an identifier that no other client attempt has.
pub fn new_attempt() -> String {
    let number = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A client with at most one connection.
#[derive(Debug)]
pub struct Client {
    pub address: SocketAddr,
    connection: Option<Connection>,
    /// Number of requests that were sent on the connection.
    pub sent: u32,
    timeout: Duration,
    record: Record,
}

impl Client {
    pub fn new(address: SocketAddr, timeout: Duration, record: &Record) -> Self {
        Self {
            address,
            connection: None,
            sent: 0,
            timeout,
            record: record.clone(),
        }
    }

    /// Sends a request and reads the answer, on a new connection if none is open.
    ///
    /// `sent` is 1 afterwards if the request was the first one on its connection.
    pub fn call(
        &mut self,
        attempt: &str,
        (method, target): (&str, &str),
        headers: &str,
        body: &str,
    ) -> io::Result<Message> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                self.sent = 0;
                Connection::open(self.address, self.timeout + Duration::from_secs(1))?
            }
        };
        self.sent += 1;
        let (deadline_ms, length) = (self.timeout.as_millis(), body.len());
        let length = if method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {length}\r\n")
        };
        let request = format!(
            "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Ibisdale-Attempt-Id: {attempt}\r\n\
             X-Ibisdale-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n\
             {headers}{length}\r\n{body}"
        );
        let address = self.address;
        self.record.line(&format!(
            "{attempt} is sent to {address}: {method} {target}"
        ));
        connection.send(request.as_bytes())?;
        let answer = connection.read_message()?;
        if answer.is_complete && !answer.header("connection").eq_ignore_ascii_case("close") {
            self.connection = Some(connection);
        }
        Ok(answer)
    }
}
