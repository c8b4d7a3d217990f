//! Records of a program's history. Each record holds one event.

use bytes::Bytes;
use ibisdale_core::{AttemptKey, ProgramId, StepNumber, TimeStamp, WorkspaceName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::account::{ProgramBudget, ProgramLimits};
use crate::request::StepKind;
use crate::result::RecordedOutcome;

/// Version of the record format that this crate reads and writes.
pub const RECORD_VERSION: u16 = 1;

/// Error when encoding or decoding a record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum RecordError {
    /// The record can't be encoded or decoded.
    #[snafu(display("the record can't be encoded or decoded: {reason}"))]
    Decode {
        /// Error message of the encoder or decoder.
        reason: String,
    },
    /// The record was written in an unknown version of the format.
    #[snafu(display("record version {version} is not known"))]
    UnknownVersion {
        /// Version found in the record.
        version: u16,
    },
}

/// Network address of an engine, for example `10.0.0.1:80`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct EngineAddress(Bytes);

impl EngineAddress {
    /// Creates an address, which is not checked.
    pub fn new(address: impl Into<Bytes>) -> Self {
        Self(address.into())
    }

    /// Returns the address as given to [`EngineAddress::new`].
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Label that operators gave to an API key; identifies the key that a program
/// was started with.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct KeyLabel(Bytes);

impl KeyLabel {
    /// Creates a label, which must not be the key itself.
    pub fn new(label: impl Into<Bytes>) -> Self {
        Self(label.into())
    }

    /// Returns the label as given to [`KeyLabel::new`].
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Reason for the end of a program.
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
    /// It ran longer than its wall-clock limit.
    WallClock,
    /// It reached its step limit.
    StepLimit,
    /// Its token budget is used up.
    OutOfBudget,
    /// No step ran and no step or sub-agent was started within the idle timeout.
    Idle,
    /// The key that it was started with was withdrawn.
    KeyWithdrawn,
    /// The program that started it ended.
    ParentEnded,
}

impl EndReason {
    /// Returns the reason's name as sent to callers.
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

/// Event: a program was started.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ProgramStarted {
    /// The workspace that the program belongs to.
    pub workspace: WorkspaceName,
    /// The declared name of the program.
    pub name: Bytes,
    /// The key that it was started with.
    pub key: Option<KeyLabel>,
    /// The program that started it, for a sub-agent.
    pub parent: Option<ProgramId>,
    /// Deadline of the program.
    pub deadline: Option<TimeStamp>,
    /// Budget that a root program shares with its sub-agents.
    pub budget: ProgramBudget,
    /// Limits of this program.
    pub limits: ProgramLimits,
    /// Time of the start.
    pub at: TimeStamp,
}

/// Event: an attempt at a step was admitted. Written before the call is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct StepStarted {
    /// Number of the step.
    pub step: StepNumber,
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// Kind of the call and the bounds of its cost.
    pub kind: StepKind,
    /// Payload of the request.
    pub request: Bytes,
    /// Time of the admission.
    pub at: TimeStamp,
}

/// Event: an attempt at a step has an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct StepFinished {
    /// Number of the step.
    pub step: StepNumber,
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// Outcome of the attempt.
    pub result: RecordedOutcome,
}

/// Event: a session is about to be opened on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SessionOpened {
    /// Address of the engine.
    pub engine: EngineAddress,
}

/// Event: an engine released the session or has left permanently.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SessionReleased {
    /// Address of the engine.
    pub engine: EngineAddress,
}

/// Event: a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ProgramEnded {
    /// Reason for the end.
    pub reason: EndReason,
    /// Time of the end.
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
    /// A session is about to be opened on an engine.
    SessionOpened(SessionOpened),
    /// An engine released the session or has left permanently.
    SessionReleased(SessionReleased),
    /// The program ended.
    ProgramEnded(ProgramEnded),
}

/// One record of the history that a root program and its sub-agents share.
///
/// There is one history per root program, so that recovery reads the step order
/// and budget of the whole program tree together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ProgramRecord {
    /// Version of the format.
    pub version: u16,
    /// The root program, which is the key of the stored history.
    pub root: ProgramId,
    /// Position in the root program's history, from zero.
    pub sequence: u64,
    /// Epoch of the owner that wrote the record.
    pub epoch: u64,
    /// The program that the event belongs to: the root or a sub-agent.
    pub program: ProgramId,
    /// The event that the record describes.
    pub event: ProgramEvent,
}

impl ProgramRecord {
    /// Encodes the record as CBOR.
    ///
    /// # Errors
    ///
    /// Returns an error if encoding fails.
    pub fn to_bytes(&self) -> Result<Bytes, RecordError> {
        let mut buffer = Vec::new();
        ciborium::into_writer(self, &mut buffer).map_err(|error| RecordError::Decode {
            reason: error.to_string(),
        })?;
        Ok(buffer.into())
    }

    /// Decodes a record from CBOR.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a record or its version is unknown.
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
