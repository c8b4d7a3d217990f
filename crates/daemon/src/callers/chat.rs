//! Model calls as steps of a program.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use ibisdale_core::{
    AttemptKey, HistoryDigest, ProgramId, ProgramName, RefusalCode, RequestRefusal, RunState,
    StepNumber,
};
use ibisdale_entry::{
    AnswerHead, BudgetBody, ChatBody, LimitsBody, StepPath, event_bytes, json_answer, parse_json,
    stream_answer,
};
use ibisdale_net::{BoxBody, body_channel, full_body};
use ibisdale_programs::{RecordedOutcome, RecordedStep, StepKind, StepOutcome, StepRequest};
use ibisdale_settings::ModelSettings;

use super::access::{model_settings, program_settings, workspace_settings};
use super::answer_builder::{answer_chunk, digest_event};
use super::chat_run::ChatRun;
use super::chat_sink::AnswerSink;
use super::dispatch::CallerRequest;
use super::programs::{new_program, take_program_credit};
use super::prompt::{DEFAULT_MAX_TOKENS, added_tokens_max, render_engine_body, render_payload};
use crate::context::DaemonContext;
use crate::control::AdmittedStep;
use crate::slot_pin::SlotPin;

/// Program that a request without a program runs as.
const COMPLETION_PROGRAM: &[u8] = b"chat";
/// Data of the event that ends a whole answer.
const DONE_DATA: &[u8] = b"[DONE]";

/// Runs a model call as a step of a program.
pub(super) async fn run_chat_step(
    context: &Arc<DaemonContext>,
    request: &CallerRequest,
    path: StepPath,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let body = parse_chat(&request.body)?;
    let model = find_model(context, request, &body)?;
    run_step(context, request, path, body, &model, false).await
}

/// Runs a program of one model call.
pub(super) async fn run_completion(
    context: &Arc<DaemonContext>,
    request: &CallerRequest,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let body = parse_chat(&request.body)?;
    let model = find_model(context, request, &body)?;
    let snapshot = context.settings();
    let workspace = workspace_settings(&snapshot, &request.caller.workspace)?;
    let name = ProgramName::new(COMPLETION_PROGRAM)
        .map_err(|error| RequestRefusal::new(RefusalCode::Internal, error.to_string()))?;
    let settings = program_settings(workspace, &name)?;
    take_program_credit(context, request, &name).await?;
    let (budget, limits) = (BudgetBody::default(), LimitsBody::default());
    let new = new_program(request, settings, None, budget, limits)?;
    let started = context.control.start(new).await?;
    let path = StepPath {
        program: started.id,
        step: StepNumber::FIRST,
    };
    let result = run_step(context, request, path, body, &model, true).await;
    if result.is_err() {
        let workspace = request.caller.workspace.clone();
        let _ = context.control.cancel(started.id, Some(workspace)).await;
    }
    result
}

fn parse_chat(body: &[u8]) -> Result<ChatBody, RequestRefusal> {
    let body: ChatBody = parse_json(body)?;
    let is_several = body
        .other
        .get("n")
        .is_some_and(|count| count.as_u64() != Some(1));
    if is_several {
        let message = "only one choice per call is supported: leave 'n' out or set it to 1";
        return Err(RequestRefusal::new(RefusalCode::BadRequest, message));
    }
    if body.messages.is_empty() {
        let message = "the body is not accepted: 'messages' is empty";
        return Err(RequestRefusal::new(RefusalCode::BadRequest, message));
    }
    Ok(body)
}

fn find_model(
    context: &DaemonContext,
    request: &CallerRequest,
    body: &ChatBody,
) -> Result<Arc<ModelSettings>, RequestRefusal> {
    let snapshot = context.settings();
    let workspace = workspace_settings(&snapshot, &request.caller.workspace)?;
    model_settings(&snapshot, workspace, &body.model).cloned()
}

/// Builds the request that the control thread admits.
pub(super) fn step_request(
    request: &CallerRequest,
    path: StepPath,
    kind: StepKind,
    payload: Bytes,
) -> Result<StepRequest, RequestRefusal> {
    let workspace = request.caller.workspace.clone();
    let attempt = attempt_key(request)?;
    let step = StepRequest::new(path.program, workspace, path.step, attempt, kind, payload);
    Ok(match request.step.digest {
        Some(digest) => step.expect_digest(digest),
        None => step,
    })
}

