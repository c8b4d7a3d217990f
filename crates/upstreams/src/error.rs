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
    /// No connection could be opened, or it closed before anything was sent.
    Connect,
    /// The connection broke while the answer was awaited.
    Exchange,
    /// The answer ended before its announced end.
    Truncated,
    /// The answer can't be understood.
    Garbage,
    /// The answer is larger than allowed.
    TooLarge,
    /// The upstream sent nothing for longer than allowed.
    Stalled,
    /// The call's deadline passed.
    DeadlineExceeded,
    /// The upstream refused the call before any work.
    Refused,
    /// The upstream answered with an error.
    Failed,
    /// The call can't be sent as it is.
    InvalidCall,
}

impl UpstreamErrorKind {
    /// Returns the kind as metrics and logs name it.
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

/// A call to an upstream that has no whole answer.
///
/// A new error says that it is unknown whether the call ran; the state is
/// lowered to [`RunState::NotRun`] only where that is proven.
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

    /// Returns the kind.
    #[must_use]
    pub fn get_kind(&self) -> UpstreamErrorKind {
        self.kind
    }

    /// Returns the upstream's address.
    #[must_use]
    pub fn get_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the call ran, as far as that is proven.
    #[must_use]
    pub fn get_run_state(&self) -> RunState {
        self.run_state
    }

    /// Returns the status that the upstream answered with, if it did.
    #[must_use]
    pub fn get_status(&self) -> Option<StatusCode> {
        self.status
    }

    /// Returns when the upstream wants to be asked again, if it said so.
    #[must_use]
    pub fn get_retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Returns the explanation for operators; it may quote the upstream and is
    /// not meant for callers.
    #[must_use]
    pub fn get_message(&self) -> &str {
        &self.message
    }
}
