//! Requests that the clients of a crowd send.

/// Head of a request: its target and headers, without those of its length.
///
/// ```
/// use ibisdale_standins::CrowdRequest;
///
/// let request = CrowdRequest::post("/act/x").header("Host", "h");
/// let message = request.unfinished_body(10);
/// assert!(message.ends_with(b"Content-Length: 10\r\n\r\nxxxxxxxxx"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrowdRequest {
    head: String,
}

impl CrowdRequest {
    /// Creates a POST request.
    #[must_use]
    pub fn post(target: &str) -> Self {
        Self {
            head: format!("POST {target} HTTP/1.1\r\n"),
        }
    }

    /// Creates a PUT request.
    #[must_use]
    pub fn put(target: &str) -> Self {
        Self {
            head: format!("PUT {target} HTTP/1.1\r\n"),
        }
    }

    /// Creates a GET request.
    #[must_use]
    pub fn get(target: &str) -> Self {
        Self {
            head: format!("GET {target} HTTP/1.1\r\n"),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.head.extend([name, ": ", value, "\r\n"]);
        self
    }

    /// Returns a complete request with `body`.
    #[must_use]
    pub fn body(&self, body: &[u8]) -> Vec<u8> {
        let head = format!("{}Content-Length: {}\r\n\r\n", self.head, body.len());
        [head.as_bytes(), body].concat()
    }

    /// Returns a request whose body lacks the last of its `length` bytes.
    #[must_use]
    pub fn unfinished_body(&self, length: usize) -> Vec<u8> {
        let head = format!("{}Content-Length: {length}\r\n\r\n", self.head);
        [head.into_bytes(), vec![b'x'; length - 1]].concat()
    }

    /// Returns a request with about `length` bytes in chunks of `chunk` bytes, without the last
    /// chunk, the empty one.
    #[must_use]
    pub fn unfinished_chunks(&self, length: usize, chunk: usize) -> Vec<u8> {
        let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", self.head);
        [head.into_bytes(), chunked_body(length, chunk)].concat()
    }

    /// Returns the begin of a head, which never ends.
    #[must_use]
    pub fn unfinished_head(&self, length: usize) -> Vec<u8> {
        let mut message = self.head.clone().into_bytes();
        message.extend_from_slice(b"X-Fill: ");
        message.resize(length.max(message.len()), b'x');
        message
    }
}

/// Returns about `length` bytes in chunks of `chunk` bytes, without the last chunk.
#[must_use]
pub fn chunked_body(length: usize, chunk: usize) -> Vec<u8> {
    let size = format!("{chunk:x}\r\n").into_bytes();
    let chunk_data = [size, vec![b'x'; chunk], b"\r\n".to_vec()].concat();
    chunk_data.repeat(length / chunk)
}

/// Returns a message `count` times in a row.
#[must_use]
pub fn pipelined(message: &[u8], count: usize) -> Vec<u8> {
    message.repeat(count)
}
