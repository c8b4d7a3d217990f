//! Errors of one exchange.

use std::io;
use std::time::Duration;

use snafu::Snafu;

/// Tells what went wrong in an exchange with a peer.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExchangeError {
    /// The connection was not opened; nothing was sent.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// The system's error.
        source: io::Error,
    },
    /// The connection was not open in time; nothing was sent.
    #[snafu(display("no connection within {limit:?}"))]
    ConnectTimeout {
        /// Time allowed.
        limit: Duration,
    },
    /// Reading or writing failed after part of the request may have left.
    #[snafu(display("connection failed: {source}"))]
    Broken {
        /// The system's error.
        source: io::Error,
    },
    /// The peer closed before the answer was whole.
    #[snafu(display("the peer closed before the answer was whole"))]
    Truncated,
    /// The bytes are no answer in the protocol.
    #[snafu(display("unreadable answer: {reason}"))]
    Unreadable {
        /// What was wrong.
        reason: &'static str,
    },
    /// No answer in time.
    #[snafu(display("no answer within {limit:?}"))]
    Timeout {
        /// Time allowed.
        limit: Duration,
    },
}

impl ExchangeError {
    /// Tells whether it is certain that no byte of the request left.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::ConnectTimeout { .. })
    }
}
