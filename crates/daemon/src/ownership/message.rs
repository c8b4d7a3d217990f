//! Messages to the control task.

use std::time::Duration;

use async_channel::Sender;
use ibisdale_core::{AttemptKey, ProgramId, SlotId, StepNumber};
use ibisdale_policy::journal::{IntentVerdict, JournalEntry, NotCommittedReason};
use ibisdale_policy::ownership::{CallFailure, CallId, KeyChange, StoreResponse};
use snafu::Snafu;

/// A paid action that is to be recorded before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaidIntent {
    /// The program.
    pub program: ProgramId,
    /// The step.
    pub step: StepNumber,
    /// The caller's attempt.
    pub attempt: AttemptKey,
    /// Time allowed for recording it.
    pub timeout: Duration,
}

/// A recorded intent: the action may be sent, once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommittedIntent {
    /// Epoch of the program's slot.
    pub epoch: u64,
}

/// Why an action must not be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum IntentError {
    /// The intent is not recorded and will not be.
    #[snafu(display("the action is not recorded: {reason:?}"))]
    NotCommitted {
        /// Why.
        reason: NotCommittedReason,
    },
    /// The intent may be recorded. The action is not sent, so it has not run;
    /// after a takeover it shows as one whose outcome is unknown.
    #[snafu(display("the action may be recorded, and is not sent"))]
    Unknown,
    /// The driver has stopped.
    #[snafu(display("ownership has stopped"))]
    Stopped,
}

/// Returns the answer to a request from its verdict.
pub(crate) fn answer_of(verdict: IntentVerdict) -> Result<CommittedIntent, IntentError> {
    match verdict {
        IntentVerdict::Committed { epoch } => Ok(CommittedIntent { epoch }),
        IntentVerdict::NotCommitted(reason) => Err(IntentError::NotCommitted { reason }),
        IntentVerdict::Unknown => Err(IntentError::Unknown),
    }
}

/// A slot that is not given up while work is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PinnedSlot {
    /// The slot.
    pub slot: SlotId,
    /// Its epoch.
    pub epoch: u64,
}

/// A message to the control task.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    Answer {
        id: CallId,
        answer: Result<StoreResponse, CallFailure>,
        /// Where changes are to be followed from, after a whole read.
        follow: Option<FollowStart>,
    },
    Changes {
        changes: Vec<KeyChange>,
    },
    Gap,
    Intent {
        intent: PaidIntent,
        reply: Sender<IntentVerdict>,
    },
    Lookup {
        program: ProgramId,
        step: StepNumber,
        reply: Sender<Option<JournalEntry>>,
    },
    Finish {
        program: ProgramId,
        step: StepNumber,
    },
    Withdraw {
        program: ProgramId,
        step: StepNumber,
    },
    Pin {
        slot: SlotId,
        reply: Sender<Option<PinnedSlot>>,
    },
    Unpin {
        slot: SlotId,
    },
    Fenced {
        slot: SlotId,
        epoch: u64,
    },
    Drain {
        reply: Sender<()>,
    },
}

/// Revisions after which changes are followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FollowStart {
    pub(crate) daemons: i64,
    pub(crate) slots: i64,
}
