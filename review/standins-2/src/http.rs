//! The part of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Header fields; names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has been read to its end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// A connection with a buffer of bytes that were read beyond the last message.
#[derive(Debug)]
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

    /// Opens a connection whose reads fail after `timeout`.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads the next message; the body is incomplete if the connection ends within it.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end + 4;
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let start_line = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
        let mut message = Message {
            start_line,
            headers: fields.collect(),
            body: Vec::new(),
            is_complete: false,
        };
        let read = if message.header("transfer-encoding") == "chunked" {
            self.read_chunks(&mut message.body)
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            self.read_exact(length, &mut message.body)
        };
        message.is_complete = read.is_ok();
        Ok(message)
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let end = loop {
                if let Some(end) = find(&self.buffer, b"\r\n") {
                    break end + 2;
                }
                self.fill()?;
            };
            let line: Vec<u8> = self.buffer.drain(..end).collect();
            let line = String::from_utf8_lossy(&line).into_owned();
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
            self.read_exact(size, body)?;
            self.read_exact(2, &mut Vec::new())?;
            if size == 0 {
                return Ok(());
            }
        }
    }

    fn read_exact(&mut self, mut length: usize, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let size = length.min(self.buffer.len());
            body.extend(self.buffer.drain(..size));
            length -= size;
            if length == 0 {
                return Ok(());
            }
            self.fill()?;
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0_u8; 16_384];
        let size = self.stream.read(&mut bytes)?;
        if size == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..size]);
        Ok(())
    }
}

/// Encodes a response with a body of known length.
pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Encodes a chunk of a body.
pub fn chunk(data: &str) -> Vec<u8> {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes()
}

fn find(data: &[u8], pattern: &[u8]) -> Option<usize> {
    data.windows(pattern.len())
        .position(|window| window == pattern)
}
