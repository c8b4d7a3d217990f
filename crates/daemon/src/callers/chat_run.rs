//! One model call: routed, streamed, retried where that is safe, and finished.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::FutureExt;
use ibisdale_core::{RequestId, RequestRefusal, TimeStamp, WorkspaceName};
use ibisdale_policy::{CallOutcome, CallReport};
use ibisdale_programs::{RecordedStep, StepOutcome, StepTicket};
use ibisdale_settings::ModelSettings;
use ibisdale_telemetry::{SpanKind, TokenKind, TraceSpan, record_event};
use ibisdale_upstreams::{ChatCall, ChatEvent, EngineClient};

use super::access::upstream_weight;
use super::answer_builder::{AnswerBuilder, TokenUsage};
use super::chat_end::{AttemptEnd, StopCause, after_attempts, stop_refusal};
use super::chat_sink::AnswerSink;
use super::dispatch::CallerRequest;
use crate::clock::instant_of;
use crate::context::{DaemonContext, read_credential};
use crate::control::{RouteRequest, RoutedCall, UpstreamGroup};
use crate::observe::start_span;
use crate::slot_pin::SlotPin;

/// Attempts at engines for one step, the first included.
const ENGINE_ATTEMPTS_MAX: u32 = 3;

/// One model call of a step.
pub(super) struct ChatRun {
    context: Arc<DaemonContext>,
    request: RequestId,
    traceparent: Option<String>,
    workspace: WorkspaceName,
    model: Arc<ModelSettings>,
    ticket: Box<StepTicket>,
    cancel: Receiver<()>,
    engine_body: Bytes,
    known_tokens: u64,
    added_tokens: u64,
    is_last: bool,
    started: Instant,
    pin: Option<SlotPin>,
}

