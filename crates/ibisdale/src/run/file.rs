//! The program file.

use ibisdale_core::WorkspaceName;
use ibisdale_entry::{CallBody, ChatBody, LimitsBody, StartBody};
use serde::{Deserialize, Serialize};

/// A program and its steps.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct ProgramFile {
    /// The workspace that the key is for.
    pub(crate) workspace: WorkspaceName,
    /// How the program is started.
    pub(crate) start: StartBody,
    /// The steps, run in order.
    pub(crate) steps: Vec<StepFile>,
}

/// A step.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum StepFile {
    /// A model call.
    Chat(ChatBody),
    /// A call to a plain service.
    Call(CallBody),
    /// A sub-agent, which runs to its end before the next step.
    Child(ChildFile),
}

/// A sub-agent and its steps.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChildFile {
    /// The sub-agent's limits.
    #[serde(default)]
    pub(crate) limits: LimitsBody,
    /// The steps, run in order.
    pub(crate) steps: Vec<StepFile>,
}
