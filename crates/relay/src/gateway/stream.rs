//! Relaying of event streams from replicas to callers, with resumption.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_lite::{FutureExt, stream};
use http::{HeaderMap, Response, StatusCode};
use ibisdale_clients::HeldBytes;
use ibisdale_telemetry::record_event;
use smol::Timer;

use super::attempt::{ReplicaResponse, RetryState, check_response_head, try_replica};
use super::body::{ResponseAborted, ResponseBody};
use super::budget::BudgetReservation;
use super::caller_request::{CallerRequest, response_headers};
use super::crashes::examine_failure;
use super::events::{EventSplitter, StreamEvent};
use super::failed_attempt::FailedAttempt;
use super::forward::{record_failure, select_replica};
use super::in_flight::ReplicaRequestGuard;
use super::origins::announce_origin;
use super::speeds::{WorkUnit, record_work_time};
use super::state::{Gateway, lossy_string};
use super::suspects::{record_progress, record_served};
use super::turns::{TurnOutput, keep_turn};
use crate::decide::{AttemptOutcome, EventPace, RetryDecision};
use crate::http1::{BodyDecoder, ExchangeError, Http1Connection, ResponseHead};

/// Maximum size of an event, in bytes.
const EVENT_MAX_BYTES: usize = 1_024 * 1_024;

/// The replica connection that events are read from.
struct ReplicaStream {
    connection: Http1Connection,
    decoder: BodyDecoder,
    guard: ReplicaRequestGuard,
    head: ResponseHead,
    /// Whether the replica has sent a complete event.
    has_progress: bool,
    pace: EventPace,
}

impl ReplicaStream {
    /// Returns whether the end of the connection, which ends the body, came before any event: a
    /// replica that stops right after its head ends an answer in the same way.
    fn may_have_broken_off(&self) -> bool {
        self.head.decoder == BodyDecoder::UntilClose && !self.has_progress
    }
}

/// An event stream that is relayed to a caller.
pub(crate) struct EventRelay {
    gateway: Gateway,
    request: Rc<CallerRequest>,
    retry: RetryState,
    source: Option<ReplicaStream>,
    splitter: EventSplitter,
    /// Bytes of the incomplete event.
    held: HeldBytes,
    last_event: Option<u64>,
    tokens_per_event: u64,
    headers: HeaderMap,
    /// Output of the turn so far, if turns are kept on the route.
    output: Option<TurnOutput>,
    /// Events that were read before the response was started, and how many they are.
    buffered: Option<(Bytes, u64)>,
    /// What is wrong with the data after the events that were taken last.
    pending_error: Option<ExchangeError>,
}

impl EventRelay {
    /// Waits for the first event.
    ///
    /// A failure before the first event can be retried, since nothing was sent to the caller.
    pub(crate) async fn start(
        gateway: &Gateway,
        request: &Rc<CallerRequest>,
        retry: &RetryState,
        response: ReplicaResponse,
        has_budget: bool,
    ) -> Result<Self, FailedAttempt> {
        let checked = check_response_head(gateway, &response.head);
        if let Err(failed) = checked {
            response.guard.finish(AttemptOutcome::Failed);
            return Err(failed);
        }
        let tokens_per_event = if has_budget {
            tokens_per_event(gateway, request, &retry.service)
        } else {
            0
        };
        let mut relay = Self {
            gateway: gateway.clone(),
            request: Rc::clone(request),
            retry: retry.clone(),
            headers: response_headers(&response.head.headers),
            source: Some(ReplicaStream {
                decoder: response.head.decoder,
                connection: response.connection,
                guard: response.guard,
                head: response.head,
                has_progress: false,
                pace: EventPace::default(),
            }),
            splitter: EventSplitter::default(),
            held: HeldBytes::new(&gateway.state.clients),
            last_event: request.last_event,
            tokens_per_event,
            output: request.route.keeps_turns.then(TurnOutput::default),
            buffered: None,
            pending_error: None,
        };
        match relay.read_events().await {
            Ok(first) => {
                relay.buffered = first;
                if let Some(after) = request.last_event {
                    relay.record_resumption(Some(&request.resumed_attempt), after);
                }
                relay.retry.required_version = Some(retry.replica_version.clone());
                announce_origin(gateway, request, &relay.retry);
                Ok(relay)
            }
            Err(error) => {
                relay.release_source(AttemptOutcome::Failed);
                Err(FailedAttempt::exchange(&error))
            }
        }
    }

