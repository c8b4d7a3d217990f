//! Calls of the callers' interface.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use http::{HeaderValue, Method, Response};
use ibisdale_core::{AttemptKey, HistoryDigest, ProgramId, StepNumber, WorkspaceName};
use ibisdale_entry::{
    AddressesReply, ChildBody, DIGEST_HEADER, LimitsBody, ProgramReply, StartBody, StepReply,
};
use ibisdale_net::{FramedBody, TrafficExecutor, read_limited};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::CommandError;
use crate::operator::{HttpCall, HttpReply, exchange_error};
use crate::run::stream::read_stream;

/// Largest answer of a step, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1_024 * 1_024;
/// Time in which a step's answer must be whole.
const STEP_TIMEOUT: Duration = Duration::from_mins(10);
const STEP: &str = "running a step";
const EVENT_TYPE: &str = "text/event-stream";

/// A program or sub-agent that was started.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(crate) struct StartedProgram {
    pub(crate) id: ProgramId,
    pub(crate) digest: HistoryDigest,
    pub(crate) address: String,
}

/// A step that is to run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepCall<'a> {
    pub(crate) program: ProgramId,
    pub(crate) step: StepNumber,
    pub(crate) kind: &'static str,
    pub(crate) attempt: &'a AttemptKey,
    pub(crate) digest: HistoryDigest,
}

/// The answer to a step.
#[derive(Clone, Debug)]
pub(crate) struct StepAnswer {
    pub(crate) answer: Value,
    /// The digest after the step, if the answer carried it.
    pub(crate) digest: Option<HistoryDigest>,
}

/// Calls a daemon's callers' interface.
#[derive(Clone, Debug)]
pub(crate) struct CallerClient {
    address: SocketAddr,
    key: HeaderValue,
    executor: TrafficExecutor,
}

impl CallerClient {
    pub(crate) fn new(address: SocketAddr, key: HeaderValue, executor: TrafficExecutor) -> Self {
        Self {
            address,
            key,
            executor,
        }
    }

    /// Returns a client of another daemon; keeps this one's address where the
    /// text is none.
    pub(crate) fn at(&self, address: &str) -> Self {
        Self {
            address: address.parse().unwrap_or(self.address),
            ..self.clone()
        }
    }

    async fn send(&self, call: HttpCall) -> Result<HttpReply, CommandError> {
        let call = call.key(Some(&self.key));
        call.send(self.address, &self.executor).await
    }

    /// Asks which addresses to use.
    pub(crate) async fn find_addresses(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<AddressesReply, CommandError> {
        let path = format!("/v1/addresses?workspace={workspace}");
        let call = HttpCall::new("asking for addresses", Method::GET, &path);
        self.send(call).await?.parse()
    }

    pub(crate) async fn start(&self, start: &StartBody) -> Result<StartedProgram, CommandError> {
        let call = HttpCall::new("starting the program", Method::POST, "/v1/programs");
        self.send(call.json(start)).await?.parse()
    }

    pub(crate) async fn start_child(
        &self,
        parent: ProgramId,
        limits: LimitsBody,
    ) -> Result<StartedProgram, CommandError> {
        let path = format!("/v1/programs/{parent}/children");
        let call = HttpCall::new("starting a sub-agent", Method::POST, &path);
        self.send(call.json(&ChildBody { limits })).await?.parse()
    }

    pub(crate) async fn read_program(
        &self,
        program: ProgramId,
    ) -> Result<ProgramReply, CommandError> {
        let path = format!("/v1/programs/{program}");
        let call = HttpCall::new("reading the program", Method::GET, &path);
        self.send(call).await?.parse()
    }

    pub(crate) async fn read_step(
        &self,
        program: ProgramId,
        step: StepNumber,
    ) -> Result<StepReply, CommandError> {
        let path = format!("/v1/programs/{program}/steps/{step}");
        let call = HttpCall::new("reading a step", Method::GET, &path);
        self.send(call).await?.parse()
    }

    pub(crate) async fn end(&self, program: ProgramId) -> Result<(), CommandError> {
        let path = format!("/v1/programs/{program}/end");
        let call = HttpCall::new("ending the program", Method::POST, &path);
        let reply = self.send(call).await?;
        if reply.status().is_success() {
            return Ok(());
        }
        reply.parse::<Value>().map(drop)
    }

    /// Runs a step and reads its whole answer, streamed or not.
    pub(crate) async fn run_step(
        &self,
        step: StepCall<'_>,
        body: &impl Serialize,
    ) -> Result<StepAnswer, CommandError> {
        let expire = async {
            smol::Timer::after(STEP_TIMEOUT).await;
            Err(CommandError::NoAnswer {
                address: self.address,
                what: STEP,
                limit: STEP_TIMEOUT,
            })
        };
        self.exchange_step(step, body).or(expire).await
    }

    async fn exchange_step(
        &self,
        step: StepCall<'_>,
        body: &impl Serialize,
    ) -> Result<StepAnswer, CommandError> {
        let StepCall { program, kind, .. } = step;
        let path = format!("/v1/programs/{program}/steps/{}/{kind}", step.step);
        let call = HttpCall::new(STEP, Method::POST, &path)
            .key(Some(&self.key))
            .header("attempt-key", step.attempt.as_str())
            .header(DIGEST_HEADER, &step.digest.to_string())
            .json(body);
        let response = call.send_head(self.address, &self.executor).await?;
        if is_stream(&response) {
            return self.read_streamed(response).await;
        }
        let (head, body) = response.into_parts();
        let body = read_limited(body, ANSWER_MAX_BYTES).await;
        let body = body.map_err(|error| exchange_error(self.address, STEP, error))?;
        let reply = HttpReply {
            address: self.address,
            response: Response::from_parts(head, body),
        };
        let digest = header_digest(&reply.response);
        let answer = reply.parse()?;
        Ok(StepAnswer { answer, digest })
    }

    async fn read_streamed(
        &self,
        response: Response<FramedBody>,
    ) -> Result<StepAnswer, CommandError> {
        let streamed = read_stream(response.into_body(), self.address, STEP).await?;
        if let Some(refusal) = &streamed.refusal {
            let refusal = serde_json::from_value(refusal.clone());
            let refusal = refusal.map_err(|error| CommandError::OutcomeUnknown {
                message: format!("the stream ended with an error that is not understood: {error}"),
            })?;
            return Err(CommandError::Refused {
                refusal: Box::new(refusal),
            });
        }
        Ok(StepAnswer {
            answer: streamed.answer(),
            digest: streamed.digest,
        })
    }
}

fn is_stream(response: &Response<FramedBody>) -> bool {
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_TYPE.as_bytes()))
}

fn header_digest<T>(response: &Response<T>) -> Option<HistoryDigest> {
    let value = response.headers().get(DIGEST_HEADER)?;
    value.to_str().ok()?.parse().ok()
}
