//! Calls to plain services.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use http::Response;
use ibisdale_core::{RefusalCode, RequestId, RequestRefusal, RouteName, RunState, ServiceName};
use ibisdale_entry::{AnswerHead, CallBody, OpenPath, StepPath, json_answer, parse_json};
use ibisdale_net::BoxBody;
use ibisdale_policy::{CallOutcome, CallReport};
use ibisdale_programs::{RecordedOutcome, RecordedStep, StepKind, StepOutcome, StepTicket};
use ibisdale_settings::{RouteSettings, ServiceSettings, SettingsSnapshot};
use ibisdale_telemetry::SpanKind;
use ibisdale_upstreams::{ServiceCall, ServiceClient, ServiceReply, UpstreamError};
use serde_json::{Value, json};

use super::access::{upstream_weight, workspace_settings};
use super::chat::step_request;
use super::chat_end::upstream_refusal;
use super::dispatch::CallerRequest;
use crate::clock::{instant_of, unix_now};
use crate::context::{DaemonContext, read_credential};
use crate::control::{AdmittedStep, RouteRequest, UpstreamGroup};
use crate::history::StoreResult;
use crate::observe::start_span;
use crate::ownership::{IntentError, PaidIntent};
use crate::slot_pin::SlotPin;

/// A route of a service with its settings.
struct ServiceRoute {
    service: Arc<ServiceSettings>,
    route: RouteSettings,
}

fn find_route(
    settings: &SettingsSnapshot,
    service: &ServiceName,
    route: &RouteName,
) -> Result<ServiceRoute, RequestRefusal> {
    let unknown = || {
        let message = format!("there is no route {route} of a service {service}");
        RequestRefusal::new(RefusalCode::UnknownService, message)
    };
    let settings = settings.service(service).ok_or_else(unknown)?;
    let found = settings.route(route).ok_or_else(unknown)?;
    Ok(ServiceRoute {
        service: Arc::clone(settings),
        route: found.clone(),
    })
}

/// Runs a call to a plain service as a step of a program.
pub(super) async fn run_call_step(
    context: &Arc<DaemonContext>,
    request: &CallerRequest,
    path: StepPath,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let body: CallBody = parse_json(&request.body)?;
    let snapshot = context.settings();
    let workspace = workspace_settings(&snapshot, &request.caller.workspace)?;
    if !workspace.access.has_service(&body.service) {
        let message = format!("workspace {} may not use {}", workspace.name, body.service);
        return Err(RequestRefusal::new(RefusalCode::NotAllowed, message));
    }
    let route = find_route(&snapshot, &body.service, &body.route)?;
    let kind = StepKind::Call {
        idempotent: route.route.is_idempotent,
    };
    let step = step_request(request, path, kind, request.body.clone())?;
    let pin = SlotPin::new(context, path.program).await?;
    match context.control.admit(step).await? {
        AdmittedStep::Recorded { record, .. } => answer_record(request.id, *record),
        AdmittedStep::Run {
            ticket,
            cancel,
            stored,
            ..
        } => {
            let run = CallRun {
                context: Arc::clone(context),
                request: request.clone(),
                route,
                ticket,
                cancel,
                stored,
                pin,
                body: Bytes::from(serde_json::to_vec(&body.body).unwrap_or_default()),
            };
            // The run goes on when the caller goes away, so that its outcome is
            // recorded.
            let record = context.executor.spawn(run.run());
            answer_record(request.id, detach_on_drop(context, record).await?)
        }
    }
}

/// Waits for a task that goes on when the waiting future is dropped.
async fn detach_on_drop<T: Send + 'static>(
    context: &DaemonContext,
    task: async_executor::Task<Result<T, RequestRefusal>>,
) -> Result<T, RequestRefusal> {
    let (sender, receiver) = async_channel::bounded(1);
    let deliver = async move {
        let _ = sender.try_send(task.await);
    };
    context.executor.spawn(deliver).detach();
    receiver.recv().await.unwrap_or_else(|_| {
        let refusal = RequestRefusal::new(RefusalCode::Internal, "the run ended without an answer");
        Err(refusal.run_state(RunState::Unknown))
    })
}