    /// Converts the relay into the response to the caller.
    ///
    /// Calls `on_end` with the reason and the attempts when the stream ends, unless the
    /// caller disconnects first.
    pub(crate) fn into_response(
        self,
        reservation: Option<BudgetReservation>,
        on_end: impl FnOnce(&'static str, &RetryState) + 'static,
    ) -> Response<ResponseBody> {
        let headers = self.headers.clone();
        let state = Some((self, reservation, on_end));
        let events = stream::unfold(state, |state| async {
            let (mut relay, reservation, on_end) = state?;
            match relay.next_events().await {
                Ok(Some((data, count))) => {
                    if let Some(reservation) = &reservation {
                        reservation.spend(count * relay.tokens_per_event);
                    }
                    Some((Ok(data), Some((relay, reservation, on_end))))
                }
                Ok(None) => {
                    if relay.keep_turn().await {
                        on_end("answered", &relay.retry);
                        None
                    } else {
                        on_end("the turn could not be kept", &relay.retry);
                        Some((Err(ResponseAborted), None))
                    }
                }
                Err(reason) => {
                    on_end(reason, &relay.retry);
                    Some((Err(ResponseAborted), None))
                }
            }
        });
        let mut response = Response::new(ResponseBody::Stream(Box::pin(events)));
        *response.status_mut() = StatusCode::OK;
        *response.headers_mut() = headers;
        response
    }

    /// Makes the copies of the turn; returns `false` if they could not be made.
    ///
    /// The end of the response tells the caller that the turn can be continued, so it is
    /// withheld until then; all events have been sent before.
    async fn keep_turn(&mut self) -> bool {
        match self.output.take() {
            Some(output) => keep_turn(&self.gateway, &self.request, output).await,
            None => true,
        }
    }

    /// Returns the next events, resuming the stream if its connection fails.
    async fn next_events(&mut self) -> Result<Option<(Bytes, u64)>, &'static str> {
        if let Some(first) = self.buffered.take() {
            return Ok(Some(first));
        }
        loop {
            let error = match self.read_events().await {
                Ok(events) => return Ok(events),
                Err(error) => error,
            };
            let is_deadline_passed = self.request.time_left().is_zero();
            let has_progress = self
                .source
                .as_ref()
                .is_some_and(|source| source.has_progress);
            self.release_source(if is_deadline_passed {
                AttemptOutcome::Unknown
            } else {
                AttemptOutcome::Failed
            });
            if is_deadline_passed {
                return Err("cut at the time limit");
            }
            let failed = FailedAttempt {
                has_progress,
                ..FailedAttempt::exchange(&error)
            };
            self.resume(failed).await?;
        }
    }

    /// Reads until at least one event is complete; `None` at the end of the stream.
    async fn read_events(&mut self) -> Result<Option<(Bytes, u64)>, ExchangeError> {
        loop {
            if let Some(events) = self.take_events()? {
                self.record_pace(events.1);
                if let Some(source) = &mut self.source
                    && !std::mem::replace(&mut source.has_progress, true)
                {
                    record_progress(&self.gateway, &self.request, &self.retry.replica_id);
                }
                return Ok(Some(events));
            }
            let partial_size = self.splitter.partial_size();
            if partial_size > EVENT_MAX_BYTES || !self.held.resize(self.splitter.capacity()) {
                return Err(ExchangeError::InvalidResponse {
                    reason: "large event",
                });
            }
            let timeout = self.request.time_left();
            let started_us = self.gateway.now_us();
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            let read = source.connection.read_data(&mut source.decoder);
            let timed_out = async {
                Timer::after(timeout).await;
                Err(ExchangeError::Timeout { timeout })
            };
            match read.or(timed_out).await? {
                Some(data) => {
                    source.guard.remove_pending_prompt();
                    let ended_us = self.gateway.now_us();
                    source.pace.record_read(started_us, ended_us);
                    self.splitter.push(&data);
                }
                None if self.splitter.has_partial() || source.may_have_broken_off() => {
                    return Err(ExchangeError::Truncated);
                }
                None => {
                    self.release_source(AttemptOutcome::Answered);
                    record_served(&self.gateway, &self.request, &self.retry.replica_id);
                    return Ok(None);
                }
            }
        }
    }

    /// Records the time per event of the replica, if it is known for the last data.
    fn record_pace(&mut self, event_count: u64) {
        let Some(source) = &mut self.source else {
            return;
        };
        if let Some(event_us) = source.pace.record_events(event_count) {
            let replica = source.guard.replica();
            record_work_time(&self.gateway, replica, WorkUnit::Event, event_us);
        }
    }

    /// Takes the complete events from the buffer, up to one whose id does not follow the id
    /// before it; the error is returned by the next call if events come before it.
    fn take_events(&mut self) -> Result<Option<(Bytes, u64)>, ExchangeError> {
        if let Some(error) = self.pending_error.take() {
            return Err(error);
        }
        let mut data = BytesMut::new();
        let mut count = 0;
        while let Some(event) = self.splitter.next_event() {
            if let Err(error) = self.check_id(&event) {
                if count == 0 {
                    return Err(error);
                }
                self.pending_error = Some(error);
                break;
            }
            self.last_event = event.id.or(self.last_event);
            if let Some(output) = &mut self.output {
                output.push_event(&event.raw);
            }
            data.extend_from_slice(&event.raw);
            count += 1;
        }
        self.splitter.shrink();
        Ok((count > 0).then(|| (data.freeze(), count)))
    }

