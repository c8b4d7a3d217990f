//! Errors of gRPC calls between daemons.

use std::time::Duration;

use ibisdale_net::NetError;
use snafu::Snafu;
use tonic::{Code, Status};

/// Error of a call to another daemon, or the reason why this daemon rejects one.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// The connection could not be opened; the call was not sent.
    #[snafu(display("no link to the daemon: {source}"))]
    Link {
        /// The connection error.
        source: NetError,
    },
    /// The call timed out.
    #[snafu(display("no answer within {timeout:?}"))]
    Timeout {
        /// The timeout.
        timeout: Duration,
    },
    /// The daemon returned an error status, or the connection failed during the call.
    #[snafu(display("the call failed: {message}"))]
    Call {
        /// The gRPC status code.
        code: Code,
        /// The message of the daemon or of tonic.
        message: String,
    },
    /// A forwarded response ended before its end marker.
    #[snafu(display("the forwarded answer is truncated"))]
    Truncated,
    /// A reply violates the protocol.
    #[snafu(display("the answer breaks the protocol: {detail}"))]
    Malformed {
        /// The part of the reply that is invalid.
        detail: &'static str,
    },
    /// This daemon has no handler for the call.
    #[snafu(display("the daemon does not take this call"))]
    NotServed,
    /// This daemon rejects the call.
    #[snafu(display("{message}"))]
    Refused {
        /// The reason.
        message: String,
    },
}

impl FleetError {
    /// Returns whether provably no part of the call was sent.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Link { .. })
    }

    /// Converts the error to the gRPC status that the calling daemon receives.
    pub(crate) fn into_status(self) -> Status {
        match self {
            Self::NotServed => Status::unimplemented(self.to_string()),
            Self::Refused { message } => Status::failed_precondition(message),
            Self::Call { code, message } => Status::new(code, message),
            other => Status::unavailable(other.to_string()),
        }
    }
}

impl From<Status> for FleetError {
    fn from(status: Status) -> Self {
        Self::Call {
            code: status.code(),
            message: status.message().to_owned(),
        }
    }
}