fn answer_record(id: RequestId, record: RecordedStep) -> Result<Response<BoxBody>, RequestRefusal> {
    match record.result {
        RecordedOutcome::Completed { answer, .. } => {
            let value: Value = serde_json::from_slice(&answer).unwrap_or_default();
            Ok(json_answer(
                AnswerHead::new(id).digest(record.digest),
                &value,
            ))
        }
        RecordedOutcome::Refused(refusal) => Err(refusal),
    }
}

/// One call of a step.
struct CallRun {
    context: Arc<DaemonContext>,
    request: CallerRequest,
    route: ServiceRoute,
    ticket: Box<StepTicket>,
    cancel: Receiver<()>,
    stored: Receiver<StoreResult>,
    pin: SlotPin,
    body: Bytes,
}

impl CallRun {
    async fn run(self) -> Result<RecordedStep, RequestRefusal> {
        let (program, step) = (self.ticket.get_program(), self.ticket.get_step());
        let is_paid = self.ticket.is_intent_needed();
        let outcome = self.call().await;
        let is_unsent = is_not_run(&outcome);
        let ownership = self.context.ownership.clone();
        let result = self.context.control.finish(self.ticket, outcome).await;
        if is_paid && is_unsent {
            ownership.withdraw_intent(program, step);
        } else if is_paid && result.is_ok() {
            ownership.finish_intent(program, step);
        }
        drop(self.pin);
        result
    }

    /// Records the intent of a paid action: first in the history, so that its
    /// next owner knows of it, then in the journal, by which it is fenced.
    async fn commit_intent(&self) -> Result<(), RequestRefusal> {
        self.stored.recv().await.unwrap_or(Ok(()))?;
        let intent = PaidIntent {
            program: self.ticket.get_program(),
            step: self.ticket.get_step(),
            attempt: self.ticket.get_attempt().clone(),
            timeout: INTENT_TIMEOUT,
        };
        let committed = self.context.ownership.commit_intent(intent).await;
        let committed = committed.map_err(|error| intent_refusal(&error))?;
        if committed.epoch == self.ticket.get_epoch() {
            return Ok(());
        }
        let message = "the program's owner changed before the call was sent";
        Err(RequestRefusal::new(RefusalCode::OwnerUnavailable, message)
            .retry_after(INTENT_RETRY_DELAY))
    }

    async fn call(&self) -> StepOutcome {
        if self.ticket.is_intent_needed()
            && let Err(refusal) = self.commit_intent().await
        {
            // Nothing was sent, whatever became of the intent.
            let refusal = refusal.run_state(RunState::NotRun);
            return StepOutcome::Failed { refusal };
        }
        if self.cancel.is_closed() {
            let refusal = RequestRefusal::new(RefusalCode::ProgramEnded, "the program has ended");
            return StepOutcome::Failed { refusal };
        }
        let key = self.ticket.get_attempt().as_str();
        let deadline = self.ticket.get_deadline();
        let call = ServiceCall::new(
            self.route.route.method.clone(),
            self.route.route.path.clone(),
        )
        .body(self.body.clone())
        .idempotency_key(&format!("{}:{key}", self.ticket.get_program()))
        .idempotent(self.route.route.is_idempotent);
        let workspace = &self.request.caller.workspace;
        let program = Some(self.ticket.get_program());
        let route = RouteRequest {
            group: UpstreamGroup(Bytes::from(self.route.service.vm_group.clone())),
            workspace: workspace.clone(),
            program,
            prompt_tokens: 0,
            known_tokens: 0,
            deadline,
            avoid: None,
            weight: upstream_weight(&self.context, workspace),
        };
        let traceparent = self.request.traceparent.as_deref();
        match send_call(&self.context, &self.route, route, call, traceparent).await {
            Ok(reply) => reply_outcome(&reply),
            Err(refusal) => StepOutcome::Failed { refusal },
        }
    }
}

/// Time in which an intent must be recorded.
const INTENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which an intent that was not recorded is worth another try.
const INTENT_RETRY_DELAY: Duration = Duration::from_secs(1);

fn intent_refusal(error: &IntentError) -> RequestRefusal {
    RequestRefusal::new(RefusalCode::PlatformUnavailable, error.to_string())
        .retry_after(INTENT_RETRY_DELAY)
}

fn is_not_run(outcome: &StepOutcome) -> bool {
    match outcome {
        StepOutcome::Failed { refusal } => refusal.get_run_state() == RunState::NotRun,
        StepOutcome::Completed { .. } | StepOutcome::Unknown => false,
    }
}

