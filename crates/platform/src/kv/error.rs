//! Errors of calls, which tell whether the call may have taken effect.

use std::time::Duration;

use ibisdale_net::NetError;
use snafu::Snafu;

use crate::counts::KvCallKind;

/// Tells why a call failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum KvFailure {
    /// No endpoint is configured.
    #[snafu(display("no endpoint of the key-value service is configured"))]
    NoEndpoint,
    /// The connection failed.
    #[snafu(display("{source}"))]
    Connection {
        /// The connection's error.
        source: NetError,
    },
    /// There was no whole answer in time.
    #[snafu(display("no answer within {limit:?}"))]
    Timeout {
        /// Time allowed.
        limit: Duration,
    },
    /// The service refused the call.
    #[snafu(display("refused with status {status}, code {code}: {message}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The gRPC status code.
        code: i32,
        /// The service's explanation.
        message: String,
    },
    /// The request could not be written as JSON or HTTP.
    #[snafu(display("the request cannot be written: {message}"))]
    Unwritable {
        /// What is wrong with it.
        message: String,
    },
    /// The answer could not be read.
    #[snafu(display("the answer cannot be read: {message}"))]
    Unreadable {
        /// What is wrong with it.
        message: String,
    },
}

/// A failed call.
#[derive(Debug)]
#[derive(Snafu)]
pub enum KvError {
    /// The call is proven to have had no effect.
    #[snafu(display("{} had no effect: {failure}", call.path()))]
    NotApplied {
        /// The call.
        call: KvCallKind,
        /// Why it failed.
        failure: KvFailure,
    },
    /// The answer is lost; the call may have taken effect, or may yet do so.
    #[snafu(display("{} may have had an effect: {failure}", call.path()))]
    Unknown {
        /// The call.
        call: KvCallKind,
        /// Why it failed.
        failure: KvFailure,
    },
}

impl KvError {
    /// Tells whether the call is proven to have had no effect.
    #[must_use]
    pub fn is_not_applied(&self) -> bool {
        matches!(self, Self::NotApplied { .. })
    }

    /// Returns why the call failed.
    #[must_use]
    pub fn get_failure(&self) -> &KvFailure {
        match self {
            Self::NotApplied { failure, .. } | Self::Unknown { failure, .. } => failure,
        }
    }

    /// Tells whether the service answered and refused the call.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self.get_failure(), KvFailure::Refused { .. })
    }

    pub(crate) fn new(call: KvCallKind, failure: KvFailure) -> Self {
        if failure.is_without_effect() {
            Self::NotApplied { call, failure }
        } else {
            Self::Unknown { call, failure }
        }
    }
}

/// gRPC status codes after which a call is known to have had no effect.
const CODES_WITHOUT_EFFECT: [i32; 4] = [3, 5, 9, 11];

impl KvFailure {
    fn is_without_effect(&self) -> bool {
        match self {
            Self::NoEndpoint | Self::Unwritable { .. } => true,
            Self::Connection { source } => source.is_not_sent(),
            Self::Refused { code, status, .. } => {
                (400..500).contains(status) && CODES_WITHOUT_EFFECT.contains(code)
            }
            Self::Timeout { .. } | Self::Unreadable { .. } => false,
        }
    }
}

impl From<NetError> for KvFailure {
    fn from(source: NetError) -> Self {
        Self::Connection { source }
    }
}
