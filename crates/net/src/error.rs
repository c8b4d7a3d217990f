//! Errors of connections and messages.

use std::io;
use std::time::Duration;

use snafu::Snafu;

/// Tells what went wrong on a connection.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NetError {
    /// The listener could not be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address asked for.
        address: std::net::SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The peer.
        address: std::net::SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The connection was not open in time; nothing was sent.
    #[snafu(display("no connection to {address} within {limit:?}"))]
    ConnectTimeout {
        /// The peer.
        address: std::net::SocketAddr,
        /// Time allowed.
        limit: Duration,
    },
    /// The request was not taken by the connection; nothing was sent.
    #[snafu(display("the connection closed before the request was sent"))]
    NotSent,
    /// The exchange failed after part of the request may have left.
    #[snafu(display("the exchange failed: {source}"))]
    Exchange {
        /// The library's error.
        source: hyper::Error,
    },
    /// The response has neither a length nor chunks, so its end can't be told.
    #[snafu(display("the response has neither a length nor chunks"))]
    Unframed,
    /// The body ended before its announced end.
    #[snafu(display("the body is truncated: {source}"))]
    Truncated {
        /// The library's error.
        source: hyper::Error,
    },
    /// The body is larger than allowed.
    #[snafu(display("the body is over {limit} bytes"))]
    TooLarge {
        /// Bytes allowed.
        limit: usize,
    },
    /// The peer made no progress in time.
    #[snafu(display("no progress within {limit:?}"))]
    Stalled {
        /// Time allowed.
        limit: Duration,
    },
    /// The producer of a body ended without finishing it.
    #[snafu(display("the body was abandoned by its producer"))]
    Abandoned,
}

impl NetError {
    /// Tells whether it is proven that no byte of the request left.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::ConnectTimeout { .. } | Self::NotSent
        )
    }
}