    /// Checks that an event follows the last one.
    ///
    /// A block without an id that is no comment is no event of the stream, but for example an
    /// error that the replica, or a proxy before it, has written into the body.
    fn check_id(&self, event: &StreamEvent) -> Result<(), ExchangeError> {
        let is_next = |id: u64| {
            let expected = self.last_event.map(|last| last.checked_add(1));
            expected.is_none_or(|expected| expected == Some(id))
        };
        let reason = if event.has_invalid_id {
            "the id of an event is no number"
        } else if event.id.is_some_and(|id| !is_next(id)) {
            "an event is missing or comes twice"
        } else if event.id.is_none() && !event.is_comment() {
            "an event has no id"
        } else {
            return Ok(());
        };
        Err(ExchangeError::InvalidResponse { reason })
    }

    /// Records the outcome of the attempt and returns its connection to the pool if the
    /// response was complete and the connection is kept alive, or else closes it.
    fn release_source(&mut self, outcome: AttemptOutcome) {
        self.splitter.clear();
        self.pending_error = None;
        let Some(source) = self.source.take() else {
            return;
        };
        let replica = source.guard.replica();
        source.guard.finish(outcome);
        if outcome == AttemptOutcome::Answered && source.head.is_keep_alive {
            let pool = &self.gateway.state.pool;
            pool.put(replica, source.connection, &source.head.headers);
        }
    }

    /// Resumes the stream after the last event that was passed on.
    async fn resume(&mut self, mut failed: FailedAttempt) -> Result<(), &'static str> {
        loop {
            let Some(replica) = self.retry.replica else {
                return Err("the replica broke off");
            };
            let (gateway, request) = (&self.gateway, &self.request);
            examine_failure(gateway, request, &self.retry, replica, &mut failed).await;
            let decision = record_failure(
                &self.gateway,
                &self.request,
                &mut self.retry,
                replica,
                &failed,
            );
            let retry_same_replica = match decision {
                RetryDecision::SameReplica => true,
                RetryDecision::Elsewhere => false,
                RetryDecision::RefuseNotRun | RetryDecision::Fail => {
                    return Err("the replica broke off");
                }
            };
            let retry = &mut self.retry;
            let next = select_replica(&self.gateway, &self.request, retry, retry_same_replica);
            let Ok(next) = next.await else {
                return Err("the replica broke off");
            };
            let last = self.last_event;
            match try_replica(&self.gateway, &self.request, &mut self.retry, next, last).await {
                Ok(response)
                    if response.head.status == 200
                        && check_response_head(&self.gateway, &response.head).is_ok() =>
                {
                    self.source = Some(ReplicaStream {
                        decoder: response.head.decoder,
                        connection: response.connection,
                        guard: response.guard,
                        head: response.head,
                        has_progress: false,
                        pace: EventPace::default(),
                    });
                    let after = last.unwrap_or_default();
                    self.record_resumption(None, after);
                    return Ok(());
                }
                Ok(response) => {
                    response.guard.finish(AttemptOutcome::Failed);
                    failed = FailedAttempt::may_have_run(format!(
                        "the replica returned status {} to the resumption",
                        response.head.status
                    ));
                }
                Err(error) => failed = error,
            }
        }
    }

    /// Logs and counts that the stream goes on at the replica of the last attempt.
    ///
    /// `resumes` is the client attempt that began the stream, as a caller that takes it up
    /// names it; `None` if the stream goes on within the response.
    fn record_resumption(&self, resumes: Option<&str>, after: u64) {
        let by = if resumes.is_some() {
            "caller"
        } else {
            "gateway"
        };
        self.gateway.state.metrics.count_resumed_stream(by);
        record_event!(
            StreamResumed,
            request = self.request.attempt_id,
            resumes = resumes.unwrap_or_default(),
            began = lossy_string(self.retry.required_version.as_deref().unwrap_or_default()),
            replica = self.retry.replica_id,
            version = lossy_string(&self.retry.replica_version),
            after = after,
        );
    }
}

/// Returns the number of tokens to count for each event of a service's replicas; 1 where none is
/// configured.
///
/// The version in force may lack the service, since the request was admitted under an earlier one;
/// where they differ, the greater number counts, so that no budget is exceeded.
fn tokens_per_event(gateway: &Gateway, request: &CallerRequest, service: &[u8]) -> u64 {
    let plans = [Some(Rc::clone(&request.plan)), gateway.plan()];
    let plans = plans.into_iter().flatten();
    let engines = plans.filter_map(|plan| plan.find_service(service)?.engine);
    engines
        .map(|engine| engine.tokens_per_event)
        .fold(1, u64::max)
}
