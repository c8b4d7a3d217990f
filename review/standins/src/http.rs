//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A connection with buffered reads.
pub struct HttpConnection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// First line and header fields of a message.
#[derive(Clone, Debug, Default)]
pub struct MessageHead {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl MessageHead {
    /// Returns a field's value; names are compared without case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: a request's target or a response's status.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        let coding = self.field("transfer-encoding");
        coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }
}

fn closed() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection was closed")
}

impl HttpConnection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn set_timeout(&self, timeout: Duration) {
        let _ = self.stream.set_read_timeout(Some(timeout));
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut scratch = [0; 16 * 1024];
        let size = self.stream.read(&mut scratch)?;
        if size == 0 {
            return Err(closed());
        }
        self.buffer.extend_from_slice(&scratch[..size]);
        Ok(())
    }

    pub fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    pub fn read_exact(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            self.fill()?;
        }
        Ok(self.buffer.drain(..size).collect())
    }

    pub fn read_head(&mut self) -> io::Result<MessageHead> {
        let first_line = self.read_line()?;
        let mut fields = Vec::new();
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(MessageHead { first_line, fields });
            }
            if let Some((name, value)) = line.split_once(':') {
                fields.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a body with a length or in chunks and passes its parts to `visit`.
    pub fn read_body(
        &mut self,
        head: &MessageHead,
        mut visit: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        if head.is_chunked() {
            loop {
                let line = self.read_line()?;
                let digits = line.split(';').next().unwrap_or_default();
                let size = usize::from_str_radix(digits.trim(), 16);
                let size = size.map_err(|_| io::Error::other("chunk size"))?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(());
                }
                // Passes on what has arrived, also if the rest never does.
                let mut left = size;
                while left > 0 {
                    if self.buffer.is_empty() {
                        self.fill()?;
                    }
                    let part = left.min(self.buffer.len());
                    let data: Vec<u8> = self.buffer.drain(..part).collect();
                    visit(&data);
                    left -= part;
                }
                self.read_exact(2)?;
            }
        }
        let length = head.field("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut left: usize = length;
        while left > 0 {
            if self.buffer.is_empty() {
                self.fill()?;
            }
            let part = left.min(self.buffer.len());
            let data: Vec<u8> = self.buffer.drain(..part).collect();
            visit(&data);
            left -= part;
        }
        Ok(())
    }

    pub fn read_whole_body(&mut self, head: &MessageHead) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        self.read_body(head, |data| body.extend_from_slice(data))?;
        Ok(body)
    }
}

/// Serializes a response with a body of known length.
pub fn response(status: u16, fields: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\n{fields}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}
