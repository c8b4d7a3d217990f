//! How a model call ends, and what its caller is told.

use ibisdale_core::{RefusalCode, RequestRefusal, RunState};
use ibisdale_policy::CallOutcome;
use ibisdale_upstreams::{UpstreamError, UpstreamErrorKind};

/// Why a call was stopped from this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopCause {
    CallerGone,
    ProgramEnded,
}

/// How one attempt at an engine ended.
pub(super) enum AttemptEnd {
    Whole,
    Stopped(StopCause),
    Failed(UpstreamError),
    /// The call was not sent.
    Refused(RequestRefusal),
    /// The stream ended without saying that the answer is whole.
    Ended,
}

impl AttemptEnd {
    /// Returns what the attempt says of its replica.
    pub(super) fn flight_outcome(&self) -> CallOutcome {
        match self {
            Self::Whole => CallOutcome::Succeeded,
            Self::Stopped(_) | Self::Refused(_) => CallOutcome::Cancelled,
            Self::Failed(error) if error.get_kind() == UpstreamErrorKind::Connect => {
                CallOutcome::Unreachable
            }
            Self::Failed(_) | Self::Ended => CallOutcome::Failed,
        }
    }

    /// Tells whether the attempt is followed by one at another replica, of an
    /// answer that has not begun.
    pub(super) fn is_retryable(&self) -> bool {
        matches!(self, Self::Failed(error) if is_retryable(error.get_kind()))
    }

    /// Tells whether the attempt may have run at its replica.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Self::Refused(_) => false,
            Self::Failed(error) => error.get_run_state() != RunState::NotRun,
            Self::Whole | Self::Stopped(_) | Self::Ended => true,
        }
    }

    /// Returns the refusal that tells of the attempt, unless it was whole.
    pub(super) fn into_result(self, is_begun: bool) -> Result<(), RequestRefusal> {
        match self {
            Self::Whole => Ok(()),
            Self::Stopped(cause) => Err(stop_refusal(cause, is_begun)),
            Self::Refused(refusal) => Err(refusal),
            Self::Ended => Err(ended_refusal(is_begun)),
            Self::Failed(error) => Err(upstream_refusal(&error, is_begun)),
        }
    }
}

/// Tells whether another replica may succeed.
fn is_retryable(kind: UpstreamErrorKind) -> bool {
    !matches!(
        kind,
        UpstreamErrorKind::DeadlineExceeded | UpstreamErrorKind::InvalidCall
    )
}

/// Returns what is known of a call that was stopped.
fn run_state(is_begun: bool) -> RunState {
    if is_begun {
        RunState::Ran
    } else {
        RunState::Unknown
    }
}

pub(super) fn ended_refusal(is_begun: bool) -> RequestRefusal {
    let message = "the engine ended its answer without saying that it is whole";
    RequestRefusal::new(RefusalCode::UpstreamFailed, message).run_state(run_state(is_begun))
}

pub(super) fn stop_refusal(cause: StopCause, is_begun: bool) -> RequestRefusal {
    let (code, message) = match cause {
        StopCause::CallerGone => (RefusalCode::UpstreamFailed, "the caller went away"),
        StopCause::ProgramEnded => (RefusalCode::ProgramEnded, "the program has ended"),
    };
    RequestRefusal::new(code, message).run_state(run_state(is_begun))
}

/// Takes "not run" from a refusal that follows an attempt which may have run.
pub(super) fn after_attempts(refusal: RequestRefusal, may_have_run: bool) -> RequestRefusal {
    if may_have_run && refusal.get_run_state() == RunState::NotRun {
        return refusal.run_state(RunState::Unknown);
    }
    refusal
}

/// Renders an upstream's failure; says `not_run` only where that is proven.
pub(super) fn upstream_refusal(error: &UpstreamError, is_begun: bool) -> RequestRefusal {
    let code = match error.get_kind() {
        UpstreamErrorKind::Connect => RefusalCode::NoUpstream,
        UpstreamErrorKind::DeadlineExceeded => RefusalCode::DeadlineExceeded,
        UpstreamErrorKind::Refused => RefusalCode::Overloaded,
        _ => RefusalCode::UpstreamFailed,
    };
    let state = if is_begun {
        RunState::Ran
    } else {
        error.get_run_state()
    };
    // The error's own message may quote the upstream, which is for the log only.
    let message = format!(
        "the call to the upstream failed: {}",
        error.get_kind().as_str()
    );
    let refusal = RequestRefusal::new(code, message).run_state(state);
    match error.get_retry_after() {
        Some(delay) => refusal.retry_after(delay),
        None => refusal,
    }
}
