//! JSON bodies of requests and responses.

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
/// Refuses invalid JSON and JSON that does not match `T`, with line and column.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, RequestRefusal> {
    serde_json::from_slice(body).map_err(|error| {
        RequestRefusal::new(
            RefusalCode::BadRequest,
            format!("the body is not accepted: {error}"),
        )
    })
}

/// Budget that the caller requests for a program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetBody {
    /// Maximum number of prompt and completion tokens together.
    pub tokens: Option<u64>,
    /// Maximum number of paid actions, that is, non-idempotent calls.
    pub paid_actions: Option<u32>,
}

/// Limits that the caller requests for a program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsBody {
    /// Maximum number of steps, excluding those of sub-agents.
    pub steps: Option<u32>,
    /// Maximum run time, in milliseconds from the start.
    pub wall_clock_ms: Option<u64>,
}

/// Body of a request that starts a program.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StartBody {
    /// Name of a program that the settings declare for the workspace.
    pub program: ProgramName,
    /// Deadline, in milliseconds from the start of the program.
    pub deadline_ms: Option<u64>,
    /// The budget; omitted fields take their values from the settings.
    #[serde(default)]
    pub budget: BudgetBody,
    /// The limits; omitted fields take their values from the settings.
    #[serde(default)]
    pub limits: LimitsBody,
}

/// Body of a request that starts a sub-agent, a child of the program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChildBody {
    /// The sub-agent's limits.
    #[serde(default)]
    pub limits: LimitsBody,
}

/// Body of a model call, in the format of OpenAI chat completions.
///
/// Fields not declared here are kept in `other` and passed to the engine unchanged.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChatBody {
    /// Name of the model.
    pub model: String,
    /// Messages added since the previous step.
    pub messages: Vec<Value>,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// All other fields of the request.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

/// Body of a call to a service other than a model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallBody {
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the route in the settings.
    pub route: RouteName,
    /// JSON body to send to the service.
    #[serde(default)]
    pub body: Value,
}

/// Response to a request for daemon addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct AddressesReply {
    /// Daemon addresses, in the order in which the caller should try them.
    pub addresses: Vec<String>,
    /// Time for which the caller may cache this response, in milliseconds.
    pub keep_ms: u64,
}

/// State of a program.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ProgramReply {
    /// The program.
    pub id: ProgramId,
    /// `running`, or the outcome of a program that has ended.
    pub state: String,
    /// Digest of the program's current history.
    pub digest: HistoryDigest,
    /// Number that the next step must have.
    pub next_step: StepNumber,
    /// Tokens remaining in the budget.
    pub tokens_left: u64,
    /// Paid actions remaining in the budget.
    pub paid_actions_left: u32,
    /// Address of the daemon that owns the program.
    pub address: String,
}

/// State or result of a step.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StepReply {
    /// The program.
    pub program: ProgramId,
    /// The step.
    pub step: StepNumber,
    /// `waiting`, `running`, `completed`, or for a failed attempt whether the
    /// upstream ran it: `not_run`, `ran` or `unknown`.
    pub state: String,
    /// The recorded response of a completed step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Value>,
    /// The refusal of a failed attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<RequestRefusal>,
    /// Digest of the history up to and including the step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<HistoryDigest>,
}
