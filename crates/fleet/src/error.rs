//! Errors of calls between daemons.

use std::time::Duration;

use ibisdale_net::NetError;
use snafu::Snafu;
use tonic::{Code, Status};

/// Tells what went wrong with a call to another daemon.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// No link could be opened; the call was not sent.
    #[snafu(display("no link to the daemon: {source}"))]
    Link {
        /// The cause.
        source: NetError,
    },
    /// The call was not answered in time.
    #[snafu(display("no answer within {limit:?}"))]
    Timeout {
        /// Time allowed.
        limit: Duration,
    },
    /// The daemon answered with an error, or the link broke.
    #[snafu(display("the call failed: {message}"))]
    Call {
        /// The status code of gRPC.
        code: Code,
        /// The daemon's or the library's words.
        message: String,
    },
    /// The answer ended before its end mark.
    #[snafu(display("the forwarded answer is truncated"))]
    Truncated,
    /// The answer breaks the protocol.
    #[snafu(display("the answer breaks the protocol: {what}"))]
    Malformed {
        /// What is wrong.
        what: &'static str,
    },
    /// This daemon does not take the call.
    #[snafu(display("the daemon does not take this call"))]
    NotServed,
    /// This daemon refuses the call.
    #[snafu(display("{message}"))]
    Refused {
        /// Why.
        message: String,
    },
}

impl FleetError {
    /// Tells whether it is proven that the call never left this daemon.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Link { .. })
    }

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
