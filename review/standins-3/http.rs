//! HTTP/1.1 messages over blocking sockets, for servers and clients.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with what was read of it and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        self.stream.write_all(data)
    }

    /// Reads more; `false` at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0_u8; 8192];
        let size = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..size]);
        Ok(size > 0)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exact(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..size).collect())
    }

    /// Reads a head; `None` if the connection ends before it begins.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        if self.buffer.is_empty() && !self.fill()? {
            return Ok(None);
        }
        let mut head = Head {
            first: self.line()?,
            fields: Vec::new(),
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Some(head));
            }
            if let Some((name, value)) = line.split_once(':') {
                let field = (name.trim().to_owned(), value.trim().to_owned());
                head.fields.push(field);
            }
        }
    }

    /// Reads the body of a message, and passes each part of it to `visit`.
    pub fn body(&mut self, head: &Head, mut visit: impl FnMut(&[u8])) -> io::Result<()> {
        if head
            .get("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let data = self.exact(size)?;
                self.line()?;
                if size == 0 {
                    return Ok(());
                }
                visit(&data);
            }
        }
        let size = head.get("content-length").parse().unwrap_or(0);
        let data = self.exact(size)?;
        visit(&data);
        Ok(())
    }
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub is_whole: bool,
    /// Whether no connection could be opened, so that nothing was sent.
    pub is_unreached: bool,
    pub took: Duration,
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    let Ok(mut connection) = Connection::open(address) else {
        answer.is_unreached = true;
        return answer;
    };
    let _ = connection.stream.set_read_timeout(Some(limit));
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut message = text.into_bytes();
    message.extend_from_slice(body);
    if connection.send(&message).is_ok()
        && let Ok(Some(head)) = connection.head()
    {
        answer.status = head.status();
        let mut received = Vec::new();
        answer.is_whole = connection
            .body(&head, |data| received.extend_from_slice(data))
            .is_ok();
        answer.body = received;
        answer.head = head;
    }
    answer.took = began.elapsed();
    answer
}
