//! One connection to a peer.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncWriteExt, FutureExt};
use rustix::net::sockopt;
use smol::{Async, Timer};

use super::error::ExchangeError;
use super::framing::BodyFraming;
use super::head::{ResponseHead, take_head};

/// Time after which a peer that acknowledges nothing counts as lost; far above the
/// way between regions and back.
const PEER_SILENCE: Duration = Duration::from_secs(1);
/// Bytes read from the socket at once.
const READ_BYTES: usize = 8 * 1_024;

/// An open connection that carries one exchange at a time.
///
/// Dropping it closes the connection, which cancels a running request.
#[derive(Debug)]
pub struct Http1Connection {
    stream: Async<TcpStream>,
    buffer: BytesMut,
}

impl Http1Connection {
    /// Opens a connection to `address` within `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the peer can't be reached in time; nothing was sent then.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ExchangeError> {
        let connect = async {
            let stream = Async::<TcpStream>::connect(address).await;
            let stream = stream.and_then(|stream| {
                stream.get_ref().set_nodelay(true)?;
                bound_silence(stream.get_ref())?;
                Ok(stream)
            });
            stream.map_err(|source| ExchangeError::Connect { source })
        };
        let expire = async {
            Timer::after(limit).await;
            Err(ExchangeError::ConnectTimeout { limit })
        };
        let stream = connect.or(expire).await?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
        })
    }

    /// Tells whether the connection is still open and has no bytes waiting.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let mut probe = [0_u8; 1];
        match self.stream.get_ref().peek(&mut probe) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock && self.buffer.is_empty(),
            Ok(_) => false,
        }
    }

    /// Sends the bytes of a request.
    ///
    /// # Errors
    ///
    /// Fails with [`ExchangeError::Broken`]; part of the request may have left.
    pub async fn send(&mut self, message: &[u8]) -> Result<(), ExchangeError> {
        let written = self.stream.write_all(message).await;
        written.map_err(|source| ExchangeError::Broken { source })
    }

    /// Reads the head of the next final answer, passing over interim ones.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends first or the bytes are no answer.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        loop {
            if let Some(head) = take_head(&mut self.buffer)? {
                if head.status >= 200 {
                    return Ok(head);
                }
            } else if !self.fill().await? {
                return Err(ExchangeError::Truncated);
            }
        }
    }

    /// Reads the next data of a body; `None` at its end.
    ///
    /// Nothing is lost when the future is dropped before it is ready.
    ///
    /// # Errors
    ///
    /// Fails when the body ends before its announced end.
    pub async fn read_data(
        &mut self,
        framing: &mut BodyFraming,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            if let Some(data) = framing.take(&mut self.buffer)? {
                return Ok(Some(data));
            }
            if *framing == BodyFraming::Done {
                return Ok(None);
            }
            if !self.fill().await? {
                if *framing == BodyFraming::UntilClose {
                    *framing = BodyFraming::Done;
                    return Ok(None);
                }
                return Err(ExchangeError::Truncated);
            }
        }
    }

    /// Reads a whole body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::read_data`], and when the body is over the limit.
    pub async fn read_body(
        &mut self,
        framing: &mut BodyFraming,
        limit: usize,
    ) -> Result<Bytes, ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(data) = self.read_data(framing).await? {
            if body.len() + data.len() > limit {
                return Err(ExchangeError::Unreadable {
                    reason: "large body",
                });
            }
            if body.is_empty() && *framing == BodyFraming::Done {
                return Ok(data);
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }

    /// Reads what the peer has sent; `false` when it has closed.
    async fn fill(&mut self) -> Result<bool, ExchangeError> {
        loop {
            match self.read_waiting() {
                Ok(size) => return Ok(size > 0),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(source) => return Err(ExchangeError::Broken { source }),
            }
            let readable = self.stream.readable().await;
            readable.map_err(|source| ExchangeError::Broken { source })?;
        }
    }

    fn read_waiting(&mut self) -> io::Result<usize> {
        let mut scratch = [0_u8; READ_BYTES];
        let mut socket = self.stream.get_ref();
        let size = socket.read(&mut scratch)?;
        self.buffer.extend_from_slice(&scratch[..size]);
        Ok(size)
    }
}

/// Ends a connection whose peer has gone silent, also while nothing is sent.
fn bound_silence(stream: &TcpStream) -> io::Result<()> {
    let millis = u32::try_from(PEER_SILENCE.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PEER_SILENCE)?;
    sockopt::set_tcp_keepintvl(stream, PEER_SILENCE)?;
    sockopt::set_tcp_keepcnt(stream, 1)?;
    Ok(())
}
