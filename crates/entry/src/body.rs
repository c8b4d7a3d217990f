//! Bodies of requests and answers.

use ibisdale_core::{
    HistoryDigest, ProgramId, ProgramName, RefusalCode, RequestRefusal, RouteName, ServiceName,
    StepNumber,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Parses a JSON body.
///
/// # Errors
///
/// Refuses broken JSON and wrong shapes, with line and column.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, RequestRefusal> {
    serde_json::from_slice(body).map_err(|error| {
        RequestRefusal::new(
            RefusalCode::BadRequest,
            format!("the body is not accepted: {error}"),
        )
    })
}

/// A program's budget as the caller wishes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetBody {
    /// Tokens, prompt and answer together.
    pub tokens: Option<u64>,
    /// Non-idempotent calls.
    pub paid_actions: Option<u32>,
}

/// A program's limits as the caller wishes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsBody {
    /// Steps, those of sub-agents not counted.
    pub steps: Option<u32>,
    /// Time from the start, in milliseconds.
    pub wall_clock_ms: Option<u64>,
}

/// Body of a request that starts a program.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StartBody {
    /// Name of the program among those declared for the workspace.
    pub program: ProgramName,
    /// Time from now in which the program must finish, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The budget; what is left out comes from the settings.
    #[serde(default)]
    pub budget: BudgetBody,
    /// The limits; what is left out comes from the settings.
    #[serde(default)]
    pub limits: LimitsBody,
}

/// Body of a request that starts a sub-agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChildBody {
    /// The sub-agent's limits.
    #[serde(default)]
    pub limits: LimitsBody,
}

/// Body of a model call in the shape of OpenAI chat completions.
///
/// Fields that are not read here go to the engine unchanged.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChatBody {
    /// Name of the model.
    pub model: String,
    /// Messages added since the step before.
    pub messages: Vec<Value>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Largest number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Other fields.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

/// Body of a call to a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallBody {
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the route in the settings.
    pub route: RouteName,
    /// What is sent to the service.
    #[serde(default)]
    pub body: Value,
}

/// Answer to a request for addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct AddressesReply {
    /// Addresses in the order in which to try them.
    pub addresses: Vec<String>,
    /// Time for which to keep this answer, in milliseconds.
    pub keep_ms: u64,
}

/// A program's state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ProgramReply {
    /// The program.
    pub id: ProgramId,
    /// `running`, or how it ended.
    pub state: String,
    /// Digest of the history so far.
    pub digest: HistoryDigest,
    /// Number that the next step must carry.
    pub next_step: StepNumber,
    /// Tokens left in the budget.
    pub tokens_left: u64,
    /// Paid actions left in the budget.
    pub paid_actions_left: u32,
    /// Address of the program's owner.
    pub address: String,
}

/// What became of a step.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StepReply {
    /// The program.
    pub program: ProgramId,
    /// The step.
    pub step: StepNumber,
    /// `waiting`, `running`, `completed`, or what is proven of a failed
    /// attempt: `not_run`, `ran` or `unknown`.
    pub state: String,
    /// The recorded answer of a completed step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Value>,
    /// The refusal of a failed attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<RequestRefusal>,
    /// Digest of the history up to the step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<HistoryDigest>,
}
