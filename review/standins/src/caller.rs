//! Stand-in for a client: looks addresses up and sends requests.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

use crate::http::HttpConnection;
use crate::json::Json;
use crate::record::CaseRecord;
use crate::replica::TOKENS_PER_EVENT;

/// Time in which a connection has to be established.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Longest wait for a response or an event.
const READ_TIME: Duration = Duration::from_secs(7);

/// Host of the routes.
pub const HOST: &str = "ficu95.example";
/// Key of the tenant.
pub const KEY: &str = "3fexd9dnn2ctnfzs989a";

/// Result of one client attempt.
#[derive(Clone, Debug, Default)]
pub struct AttemptResult {
    /// Status; 0 if there was no response.
    pub status: u16,
    /// Tokens of the events that arrived.
    pub tokens: u64,
    /// Whether the response arrived whole.
    pub is_whole: bool,
    /// Bytes of the body that arrived.
    pub bytes: u64,
    pub body: String,
    pub retry_after: Option<f64>,
}

/// One request.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    pub method: &'static str,
    pub path: String,
    pub attempt: String,
    /// Further header fields, each with its line end.
    pub fields: String,
    pub body: String,
    pub is_stream: bool,
}

/// Fields of a turn of a program.
pub fn turn_fields(program: &str, budget: u64, tokens: u64) -> String {
    format!(
        "X-Ibisdale-Program-Id: {program}\r\nX-Ibisdale-Session-Id: {program}s\r\n\
         X-Ibisdale-Finish-Ms: 5200\r\nX-Ibisdale-Token-Budget: {budget}\r\n\
         X-Ibisdale-Token-Usage: 40,{tokens}\r\nX-Ibisdale-Model: m\r\n\
         X-Ibisdale-Deadline-Ms: 6000\r\n"
    )
}

/// A client's connection to one entry VM.
pub struct ClientConnection {
    pub address: SocketAddr,
    connection: HttpConnection,
}

impl ClientConnection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIME)?;
        let connection = HttpConnection::new(stream);
        connection.set_timeout(READ_TIME);
        Ok(Self {
            address,
            connection,
        })
    }

    /// Sends a request and reads the response; `Err` if the connection can't be used again.
    pub fn exchange(&mut self, request: &ClientRequest) -> (AttemptResult, bool) {
        let mut result = AttemptResult::default();
        let is_open = self.run(request, &mut result).is_ok();
        (result, is_open)
    }

    fn run(&mut self, request: &ClientRequest, result: &mut AttemptResult) -> io::Result<()> {
        let ClientRequest {
            method,
            path,
            attempt,
            fields,
            body,
            ..
        } = request;
        let length = body.len();
        let message = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Ibisdale-Attempt-Id: {attempt}\r\n\
             Authorization: Bearer {KEY}\r\n{fields}Content-Length: {length}\r\n\r\n{body}"
        );
        self.connection.send(message.as_bytes())?;
        let head = self.connection.read_head()?;
        result.status = head.status();
        let after = head.field("retry-after");
        result.retry_after = after.and_then(|text| text.parse().ok());
        let mut data = Vec::new();
        let read = self
            .connection
            .read_body(&head, |part| data.extend_from_slice(part));
        result.bytes = data.len() as u64;
        let text = String::from_utf8_lossy(&data).into_owned();
        if request.is_stream && result.status == 200 {
            result.tokens = text.matches("\n\n").count() as u64 * TOKENS_PER_EVENT;
        }
        result.body = text;
        read?;
        result.is_whole = true;
        let closes = head.field("connection");
        if closes.is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            return Err(io::Error::other("the daemon closes the connection"));
        }
        Ok(())
    }
}

/// Asks daemons for the addresses to use, one after the other.
pub fn resolve(directories: &[Ipv4Addr], zone: &str) -> Vec<SocketAddr> {
    for directory in directories {
        let address = SocketAddr::V4(SocketAddrV4::new(*directory, 8360));
        if let Ok(addresses) = resolve_at(address, zone)
            && !addresses.is_empty()
        {
            return addresses;
        }
    }
    Vec::new()
}

fn resolve_at(address: SocketAddr, zone: &str) -> io::Result<Vec<SocketAddr>> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIME)?;
    let mut connection = HttpConnection::new(stream);
    connection.set_timeout(CONNECT_TIME);
    let request = format!(
        "GET /ibisdale/resolve?name={HOST}&region=be-central&zone={zone} HTTP/1.1\r\n\
         Host: {address}\r\n\r\n"
    );
    connection.send(request.as_bytes())?;
    let head = connection.read_head()?;
    let body = connection.read_whole_body(&head)?;
    let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
    let addresses = body.get("addrs").list().iter();
    Ok(addresses
        .filter_map(|text| text.text().parse().ok())
        .collect())
}

/// A program's client, which sends one turn after the other.
pub struct ProgramClient {
    pub program: String,
    pub budget: u64,
    /// Tokens that all attempts of the program got.
    pub tokens: u64,
    pub was_told_spent: bool,
    attempts: u64,
    connection: Option<ClientConnection>,
    record: CaseRecord,
}

impl ProgramClient {
    pub fn new(program: &str, budget: u64, record: &CaseRecord) -> Self {
        Self {
            program: program.to_owned(),
            budget,
            tokens: 0,
            was_told_spent: false,
            attempts: 0,
            connection: None,
            record: record.clone(),
        }
    }

    /// Closes the connection; the next turn goes to the address that is then given.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Sends a turn on the open connection, or on a new one to `address`, and repeats it after
    /// a 503 or a failure as clients do, for at most `limit`.
    pub fn turn(&mut self, address: SocketAddr, tokens: u64, limit: Duration) -> AttemptResult {
        let started = Instant::now();
        loop {
            let result = self.attempt(address, tokens);
            self.tokens += result.tokens;
            if result.status == 402 {
                self.was_told_spent = true;
            }
            let is_final = result.is_whole && result.status != 503;
            if is_final || started.elapsed() > limit {
                return result;
            }
            let pause = result.retry_after.unwrap_or(0.2).clamp(0.1, 0.4);
            std::thread::sleep(Duration::from_secs_f64(pause));
        }
    }

    fn attempt(&mut self, address: SocketAddr, tokens: u64) -> AttemptResult {
        self.attempts += 1;
        let attempt = format!("{}-{}", self.program, self.attempts);
        let request = ClientRequest {
            method: "POST",
            path: "/lohu930/4b".to_owned(),
            attempt: attempt.clone(),
            fields: turn_fields(&self.program, self.budget, tokens),
            body: "a prompt".to_owned(),
            is_stream: true,
        };
        let connection = match self.connection.take() {
            Some(connection) => Ok(connection),
            None => ClientConnection::open(address),
        };
        let Ok(mut connection) = connection else {
            self.record
                .line(&format!("{attempt} finds {address} closed"));
            return AttemptResult::default();
        };
        let used = connection.address;
        self.record.line(&format!("{attempt} is sent to {used}"));
        let (result, is_open) = connection.exchange(&request);
        self.record.line(&format!(
            "{attempt} gets {} with {} tokens, whole: {}{}",
            result.status,
            result.tokens,
            result.is_whole,
            if result.status == 200 {
                ""
            } else {
                &result.body
            }
        ));
        if is_open {
            self.connection = Some(connection);
        }
        result
    }
}
