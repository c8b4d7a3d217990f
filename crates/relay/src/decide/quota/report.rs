//! Requests, refusals and reports of rate limits.

use serde::{Deserialize, Serialize};

/// Hash of a workspace's name.
pub type WorkspaceKey = u64;

/// Position of a request in its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum ProgramStage {
    /// The request starts a program.
    Begins,
    /// The program is already running, or the request belongs to no program.
    UnderWay,
}

/// Requests that all VMs admitted in the last window, as known to one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct WindowReport {
    /// Hash of the workspace's name.
    pub workspace: WorkspaceKey,
    /// Requests in intervals of 250 ms, newest first.
    pub requests: Vec<u32>,
    /// Programs started in the same intervals.
    pub programs: Vec<u32>,
}

impl WindowReport {
    /// Returns the number of requests in all intervals.
    pub(super) fn total(&self) -> f64 {
        self.requests.iter().copied().map(f64::from).sum()
    }
}

/// Why the rate limit refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum RefusalCause {
    /// The window has no requests remaining.
    Requests,
    /// No further program may start in the window; the remaining requests are reserved
    /// for running programs.
    Programs,
    /// The workspace's home VM did not answer.
    SilentHome,
}

/// Refusal of a request by the rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RateRefusal {
    /// Why the request is refused.
    pub cause: RefusalCause,
    /// Requests or programs in the last window; 0 for [`RefusalCause::SilentHome`].
    pub used: u64,
    /// Requests or programs that the window allows; 0 for [`RefusalCause::SilentHome`].
    pub limit: u64,
    /// Time after which the caller should retry, in milliseconds.
    pub after_ms: u64,
}

impl RateRefusal {
    /// Creates the refusal of a request whose workspace's home VM does not answer.
    #[must_use]
    pub fn silent_home(after_ms: u64) -> Self {
        Self {
            cause: RefusalCause::SilentHome,
            used: 0,
            limit: 0,
            after_ms,
        }
    }
}

/// Length of the window and tolerated excess over its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Tolerated excess as a fraction of the limit.
    pub excess: f64,
    /// Requests that are tolerated in addition to that fraction.
    pub slack: f64,
}

/// Requests and programs of one workspace that one VM has admitted since the start of
/// the VM's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct AdmissionCounters {
    /// Hash of the workspace's name.
    pub workspace: WorkspaceKey,
    /// Number of admitted requests.
    pub admitted: u64,
    /// Programs that started with one of these requests.
    pub programs_started: u64,
}
