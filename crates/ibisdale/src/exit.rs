//! Exit codes, documented in `docs/operate/command.md`.

use std::process::ExitCode;

/// What the command tells its caller by its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ExitStatus {
    /// Done.
    Success = 0,
    /// The checked file has findings, or the compared settings differ.
    Findings = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The daemon refused the request.
    Refused = 3,
    /// Another revision was applied meanwhile.
    Conflict = 4,
    /// The daemon could not be reached; nothing was sent.
    Unreachable = 5,
    /// The answer is lost; the request may have taken effect.
    OutcomeUnknown = 6,
    /// A file could not be read or written.
    File = 7,
    /// The program did not finish whole.
    ProgramFailed = 8,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
