//! A connection to a server.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_lite::future::yield_now;
use futures_lite::{AsyncWriteExt, FutureExt};
use rustix::net::sockopt;
use smol::{Async, Timer};

use super::error::ExchangeError;
use super::framing::BodyDecoder;
use super::head::{ResponseHead, parse_head};

/// Time without acknowledgements after which the kernel drops a connection; far
/// above the round-trip time between regions.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of a single read from the socket, in bytes.
const READ_BYTES: usize = 8 * 1_024;
/// Reads after which other tasks get their turn.
const READS_PER_TURN: u32 = 8;
/// Maximum number of 1xx responses before a final one.
const INTERIM_HEADS_MAX: u32 = 16;

/// An open connection that carries one request at a time.
///
/// Dropping it closes the connection, which abandons a request in progress.
#[derive(Debug)]
pub struct Http1Connection {
    stream: Async<TcpStream>,
    buffer: BytesMut,
    /// Number of reads, for [`READS_PER_TURN`].
    reads: u32,
}

impl Http1Connection {
    /// Opens a connection to `address`, waiting at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached in time; no part of a request was sent.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, ExchangeError> {
        let connect = async {
            let stream = Async::<TcpStream>::connect(address).await;
            let stream = stream.and_then(|stream| {
                stream.get_ref().set_nodelay(true)?;
                enable_ack_timeout(stream.get_ref())?;
                Ok(stream)
            });
            stream.map_err(|source| ExchangeError::Connect { source })
        };
        let expire = async {
            Timer::after(timeout).await;
            Err(ExchangeError::ConnectTimeout { timeout })
        };
        let stream = connect.or(expire).await?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            reads: 0,
        })
    }

    /// Returns whether the connection is open and has no unread bytes.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        let mut probe = [0_u8; 1];
        match self.stream.get_ref().peek(&mut probe) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock && self.buffer.is_empty(),
            Ok(_) => false,
        }
    }

    /// Sends a serialized request.
    ///
    /// # Errors
    ///
    /// Fails with [`ExchangeError::Io`]; part of the request may have been sent.
    pub async fn send(&mut self, message: &[u8]) -> Result<(), ExchangeError> {
        let written = self.stream.write_all(message).await;
        written.map_err(|source| ExchangeError::Io { source })
    }

    /// Reads the head of the next final response, skipping 1xx responses.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes first, the head is malformed or too many 1xx responses
    /// precede it.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        let mut interim_heads = 0;
        loop {
            if let Some(head) = parse_head(&mut self.buffer)? {
                if head.status >= 200 {
                    return Ok(head);
                }
                interim_heads += 1;
                if interim_heads > INTERIM_HEADS_MAX {
                    return Err(ExchangeError::InvalidResponse {
                        reason: "too many interim responses",
                    });
                }
            } else if !self.fill().await? {
                return Err(ExchangeError::Truncated);
            }
        }
    }

    /// Reads the next part of a body; returns `None` at its end.
    ///
    /// Cancel safe: no data is lost if the future is dropped before it completes.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes or fails before the body is complete, or if
    /// the chunked coding is malformed.
    pub async fn read_data(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            if let Some(data) = decoder.decode(&mut self.buffer)? {
                return Ok(Some(data));
            }
            if *decoder == BodyDecoder::Done {
                return Ok(None);
            }
            if !self.fill().await? {
                if *decoder == BodyDecoder::UntilClose {
                    *decoder = BodyDecoder::Done;
                    return Ok(None);
                }
                return Err(ExchangeError::Truncated);
            }
        }
    }

    /// Reads an entire body; `may_grow` is asked before the buffer grows and gets its next
    /// capacity, in bytes.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::read_data`] does, and if `may_grow` returns `false`.
    pub async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
        mut may_grow: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, ExchangeError> {
        let mut body = Vec::new();
        while let Some(data) = self.read_data(decoder).await? {
            let needed = body.len() + data.len();
            if needed > body.capacity() {
                let capacity = next_capacity(body.capacity(), needed, decoder);
                if !may_grow(capacity) {
                    return Err(ExchangeError::InvalidResponse {
                        reason: "large body",
                    });
                }
                if body.is_empty() && *decoder == BodyDecoder::Done {
                    return Ok(data);
                }
                body.reserve_exact(capacity - body.len());
            }
            body.extend_from_slice(&data);
        }
        body.shrink_to_fit();
        Ok(Bytes::from(body))
    }

    /// Reads a body of at most `limit` bytes and discards it.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::read_data`] does, and if the body exceeds the limit.
    pub async fn discard_body(
        &mut self,
        decoder: &mut BodyDecoder,
        limit: usize,
    ) -> Result<(), ExchangeError> {
        let mut size = 0;
        while let Some(data) = self.read_data(decoder).await? {
            size += data.len();
            if size > limit {
                return Err(ExchangeError::InvalidResponse {
                    reason: "large body",
                });
            }
        }
        Ok(())
    }

    /// Waits for data and appends it to the buffer; returns `false` at end of stream.
    ///
    /// Yields from time to time while data is available, since the timers of a thread don't
    /// run meanwhile.
    async fn fill(&mut self) -> Result<bool, ExchangeError> {
        self.reads += 1;
        if self.reads.is_multiple_of(READS_PER_TURN) {
            yield_now().await;
        }
        loop {
            match self.read_available() {
                Ok(size) => return Ok(size > 0),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(source) => return Err(ExchangeError::Io { source }),
            }
            let readable = self.stream.readable().await;
            readable.map_err(|source| ExchangeError::Io { source })?;
        }
    }

    fn read_available(&mut self) -> io::Result<usize> {
        let mut scratch = [0_u8; READ_BYTES];
        let mut socket = self.stream.get_ref();
        let size = socket.read(&mut scratch)?;
        self.buffer.extend_from_slice(&scratch[..size]);
        Ok(size)
    }
}

/// Makes the kernel drop the connection when the server stops acknowledging.
///
/// The user timeout covers sent data and keepalive probes cover an idle connection.
/// Without them a request on a connection that was lost without a reset would wait
/// until its deadline. A timeout on the response instead would also cut off replicas
/// that are slow but alive.
fn enable_ack_timeout(stream: &TcpStream) -> io::Result<()> {
    let millis = u32::try_from(ACK_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, ACK_TIMEOUT)?;
    sockopt::set_tcp_keepintvl(stream, ACK_TIMEOUT)?;
    sockopt::set_tcp_keepcnt(stream, 1)?;
    Ok(())
}

/// Returns the next capacity of the buffer of a body that has `needed` bytes so far: what is
/// announced, or else half as much again.
fn next_capacity(capacity: usize, needed: usize, decoder: &BodyDecoder) -> usize {
    match decoder {
        BodyDecoder::Done => needed,
        BodyDecoder::Length(left) => {
            let left = usize::try_from(*left).unwrap_or(usize::MAX);
            needed.saturating_add(left)
        }
        _ => needed.max(capacity + capacity / 2),
    }
}
