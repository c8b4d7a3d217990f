//! Records of a program's history, one for each event.

use bytes::Bytes;
use ibisdale_core::{AttemptKey, ProgramId, StepNumber, TimeStamp, WorkspaceName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::account::{ProgramBudget, ProgramLimits};
use crate::request::StepKind;
use crate::result::StepResult;

/// Version of the record format that this package writes.
pub const RECORD_VERSION: u16 = 1;

/// Tells why a record's bytes can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum RecordError {
    /// The bytes are not a record.
    #[snafu(display("the record can't be decoded: {reason}"))]
    Decode {
        /// What the decoder found.
        reason: String,
    },
    /// The record was written by a version that this one does not know.
    #[snafu(display("record version {version} is not known"))]
    UnknownVersion {
        /// The record's version.
        version: u16,
    },
}

/// Network address of an engine replica, as text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct EngineAddress(Bytes);

impl EngineAddress {
    /// Creates an address.
    pub fn new(address: impl Into<Bytes>) -> Self {
        Self(address.into())
    }

    /// Returns the address's bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Operators' name of the key that a program was started under.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct KeyLabel(Bytes);

impl KeyLabel {
    /// Creates a label; never the key itself.
    pub fn new(label: impl Into<Bytes>) -> Self {
        Self(label.into())
    }

    /// Returns the label's bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Tells why a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The caller ended it.
    Finished,
    /// The caller or an operator cancelled it.
    Cancelled,
    /// Its deadline passed.
    Deadline,
    /// Its wall-clock limit passed.
    WallClock,
    /// Its step limit is used up.
    StepLimit,
    /// Its token budget is used up.
    OutOfBudget,
    /// Its caller sent nothing within the idle limit.
    Idle,
    /// The key that it was started under was withdrawn.
    KeyWithdrawn,
    /// The program that started it ended.
    ParentEnded,
}

impl EndReason {
    /// Returns the reason as callers see it.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Cancelled => "cancelled",
            Self::Deadline => "deadline",
            Self::WallClock => "wall_clock",
            Self::StepLimit => "step_limit",
            Self::OutOfBudget => "out_of_budget",
            Self::Idle => "idle",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::ParentEnded => "parent_ended",
        }
    }
}

/// A program was started.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ProgramStarted {
    /// The workspace that the program belongs to.
    pub workspace: WorkspaceName,
    /// The declared name of the program.
    pub name: Bytes,
    /// The key that it was started under.
    pub key: Option<KeyLabel>,
    /// The program that started it, for a sub-agent.
    pub parent: Option<ProgramId>,
    /// When the program must be done.
    pub deadline: Option<TimeStamp>,
    /// Budget of a root program and its sub-agents together.
    pub budget: ProgramBudget,
    /// Limits of this program.
    pub limits: ProgramLimits,
    /// When it started.
    pub at: TimeStamp,
}

/// An attempt at a step was admitted: the intent to run it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct StepStarted {
    /// The step.
    pub step: StepNumber,
    /// The attempt.
    pub attempt: AttemptKey,
    /// What kind of call it is and what it may cost.
    pub kind: StepKind,
    /// The request's payload.
    pub request: Bytes,
    /// When it was admitted.
    pub at: TimeStamp,
}

/// The outcome of an attempt at a step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct StepFinished {
    /// The step.
    pub step: StepNumber,
    /// The attempt.
    pub attempt: AttemptKey,
    /// The outcome.
    pub result: StepResult,
}

/// A session is about to be opened at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SessionOpened {
    /// The engine.
    pub engine: EngineAddress,
}

/// The engine confirmed that it holds nothing of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SessionReleased {
    /// The engine.
    pub engine: EngineAddress,
}

/// A program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ProgramEnded {
    /// Why it ended.
    pub reason: EndReason,
    /// When it ended.
    pub at: TimeStamp,
}

/// One event in a program's history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ProgramEvent {
    /// The program was started.
    ProgramStarted(ProgramStarted),
    /// An attempt at a step was admitted.
    StepStarted(StepStarted),
    /// An attempt at a step has an outcome.
    StepFinished(StepFinished),
    /// A session is about to be opened at an engine.
    SessionOpened(SessionOpened),
    /// An engine confirmed the release of a session.
    SessionReleased(SessionReleased),
    /// The program ended.
    ProgramEnded(ProgramEnded),
}

/// One record of the history that a root program and its sub-agents share.
///
/// Histories are stored by root program, so that order and budget of the whole
/// tree are read back together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ProgramRecord {
    /// Version of the format.
    pub version: u16,
    /// The root program, by which the history is stored.
    pub root: ProgramId,
    /// Position in the root's history, from zero.
    pub sequence: u64,
    /// Epoch of the owner that wrote the record.
    pub epoch: u64,
    /// The program that the event belongs to: the root or a sub-agent.
    pub program: ProgramId,
    /// What happened.
    pub event: ProgramEvent,
}

impl ProgramRecord {
    /// Returns the record's stored form (CBOR).
    ///
    /// # Errors
    ///
    /// Fails when the encoder does.
    pub fn to_bytes(&self) -> Result<Bytes, RecordError> {
        let mut buffer = Vec::new();
        ciborium::into_writer(self, &mut buffer).map_err(|error| RecordError::Decode {
            reason: error.to_string(),
        })?;
        Ok(buffer.into())
    }

    /// Reads a record from its stored form.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a record or its version is not known.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, RecordError> {
        let record: Self = ciborium::from_reader(bytes).map_err(|error| RecordError::Decode {
            reason: error.to_string(),
        })?;
        if record.version != RECORD_VERSION {
            return Err(RecordError::UnknownVersion {
                version: record.version,
            });
        }
        Ok(record)
    }
}
