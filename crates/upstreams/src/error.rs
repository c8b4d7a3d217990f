//! Errors of calls to upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use ibisdale_core::RunState;
use ibisdale_net::NetError;
use snafu::Snafu;

/// Kinds of failed calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpstreamErrorKind {
    /// No connection could be opened, or the connection closed before anything was
    /// sent.
    Connect,
    /// The connection failed while waiting for the response.
    Exchange,
    /// The response ended before it was complete.
    Truncated,
    /// The response is malformed.
    Garbage,
    /// The response, or an event of a stream, exceeds the size limit.
    TooLarge,
    /// The upstream sent no data within the time limit.
    Stalled,
    /// The call's deadline passed.
    DeadlineExceeded,
    /// The upstream refused the call before starting any work.
    Refused,
    /// The upstream returned an error.
    Failed,
    /// The call is invalid and was not sent.
    InvalidCall,
}

impl UpstreamErrorKind {
    /// Returns the label of the kind in metrics and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Exchange => "exchange",
            Self::Truncated => "truncated",
            Self::Garbage => "garbage",
            Self::TooLarge => "too_large",
            Self::Stalled => "stalled",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::InvalidCall => "invalid_call",
        }
    }
}

/// Error of an upstream call that returned no usable response.
///
/// The run state is [`RunState::Unknown`] by default. It is
/// [`RunState::NotRun`] or [`RunState::Ran`] only where that is proven.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("upstream {address}: {}: {message}", kind.as_str()))]
pub struct UpstreamError {
    kind: UpstreamErrorKind,
    address: SocketAddr,
    message: String,
    run_state: RunState,
    status: Option<StatusCode>,
    retry_after: Option<Duration>,
}

impl UpstreamError {
    pub(crate) fn new(
        kind: UpstreamErrorKind,
        address: SocketAddr,
        message: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            address,
            message: message.into(),
            run_state: RunState::Unknown,
            status: None,
            retry_after: None,
        }
    }

    pub(crate) fn from_net(address: SocketAddr, error: &NetError) -> Self {
        let kind = match error {
            NetError::Connect { .. } | NetError::ConnectTimeout { .. } | NetError::NotSent => {
                UpstreamErrorKind::Connect
            }
            NetError::Unframed => UpstreamErrorKind::Garbage,
            NetError::Truncated { .. } => UpstreamErrorKind::Truncated,
            NetError::TooLarge { .. } => UpstreamErrorKind::TooLarge,
            NetError::Stalled { .. } => UpstreamErrorKind::Stalled,
            NetError::Exchange { source } if source.is_parse() => UpstreamErrorKind::Garbage,
            _ => UpstreamErrorKind::Exchange,
        };
        let failure = Self::new(kind, address, error.to_string());
        if error.is_not_sent() {
            return failure.run_state(RunState::NotRun);
        }
        failure
    }

    pub(crate) fn run_state(mut self, state: RunState) -> Self {
        self.run_state = state;
        self
    }

    pub(crate) fn status(mut self, status: StatusCode) -> Self {
        self.status = Some(status);
        self
    }

    pub(crate) fn retry_after(mut self, delay: Option<Duration>) -> Self {
        self.retry_after = delay;
        self
    }

    /// Returns the kind of failure.
    #[must_use]
    pub fn get_kind(&self) -> UpstreamErrorKind {
        self.kind
    }

    /// Returns the upstream's address.
    #[must_use]
    pub fn get_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the call ran; unknown unless proven either way.
    #[must_use]
    pub fn get_run_state(&self) -> RunState {
        self.run_state
    }

    /// Returns the status of the upstream's response, if there is one.
    #[must_use]
    pub fn get_status(&self) -> Option<StatusCode> {
        self.status
    }

    /// Returns the delay of the upstream's `Retry-After` header, if present.
    #[must_use]
    pub fn get_retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Returns the message for operators; it may quote the upstream's response and
    /// must not be passed to callers.
    #[must_use]
    pub fn get_message(&self) -> &str {
        &self.message
    }
}