/// Chooses a replica and sends a call to it.
async fn send_call(
    context: &DaemonContext,
    route: &ServiceRoute,
    request: RouteRequest,
    call: ServiceCall,
    traceparent: Option<&str>,
) -> Result<ServiceReply, RequestRefusal> {
    let limit = unix_now().plus(route.route.timeout);
    let deadline = request
        .deadline
        .map_or(limit, |deadline| deadline.min(limit));
    let routed = context.control.route(request).await?;
    let mut call = call.deadline(instant_of(deadline));
    let credential_file = route.service.credential_file.as_deref();
    if let Some(credential) = credential_file.and_then(read_credential) {
        call = call.credential(credential);
    }
    context.metrics.count_upstream_call("service");
    let span = start_span(context, "service", SpanKind::Client, traceparent)
        .attribute("ibisdale.upstream", routed.address.to_string());
    let call = call.traceparent(&span.get_context().to_string());
    let client = ServiceClient::new(context.pools.get(routed.address));
    let result = client.call(call).await;
    span.close();
    let outcome = match &result {
        Ok(reply) if reply.get_status().is_server_error() => CallOutcome::Failed,
        Ok(_) => CallOutcome::Succeeded,
        Err(_) => CallOutcome::Failed,
    };
    context
        .control
        .call_ended(routed.route, CallReport::new(outcome));
    result.map_err(|error| call_refusal(&error))
}

fn call_refusal(error: &UpstreamError) -> RequestRefusal {
    let refusal = upstream_refusal(error, false);
    if refusal.get_run_state() != RunState::Unknown {
        return refusal;
    }
    let kind = error.get_kind().as_str();
    let message = format!("what became of the call is not known: {kind}");
    RequestRefusal::new(RefusalCode::OutcomeUnknown, message).run_state(RunState::Unknown)
}

/// Renders a service's answer as the step's: its status and its body.
fn render_reply(reply: &ServiceReply) -> Value {
    let body = serde_json::from_slice(reply.get_body())
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(reply.get_body()).into_owned()));
    json!({"status": reply.get_status().as_u16(), "body": body})
}

fn reply_outcome(reply: &ServiceReply) -> StepOutcome {
    let status = reply.get_status();
    match reply.get_run_state() {
        RunState::Ran => {
            let answer = serde_json::to_vec(&render_reply(reply)).unwrap_or_default();
            StepOutcome::Completed {
                answer: answer.into(),
                tokens_used: 0,
            }
        }
        state => {
            let message = format!("the service answered {status}");
            let refusal =
                RequestRefusal::new(RefusalCode::UpstreamFailed, message).run_state(state);
            let refusal = match reply.get_retry_after() {
                Some(delay) => refusal.retry_after(delay),
                None => refusal,
            };
            StepOutcome::Failed { refusal }
        }
    }
}

/// Calls an open route, outside any program and without a key.
pub(super) async fn run_open_call(
    context: &Arc<DaemonContext>,
    id: RequestId,
    path: &OpenPath,
    body: Bytes,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let snapshot = context.settings();
    let route = find_route(&snapshot, &path.service, &path.route)?;
    if !route.route.is_open {
        let message = "the route is not open: call it from a program, with a key";
        return Err(RequestRefusal::new(RefusalCode::UnknownKey, message));
    }
    let call = ServiceCall::new(route.route.method.clone(), route.route.path.clone())
        .body(body)
        .idempotent(route.route.is_idempotent);
    let workspace = ibisdale_core::WorkspaceName::new(OPEN_WORKSPACE)
        .map_err(|error| RequestRefusal::new(RefusalCode::Internal, error.to_string()))?;
    let request = RouteRequest {
        group: UpstreamGroup(Bytes::from(route.service.vm_group.clone())),
        workspace,
        program: None,
        prompt_tokens: 0,
        known_tokens: 0,
        deadline: None,
        avoid: None,
        weight: OPEN_WEIGHT,
    };
    let reply = send_call(context, &route, request, call, None).await?;
    match reply_outcome(&reply) {
        StepOutcome::Failed { refusal } => Err(refusal),
        _ => Ok(json_answer(AnswerHead::new(id), &render_reply(&reply))),
    }
}

/// Weight of calls of open routes against those of workspaces.
const OPEN_WEIGHT: f64 = 1.0;
/// Share of the upstreams that calls of open routes have together.
const OPEN_WORKSPACE: &[u8] = b"open-routes";
