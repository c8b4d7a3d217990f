//! Refusals: error responses sent by the daemon itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a refused request ran at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request is proven not to have run at any upstream.
    NotRun,
    /// The request is known to have run, completely or in part.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

impl RunState {
    /// Returns the state as it is written in responses.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! refusal_codes {
    ($($(#[$doc:meta])* $variant:ident = $text:literal, $status:literal;)*) => {
        /// Reason for a refusal; `docs/REFUSALS.md` documents each code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[derive(Deserialize, Serialize)]
        pub enum RefusalCode {
            $($(#[$doc])* #[serde(rename = $text)] $variant,)*
        }

        impl RefusalCode {
            /// All codes, in the order of `docs/REFUSALS.md`.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the code as it is written in responses.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text),* }
            }

            /// Returns the HTTP status of a response with this code.
            #[must_use]
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$variant => $status),* }
            }
        }
    };
}

refusal_codes! {
    /// The request is malformed.
    BadRequest = "bad_request", 400;
    /// The request has no key, or an unknown key.
    UnknownKey = "unknown_key", 401;
    /// The key has been withdrawn.
    WithdrawnKey = "withdrawn_key", 401;
    /// The workspace may not use this model, service or program.
    NotAllowed = "not_allowed", 403;
    /// The route does not exist.
    UnknownRoute = "unknown_route", 404;
    /// The program does not exist in the key's workspace.
    UnknownProgram = "unknown_program", 404;
    /// The step does not exist.
    UnknownStep = "unknown_step", 404;
    /// The settings revision is not stored.
    UnknownRevision = "unknown_revision", 404;
    /// The model is not declared in the settings.
    UnknownModel = "unknown_model", 404;
    /// The service, or the route of the service, does not exist.
    UnknownService = "unknown_service", 404;
    /// The method is not allowed for this route.
    MethodNotAllowed = "method_not_allowed", 405;
    /// The step number is not the program's next step number.
    WrongStep = "wrong_step", 409;
    /// An attempt at the step is still running.
    StepRunning = "step_running", 409;
    /// The step already has its final outcome from another attempt, or the attempt key
    /// was used for another request.
    AttemptMismatch = "attempt_mismatch", 409;
    /// The history digest in the request differs from that of the program's history.
    HistoryMismatch = "history_mismatch", 409;
    /// The program has ended.
    ProgramEnded = "program_ended", 409;
    /// Another settings revision was applied first.
    SettingsConflict = "settings_conflict", 409;
    /// The program's history is incomplete or lost; the caller may restore it.
    HistoryLost = "history_lost", 410;
    /// The request head is too large.
    HeadTooLarge = "head_too_large", 431;
    /// The request body is too large.
    BodyTooLarge = "body_too_large", 413;
    /// The request body did not arrive in time.
    BodyTimeout = "body_timeout", 408;
    /// The settings were rejected because validation reported findings.
    InvalidSettings = "invalid_settings", 422;
    /// The workspace exceeds its rate limit.
    RateExceeded = "rate_exceeded", 429;
    /// The step may cost more than what is left of the program's budget.
    BudgetExceeded = "budget_exceeded", 402;
    /// The program reached a limit on steps, attempts, sub-agents or wall-clock time.
    LimitReached = "limit_reached", 402;
    /// The daemon or the upstreams have too much work to serve the request in time.
    Overloaded = "overloaded", 503;
    /// The daemon is shutting down and accepts no new work.
    Draining = "draining", 503;
    /// The program's owner is unreachable or ownership is changing.
    OwnerUnavailable = "owner_unavailable", 503;
    /// No upstream can currently serve the request.
    NoUpstream = "no_upstream", 503;
    /// The request needs the platform's key-value service, which is unavailable.
    PlatformUnavailable = "platform_unavailable", 503;
    /// The daemon cannot confirm that its settings are current.
    SettingsStale = "settings_stale", 503;
    /// The history could not be stored durably.
    HistoryUnavailable = "history_unavailable", 503;
    /// The upstream returned an error or an invalid response.
    UpstreamFailed = "upstream_failed", 502;
    /// The outcome of the request at the upstream is unknown.
    OutcomeUnknown = "outcome_unknown", 502;
    /// The deadline passed.
    DeadlineExceeded = "deadline_exceeded", 504;
    /// The HTTP version is not supported.
    UnsupportedVersion = "unsupported_version", 505;
    /// The daemon does not implement the request.
    NotImplemented = "not_implemented", 501;
    /// An internal error occurred; the log has the details.
    Internal = "internal", 500;
}

/// Error response with a code, the run state, an optional retry delay and a message.
///
/// ```
/// use ibisdale_core::{RefusalCode, RequestRefusal, RunState};
///
/// let refusal = RequestRefusal::new(RefusalCode::UnknownKey, "no key was given");
/// assert_eq!(refusal.get_run_state(), RunState::NotRun);
/// ```
///
/// A new refusal has the run state `not_run`. Use [`RequestRefusal::run_state`] to
/// change it if the request ran or may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RequestRefusal {
    code: RefusalCode,
    run_state: RunState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    message: String,
}

impl RequestRefusal {
    /// Creates a refusal of a request that did not run.
    pub fn new(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            run_state: RunState::NotRun,
            retry_after_ms: None,
            message: message.into(),
        }
    }

    /// Sets the run state of the request.
    #[must_use]
    pub fn run_state(mut self, state: RunState) -> Self {
        self.run_state = state;
        self
    }

    /// Sets the delay after which the caller should retry. Leave it unset if a retry does
    /// not help.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Returns the refusal code.
    #[must_use]
    pub fn get_code(&self) -> RefusalCode {
        self.code
    }

    /// Returns the run state of the request.
    #[must_use]
    pub fn get_run_state(&self) -> RunState {
        self.run_state
    }

    /// Returns the delay after which the caller should retry, or `None` if none was
    /// set.
    #[must_use]
    pub fn get_retry_after(&self) -> Option<Duration> {
        self.retry_after_ms.map(Duration::from_millis)
    }

    /// Returns the human-readable explanation.
    #[must_use]
    pub fn get_message(&self) -> &str {
        &self.message
    }
}