fn clamp_tokens(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

impl ChatRun {
    pub(super) fn new(
        context: &Arc<DaemonContext>,
        request: &CallerRequest,
        model: &Arc<ModelSettings>,
        ticket: Box<StepTicket>,
        cancel: Receiver<()>,
    ) -> Self {
        Self {
            context: Arc::clone(context),
            request: request.id,
            traceparent: request.traceparent.clone(),
            workspace: request.caller.workspace.clone(),
            model: Arc::clone(model),
            ticket,
            cancel,
            engine_body: Bytes::new(),
            known_tokens: 0,
            added_tokens: 0,
            is_last: false,
            started: Instant::now(),
            pin: None,
        }
    }

    /// Keeps the program's slot here until the step is finished.
    pub(super) fn pin(mut self, pin: SlotPin) -> Self {
        self.pin = Some(pin);
        self
    }

    /// Sets the engine's request.
    pub(super) fn engine_body(mut self, body: Bytes) -> Self {
        self.engine_body = body;
        self
    }

    /// Sets the tokens of the history that an engine may have cached.
    pub(super) fn known_tokens(mut self, tokens: u64) -> Self {
        self.known_tokens = tokens;
        self
    }

    /// Sets the most tokens that the new messages can be.
    pub(super) fn added_tokens(mut self, tokens: u64) -> Self {
        self.added_tokens = tokens;
        self
    }

    /// Sets whether the program ends with this step.
    pub(super) fn last(mut self, is_last: bool) -> Self {
        self.is_last = is_last;
        self
    }

    /// Runs the call, finishes the step and answers.
    pub(super) async fn run(self, sink: AnswerSink) {
        let mut answer = AnswerBuilder::default();
        let outcome = match self.run_attempts(&mut answer, &sink).await {
            Ok(()) => StepOutcome::Completed {
                answer: answer.render(self.model.name.as_str()),
                tokens_used: answer.get_usage().total(),
            },
            Err(refusal) => StepOutcome::Failed { refusal },
        };
        self.finish(outcome, sink).await;
    }

    async fn run_attempts(
        &self,
        answer: &mut AnswerBuilder,
        sink: &AnswerSink,
    ) -> Result<(), RequestRefusal> {
        let mut avoid = None;
        let mut may_have_run = false;
        for attempt in 1.. {
            let routed = self.route(avoid, sink).await;
            let routed = routed.map_err(|refusal| after_attempts(refusal, may_have_run))?;
            let address = routed.address;
            let end = self.run_attempt(routed, answer, sink).await;
            let is_last = attempt >= ENGINE_ATTEMPTS_MAX || answer.is_begun();
            if is_last || !end.is_retryable() {
                let result = end.into_result(answer.is_begun());
                return result.map_err(|refusal| after_attempts(refusal, may_have_run));
            }
            may_have_run |= end.may_have_run();
            self.context.metrics.count_upstream_retry();
            avoid = Some(address);
        }
        Ok(())
    }

    async fn route(
        &self,
        avoid: Option<SocketAddr>,
        sink: &AnswerSink,
    ) -> Result<RoutedCall, RequestRefusal> {
        let request = RouteRequest {
            group: UpstreamGroup(Bytes::from(self.model.vm_group.clone())),
            workspace: self.workspace.clone(),
            program: Some(self.ticket.get_program()),
            prompt_tokens: clamp_tokens(self.known_tokens + self.added_tokens),
            known_tokens: clamp_tokens(self.known_tokens),
            deadline: self.deadline(),
            avoid,
            weight: upstream_weight(&self.context, &self.workspace),
        };
        let routed = async { Ok(self.context.control.route(request).await) };
        let stopped = async { Err(self.stopped(sink).await) };
        match routed.or(stopped).await {
            Ok(routed) => routed,
            Err(cause) => Err(stop_refusal(cause, false)),
        }
    }

    fn deadline(&self) -> Option<TimeStamp> {
        self.ticket.get_deadline()
    }

    async fn stopped(&self, sink: &AnswerSink) -> StopCause {
        let gone = async {
            sink.caller_gone().await;
            StopCause::CallerGone
        };
        let ended = async {
            // Closed when the program ends.
            let _ = self.cancel.recv().await;
            StopCause::ProgramEnded
        };
        gone.or(ended).await
    }

    async fn run_attempt(
        &self,
        routed: RoutedCall,
        answer: &mut AnswerBuilder,
        sink: &AnswerSink,
    ) -> AttemptEnd {
        let program = self.ticket.get_program();
        let noted = self
            .context
            .control
            .open_session(program, routed.address)
            .await;
        if let Err(refusal) = noted {
            let report = CallReport::new(CallOutcome::Cancelled);
            self.context.control.call_ended(routed.route, report);
            return AttemptEnd::Refused(refusal);
        }
        self.context.metrics.count_upstream_call("engine");
        let span = self.start_span(&routed);
        let traceparent = span.get_context().to_string();
        let exchange = self.exchange(&routed, &traceparent, answer, sink);
        let stopped = async { AttemptEnd::Stopped(self.stopped(sink).await) };
        let end = stopped.or(exchange).await;
        self.record_end(&end, span);
        let outcome = end.flight_outcome();
        let usage = answer.get_usage();
        let mut report = CallReport::new(outcome);
        if outcome == CallOutcome::Succeeded {
            report = report
                .cached_tokens(clamp_tokens(usage.cached))
                .context_tokens(clamp_tokens(usage.total()));
        }
        self.context.control.call_ended(routed.route, report);
        end
    }

    fn start_span(&self, routed: &RoutedCall) -> TraceSpan {
        let parent = self.traceparent.as_deref();
        start_span(&self.context, "engine", SpanKind::Client, parent)
            .attribute("ibisdale.upstream", routed.address.to_string())
            .attribute("ibisdale.program", self.ticket.get_program().to_string())
    }

    fn record_end(&self, end: &AttemptEnd, mut span: TraceSpan) {
        if let AttemptEnd::Failed(error) = end {
            let kind = error.get_kind().as_str();
            self.context.metrics.count_upstream_failure(kind);
            record_event!(
                UpstreamFailed,
                upstream = error.get_address(),
                kind = kind,
                error = error
            );
            span.fail(kind);
        }
        span.close();
    }

    async fn exchange(
        &self,
        routed: &RoutedCall,
        traceparent: &str,
        answer: &mut AnswerBuilder,
        sink: &AnswerSink,
    ) -> AttemptEnd {
        let client = EngineClient::new(self.context.pools.get(routed.address));
        let mut stream = match client.chat(self.engine_call(routed, traceparent)).await {
            Ok(stream) => stream,
            Err(error) => return AttemptEnd::Failed(error),
        };
        let mut last_token = Instant::now();
        loop {
            match stream.next().await {
                Some(Ok(ChatEvent::Delta(chunk))) => {
                    self.observe_token(routed, answer.is_begun(), last_token);
                    last_token = Instant::now();
                    answer.add_chunk(&chunk);
                    sink.send_chunk(&chunk).await;
                }
                Some(Ok(ChatEvent::Usage {
                    prompt,
                    cached,
                    completion,
                })) => {
                    self.count_tokens(prompt, cached, completion);
                    answer.set_usage(TokenUsage {
                        prompt,
                        cached,
                        completion,
                    });
                }
                Some(Ok(ChatEvent::Done { .. })) => return AttemptEnd::Whole,
                None => return AttemptEnd::Ended,
                Some(Err(error)) => return AttemptEnd::Failed(error),
            }
        }
    }

    fn observe_token(&self, routed: &RoutedCall, is_begun: bool, last_token: Instant) {
        let metrics = &self.context.metrics;
        if is_begun {
            metrics.observe_between_tokens(last_token.elapsed());
        } else {
            self.context.control.first_token(&routed.route);
            metrics.observe_first_token(self.started.elapsed());
        }
    }

    fn count_tokens(&self, prompt: u64, cached: u64, completion: u64) {
        let metrics = &self.context.metrics;
        metrics.add_tokens(TokenKind::Prompt, prompt);
        metrics.add_tokens(TokenKind::Cached, cached);
        metrics.add_tokens(TokenKind::Completion, completion);
    }

    fn engine_call(&self, routed: &RoutedCall, traceparent: &str) -> ChatCall {
        let program = self.ticket.get_program();
        let mut call = ChatCall::new(self.engine_body.clone(), program)
            .priority(routed.priority)
            .fencing_number(self.ticket.get_epoch())
            .traceparent(traceparent);
        if let Some(deadline) = self.deadline() {
            call = call.deadline(instant_of(deadline));
        }
        match self
            .model
            .credential_file
            .as_deref()
            .and_then(read_credential)
        {
            Some(credential) => call.credential(credential),
            None => call,
        }
    }

    async fn finish(self, outcome: StepOutcome, sink: AnswerSink) {
        let program = self.ticket.get_program();
        let result = self.context.control.finish(self.ticket, outcome).await;
        if self.is_last {
            let _ = self.context.control.end(program, self.workspace).await;
        }
        drop(self.pin);
        sink.finish(self.request, program, result.and_then(completed))
            .await;
    }
}

fn completed(record: RecordedStep) -> Result<RecordedStep, RequestRefusal> {
    match record.result {
        ibisdale_programs::RecordedOutcome::Refused(refusal) => Err(refusal),
        ibisdale_programs::RecordedOutcome::Completed { .. } => Ok(record),
    }
}
