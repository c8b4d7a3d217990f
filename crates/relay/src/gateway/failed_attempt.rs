//! The failure of an attempt, and what the replica did to cause it.

use http::Response;

use super::body::ResponseBody;
use crate::decide::AttemptFailure;
use crate::http1::ExchangeError;

/// Why an attempt failed, with the replica's response if there is one.
pub(crate) struct FailedAttempt {
    pub(crate) failure: AttemptFailure,
    pub(crate) error: String,
    /// Whether events of the attempt were passed on to the caller.
    pub(crate) has_progress: bool,
    /// Whether the connection to the replica was lost.
    pub(crate) is_connection_lost: bool,
    /// Whether the replica refused the connection, so that nothing accepts any there.
    pub(crate) is_connection_refused: bool,
    /// The replica's own error response, passed on to the caller if no retry follows.
    pub(crate) response: Option<Box<Response<ResponseBody>>>,
}

impl FailedAttempt {
    pub(crate) fn new(failure: AttemptFailure, error: impl Into<String>) -> Self {
        Self {
            failure,
            error: error.into(),
            has_progress: false,
            is_connection_lost: false,
            is_connection_refused: false,
            response: None,
        }
    }

    /// Creates a failure after which the replica may have run the request.
    pub(crate) fn may_have_run(error: impl Into<String>) -> Self {
        Self::new(AttemptFailure::MayHaveRun, error)
    }

    /// Creates the failure of an attempt for which no connection could be opened.
    pub(crate) fn not_connected(error: &ExchangeError) -> Self {
        Self {
            is_connection_refused: error.is_refused(),
            ..Self::new(AttemptFailure::NotReached, error.to_string())
        }
    }

    /// Creates the failure of an exchange in which the request was sent.
    pub(crate) fn exchange(error: &ExchangeError) -> Self {
        Self {
            is_connection_lost: error.is_connection_lost(),
            ..Self::may_have_run(error.to_string())
        }
    }
}
