//! What a run reports.

use std::fmt;

use ibisdale_core::{HistoryDigest, ProgramId};
use serde::Serialize;
use serde_json::Value;

/// A program that finished whole.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct RunReport {
    /// The program.
    pub(crate) program: ProgramId,
    /// The digest of its history.
    pub(crate) digest: HistoryDigest,
    /// The steps in the order in which they ran, sub-agents' included.
    pub(crate) steps: Vec<StepReport>,
}

/// A step with its answer.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct StepReport {
    /// The program or sub-agent.
    pub(crate) program: ProgramId,
    /// The step's number in it.
    pub(crate) step: u32,
    /// What was called.
    pub(crate) target: String,
    /// The answer.
    pub(crate) answer: Value,
}

impl fmt::Display for RunReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            let answer = message_text(&step.answer).unwrap_or_else(|| step.answer.to_string());
            writeln!(formatter, "{}: {answer}", step.target)?;
        }
        write!(formatter, "program {} finished", self.program)
    }
}

/// Returns the text of a chat completion.
fn message_text(answer: &Value) -> Option<String> {
    let text = answer.pointer("/choices/0/message/content")?;
    text.as_str().map(str::to_owned)
}