/// Returns the attempt's key; without one each request is an attempt of its own.
fn attempt_key(request: &CallerRequest) -> Result<AttemptKey, RequestRefusal> {
    if let Some(key) = &request.step.attempt_key {
        return Ok(key.clone());
    }
    AttemptKey::new(request.id.to_string())
        .map_err(|error| RequestRefusal::new(RefusalCode::Internal, error.to_string()))
}

async fn run_step(
    context: &Arc<DaemonContext>,
    request: &CallerRequest,
    path: StepPath,
    body: ChatBody,
    model: &Arc<ModelSettings>,
    is_last: bool,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let kind = StepKind::Model {
        prompt_tokens: added_tokens_max(&body.messages),
        max_tokens: u64::from(max_tokens),
    };
    let step = step_request(request, path, kind, render_payload(&body.messages))?;
    let pin = SlotPin::new(context, path.program).await?;
    match context.control.admit(step).await? {
        AdmittedStep::Recorded { record, .. } => {
            answer_record(request, path.program, &body, *record)
        }
        AdmittedStep::Run {
            ticket,
            cancel,
            history,
            ..
        } => {
            let engine_body = match render_engine_body(&body, &history, max_tokens) {
                Ok(engine_body) => engine_body,
                Err(refusal) => {
                    let outcome = StepOutcome::Failed {
                        refusal: refusal.clone(),
                    };
                    context.control.finish_detached(ticket, outcome);
                    return Err(refusal);
                }
            };
            let run = ChatRun::new(context, request, model, ticket, cancel)
                .pin(pin)
                .engine_body(engine_body)
                .known_tokens(crate::control::known_tokens(&history))
                .added_tokens(added_tokens_max(&body.messages))
                .last(is_last);
            answer_run(context, request, &body, run).await
        }
    }
}

/// Runs the call in a task of its own, which finishes the step even when the
/// caller goes away.
async fn answer_run(
    context: &Arc<DaemonContext>,
    request: &CallerRequest,
    body: &ChatBody,
    run: ChatRun,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let (begin, head) = async_channel::bounded(1);
    if body.stream {
        let (sender, stream) = body_channel();
        let sink = AnswerSink::Stream { begin, sender };
        context.executor.spawn(run.run(sink)).detach();
        wait_answer(head).await?;
        return Ok(stream_answer(AnswerHead::new(request.id), stream));
    }
    let (whole, answer) = async_channel::bounded(1);
    let sink = AnswerSink::Whole { sender: whole };
    context.executor.spawn(run.run(sink)).detach();
    let record = wait_answer(answer).await?;
    answer_whole(request, record)
}

async fn wait_answer<T>(
    receiver: async_channel::Receiver<Result<T, RequestRefusal>>,
) -> Result<T, RequestRefusal> {
    receiver.recv().await.unwrap_or_else(|_| {
        let refusal = RequestRefusal::new(RefusalCode::Internal, "the run ended without an answer");
        Err(refusal.run_state(RunState::Unknown))
    })
}

fn answer_whole(
    request: &CallerRequest,
    record: RecordedStep,
) -> Result<Response<BoxBody>, RequestRefusal> {
    match record.result {
        RecordedOutcome::Completed { answer, .. } => {
            let head = AnswerHead::new(request.id).digest(record.digest);
            let value: serde_json::Value = serde_json::from_slice(&answer).unwrap_or_default();
            Ok(json_answer(head, &value))
        }
        RecordedOutcome::Refused(refusal) => Err(refusal),
    }
}

fn answer_record(
    request: &CallerRequest,
    program: ProgramId,
    body: &ChatBody,
    record: RecordedStep,
) -> Result<Response<BoxBody>, RequestRefusal> {
    if !body.stream {
        return answer_whole(request, record);
    }
    match record.result {
        RecordedOutcome::Completed { answer, .. } => {
            let mut events = event_bytes(&answer_chunk(&answer)).to_vec();
            events.extend_from_slice(&stream_end(program, record.step, record.digest));
            let head = AnswerHead::new(request.id).digest(record.digest);
            Ok(stream_answer(head, full_body(events)))
        }
        RecordedOutcome::Refused(refusal) => Err(refusal),
    }
}

/// Renders the last events of a whole stream.
pub(super) fn stream_end(program: ProgramId, step: StepNumber, digest: HistoryDigest) -> Bytes {
    let mut events = event_bytes(&digest_event(program, step, digest)).to_vec();
    events.extend_from_slice(&event_bytes(DONE_DATA));
    events.into()
}
