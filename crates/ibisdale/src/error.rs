//! Errors of the command.

use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use ibisdale_core::RunState;
use ibisdale_core::admin::AdminRefusal;
use ibisdale_net::NetError;
use ibisdale_settings::{PathError, SettingsFindings};
use snafu::Snafu;

use crate::exit::ExitStatus;

/// Tells why a command failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile { path: PathBuf, source: io::Error },
    #[snafu(display("{} is not accepted: {message}", path.display()))]
    BadFile { path: PathBuf, message: String },
    #[snafu(display("cannot write the result: {source}"))]
    WriteResult { source: io::Error },
    #[snafu(display("{findings}"))]
    Findings { findings: SettingsFindings },
    #[snafu(display("{source}"))]
    Path { source: PathError },
    #[snafu(display("{message}"))]
    Usage { message: String },
    #[snafu(display("{}", describe_refusal(refusal)))]
    Refused { refusal: Box<AdminRefusal> },
    #[snafu(display("{message}"))]
    NotFound { message: String },
    #[snafu(display("{address} is not reached, nothing was sent: {source}"))]
    Unreachable {
        address: SocketAddr,
        source: NetError,
    },
    #[snafu(display("{what}: the answer of {address} is lost: {source}"))]
    AnswerLost {
        address: SocketAddr,
        what: &'static str,
        source: NetError,
    },
    #[snafu(display("{what}: {address} did not answer within {limit:?}"))]
    NoAnswer {
        address: SocketAddr,
        what: &'static str,
        limit: Duration,
    },
    #[snafu(display("the answer of {address} is not understood (status {status}): {message}"))]
    BadAnswer {
        address: SocketAddr,
        status: u16,
        message: String,
    },
    #[snafu(display("{message}"))]
    OutcomeUnknown { message: String },
    #[snafu(display("{message}"))]
    ProgramFailed { message: String },
}

fn describe_refusal(refusal: &AdminRefusal) -> String {
    let detail = &refusal.error;
    let code = serde_json::to_value(detail.refusal.get_code()).unwrap_or_default();
    let mut text = format!(
        "refused ({}): {}",
        code.as_str().unwrap_or_default(),
        detail.refusal.get_message(),
    );
    // Writing to a string cannot fail.
    for finding in &refusal.findings {
        let _ = write!(text, "\n{finding}");
    }
    if let Some(conflict) = &refusal.conflict {
        let _ = write!(
            text,
            "\nrevision {} by {} is in force, the settings were made from revision {}",
            conflict.current, conflict.author, conflict.expected,
        );
        for change in &conflict.difference {
            let _ = write!(text, "\n{change}");
        }
    }
    let _ = write!(text, "\nrequest {}", detail.request_id);
    text
}

fn is_unknown(refusal: &AdminRefusal) -> bool {
    refusal.error.refusal.get_run_state() == RunState::Unknown
}

impl CommandError {
    /// Returns the exit code.
    pub(crate) fn status(&self) -> ExitStatus {
        match self {
            Self::ReadFile { .. } | Self::WriteResult { .. } => ExitStatus::File,
            Self::BadFile { .. } | Self::Findings { .. } => ExitStatus::Findings,
            Self::Path { .. } | Self::Usage { .. } => ExitStatus::Usage,
            Self::Refused { refusal } if refusal.conflict.is_some() => ExitStatus::Conflict,
            Self::Refused { refusal } if is_unknown(refusal) => ExitStatus::OutcomeUnknown,
            Self::Refused { .. } | Self::NotFound { .. } => ExitStatus::Refused,
            Self::Unreachable { .. } => ExitStatus::Unreachable,
            Self::AnswerLost { .. }
            | Self::NoAnswer { .. }
            | Self::BadAnswer { .. }
            | Self::OutcomeUnknown { .. } => ExitStatus::OutcomeUnknown,
            Self::ProgramFailed { .. } => ExitStatus::ProgramFailed,
        }
    }

    /// Tells whether an answer is lost that may have been to a request that
    /// took effect.
    pub(crate) fn is_answer_lost(&self) -> bool {
        matches!(self, Self::AnswerLost { .. } | Self::NoAnswer { .. })
    }
}
