//! Errors of connections and messages.

use std::io;
use std::time::Duration;

use ibisdale_clients::{BodyRefusal, ResponseEvicted};
use snafu::Snafu;

/// Error of a listener, a connection or a message body.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NetError {
    /// The listener could not be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The requested address.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The peer.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Opening the connection timed out; no part of a request was sent.
    #[snafu(display("no connection to {address} within {timeout:?}"))]
    ConnectTimeout {
        /// The peer.
        address: std::net::SocketAddr,
        /// The timeout.
        timeout: Duration,
    },
    /// The connection closed before it accepted the request; nothing was sent.
    #[snafu(display("the connection closed before the request was sent"))]
    NotSent,
    /// The exchange or the connection's handshake failed; part of the request may have been sent.
    #[snafu(display("the exchange failed: {source}"))]
    Exchange {
        /// The error of hyper.
        source: hyper::Error,
    },
    /// The response has neither `Content-Length` nor `Transfer-Encoding`, so a truncated
    /// body is indistinguishable from a complete one.
    #[snafu(display("the response has neither a length nor chunks"))]
    Unframed,
    /// The body failed before its end.
    #[snafu(display("the body is truncated: {source}"))]
    Truncated {
        /// The error of hyper.
        source: hyper::Error,
    },
    /// The body exceeds the limit.
    #[snafu(display("the body is over {limit} bytes"))]
    TooLarge {
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// The response or the next part of its body did not arrive within the timeout.
    #[snafu(display("no progress within {timeout:?}"))]
    Stalled {
        /// The timeout.
        timeout: Duration,
    },
    /// The body of a request is not read to its end; the request has not run.
    #[snafu(display("{refusal}"))]
    Refused {
        /// The reason.
        refusal: BodyRefusal,
    },
    /// The sender or the receiving body was dropped before the body was complete.
    #[snafu(display("the body was abandoned by its producer"))]
    Abandoned,
}

impl NetError {
    /// Returns whether provably no byte of the request was sent.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::ConnectTimeout { .. } | Self::NotSent
        )
    }
}

impl From<ResponseEvicted> for NetError {
    fn from(_: ResponseEvicted) -> Self {
        Self::Abandoned
    }
}

impl From<BodyRefusal> for NetError {
    fn from(refusal: BodyRefusal) -> Self {
        Self::Refused { refusal }
    }
}
