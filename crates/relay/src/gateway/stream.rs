//! Relaying of event streams from replicas to callers, with resumption.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_lite::{FutureExt, stream};
use http::{HeaderMap, Response, StatusCode};
use smol::Timer;

use super::attempt::{FailedAttempt, ReplicaResponse, RetryState, attempt, check_success};
use super::body::{AbortedResponse, ResponseBody};
use super::budget::BudgetReservation;
use super::call::{CallerCall, response_headers};
use super::events::EventSplitter;
use super::forward::{record_failure, select_other_replica};
use super::in_flight::ReplicaRequestGuard;
use super::state::Gateway;
use crate::decide::{AttemptOutcome, ReplicaKey, RetryDecision};
use crate::http1::{BodyDecoder, ExchangeError, Http1Connection, ResponseHead};

/// The replica connection that events are read from.
struct ReplicaStream {
    connection: Http1Connection,
    decoder: BodyDecoder,
    guard: ReplicaRequestGuard,
    head: ResponseHead,
}

/// An event stream that is relayed to a caller.
pub(crate) struct EventRelay {
    gateway: Gateway,
    call: Rc<CallerCall>,
    retry: RetryState,
    source: Option<ReplicaStream>,
    splitter: EventSplitter,
    last_event: Option<u64>,
    tokens_per_event: u64,
    headers: HeaderMap,
    /// Events and their number, read before the response was started.
    buffered: Option<(Bytes, u64)>,
}

impl EventRelay {
    /// Waits for the first event.
    ///
    /// A failure before it can still be retried, since the caller has got nothing.
    pub(crate) async fn start(
        gateway: &Gateway,
        call: &Rc<CallerCall>,
        retry: &RetryState,
        response: ReplicaResponse,
        has_budget: bool,
    ) -> Result<Self, FailedAttempt> {
        let failed = check_success(gateway, &response.head);
        if let Err(failed) = failed {
            response.guard.finish(AttemptOutcome::Failed);
            return Err(failed);
        }
        let tokens_per_event = if has_budget {
            tokens_per_event(gateway, call)
        } else {
            0
        };
        let mut relay = Self {
            gateway: gateway.clone(),
            call: Rc::clone(call),
            retry: retry.clone(),
            headers: response_headers(&response.head.headers),
            source: Some(ReplicaStream {
                decoder: response.head.decoder,
                connection: response.connection,
                guard: response.guard,
                head: response.head,
            }),
            splitter: EventSplitter::default(),
            last_event: call.last_event,
            tokens_per_event,
            buffered: None,
        };
        match relay.read_events().await {
            Ok(Some(first)) => {
                relay.buffered = Some(first);
                Ok(relay)
            }
            Ok(None) => Ok(relay),
            Err(error) => {
                relay.close_source(AttemptOutcome::Failed);
                Err(FailedAttempt::may_have_run(error.to_string()))
            }
        }
    }

    /// Converts the relay into the response to the caller.
    ///
    /// Calls `on_end` with the reason when the stream ends, unless the caller
    /// disconnects first.
    pub(crate) fn into_response(
        self,
        reservation: Option<BudgetReservation>,
        on_end: impl FnOnce(&'static str) + 'static,
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
                    on_end("answered");
                    None
                }
                Err(reason) => {
                    on_end(reason);
                    Some((Err(AbortedResponse), None))
                }
            }
        });
        let mut response = Response::new(ResponseBody::Stream(Box::pin(events)));
        *response.status_mut() = StatusCode::OK;
        *response.headers_mut() = headers;
        response
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
            let is_late = self.call.time_left().is_zero();
            self.close_source(if is_late {
                AttemptOutcome::Unknown
            } else {
                AttemptOutcome::Failed
            });
            if is_late {
                return Err("cut at the time limit");
            }
            self.resume(FailedAttempt::may_have_run(error.to_string()))
                .await?;
        }
    }

    /// Reads until at least one event is complete; `None` at the end of the stream.
    async fn read_events(&mut self) -> Result<Option<(Bytes, u64)>, ExchangeError> {
        loop {
            if let Some(events) = self.take_events()? {
                return Ok(Some(events));
            }
            let limit = self.call.time_left();
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            let read = source.connection.read_data(&mut source.decoder);
            let expire = async {
                Timer::after(limit).await;
                Err(ExchangeError::Timeout { timeout: limit })
            };
            match read.or(expire).await? {
                Some(data) => {
                    source.guard.mark_prompt_processed();
                    self.splitter.push(&data);
                }
                None if self.splitter.has_partial() => return Err(ExchangeError::Truncated),
                None => {
                    self.close_source(AttemptOutcome::Answered);
                    return Ok(None);
                }
            }
        }
    }

    /// Takes the complete events from the buffer and checks that their numbers are
    /// consecutive.
    fn take_events(&mut self) -> Result<Option<(Bytes, u64)>, ExchangeError> {
        let mut data = BytesMut::new();
        let mut count = 0;
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = event.id {
                let is_next = self.last_event.is_none_or(|last| id == last + 1);
                if !is_next {
                    return Err(ExchangeError::InvalidResponse {
                        reason: "an event is missing or comes twice",
                    });
                }
                self.last_event = Some(id);
            }
            data.extend_from_slice(&event.data);
            count += 1;
        }
        Ok((count > 0).then(|| (data.freeze(), count)))
    }

    fn close_source(&mut self, outcome: AttemptOutcome) {
        self.splitter.clear();
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
            let step = record_failure(&self.gateway, &self.call, &mut self.retry, replica, &failed);
            let next = match step {
                RetryDecision::SameReplica => Some(replica),
                RetryDecision::Elsewhere => self.select_other_replica(),
                RetryDecision::RefuseNotRun | RetryDecision::Fail => None,
            };
            let Some(next) = next else {
                return Err("the replica broke off");
            };
            let last = self.last_event;
            match attempt(&self.gateway, &self.call, &mut self.retry, next, last).await {
                Ok(response)
                    if response.head.status == 200
                        && check_success(&self.gateway, &response.head).is_ok() =>
                {
                    self.source = Some(ReplicaStream {
                        decoder: response.head.decoder,
                        connection: response.connection,
                        guard: response.guard,
                        head: response.head,
                    });
                    return Ok(());
                }
                Ok(response) => {
                    response.guard.finish(AttemptOutcome::Failed);
                    failed = FailedAttempt::may_have_run(format!(
                        "resuming returned status {}",
                        response.head.status
                    ));
                }
                Err(error) => failed = error,
            }
        }
    }

    fn select_other_replica(&self) -> Option<ReplicaKey> {
        select_other_replica(&self.gateway, &self.call, &self.retry)
    }
}

/// Returns the number of tokens to count for each event; 1 where none is configured.
fn tokens_per_event(gateway: &Gateway, call: &CallerCall) -> u64 {
    let Some(plan) = gateway.plan() else {
        return 1;
    };
    let mut services = call.route.services.iter();
    let engine = services.find_map(|share| plan.find_service(&share.service)?.engine);
    engine.map_or(1, |engine| engine.tokens_per_event.max(1))
}
