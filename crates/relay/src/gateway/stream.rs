//! Passes the events of a stream on as they arrive.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_lite::{FutureExt, stream};
use http::{HeaderMap, Response, StatusCode};
use smol::Timer;

use super::attempt::{AttemptTrail, FailedAttempt, OpenAnswer, attempt, check_success};
use super::body::{AbortedAnswer, AnswerBody};
use super::budget::BudgetHold;
use super::call::{CallerCall, answer_headers};
use super::events::EventSplitter;
use super::flight::ReplicaFlight;
use super::forward::{choose_other, settle_failure};
use super::state::Gateway;
use crate::decide::{CallOutcome, ReplicaKey, RetryDecision};
use crate::http1::{BodyFraming, ExchangeError, Http1Connection, ResponseHead};

/// Where the events come from at present.
struct EventSource {
    connection: Http1Connection,
    framing: BodyFraming,
    flight: ReplicaFlight,
    head: ResponseHead,
}

/// A stream on its way to a caller.
pub(crate) struct EventRelay {
    gateway: Gateway,
    call: Rc<CallerCall>,
    trail: AttemptTrail,
    source: Option<EventSource>,
    splitter: EventSplitter,
    last_event: Option<u64>,
    event_tokens: u64,
    headers: HeaderMap,
    /// Events read before the answer was begun.
    first: Option<(Bytes, u64)>,
}

impl EventRelay {
    /// Waits for the first event, so that a failure before it can be retried.
    pub(crate) async fn start(
        gateway: &Gateway,
        call: &Rc<CallerCall>,
        trail: &AttemptTrail,
        open: OpenAnswer,
        is_counted: bool,
    ) -> Result<Self, FailedAttempt> {
        let failed = check_success(gateway, &open.head);
        if let Err(failed) = failed {
            open.flight.close(CallOutcome::Failed);
            return Err(failed);
        }
        let event_tokens = if is_counted {
            event_tokens(gateway, call)
        } else {
            0
        };
        let mut relay = Self {
            gateway: gateway.clone(),
            call: Rc::clone(call),
            trail: trail.clone(),
            headers: answer_headers(&open.head.headers),
            source: Some(EventSource {
                framing: open.head.framing,
                connection: open.connection,
                flight: open.flight,
                head: open.head,
            }),
            splitter: EventSplitter::default(),
            last_event: call.last_event,
            event_tokens,
            first: None,
        };
        match relay.read_events().await {
            Ok(Some(first)) => {
                relay.first = Some(first);
                Ok(relay)
            }
            Ok(None) => Ok(relay),
            Err(error) => {
                relay.close_source(CallOutcome::Failed);
                Err(FailedAttempt::broken(error.to_string()))
            }
        }
    }

    /// Turns the relay into the answer to the caller.
    ///
    /// `on_end` is told how the stream ended, unless the caller leaves first.
    pub(crate) fn into_answer(
        self,
        hold: Option<BudgetHold>,
        on_end: impl FnOnce(&'static str) + 'static,
    ) -> Response<AnswerBody> {
        let headers = self.headers.clone();
        let state = Some((self, hold, on_end));
        let events = stream::unfold(state, |state| async {
            let (mut relay, hold, on_end) = state?;
            match relay.next_events().await {
                Ok(Some((data, count))) => {
                    if let Some(hold) = &hold {
                        hold.spend(count * relay.event_tokens);
                    }
                    Some((Ok(data), Some((relay, hold, on_end))))
                }
                Ok(None) => {
                    on_end("answered");
                    None
                }
                Err(reason) => {
                    on_end(reason);
                    Some((Err(AbortedAnswer), None))
                }
            }
        });
        let mut answer = Response::new(AnswerBody::Stream(Box::pin(events)));
        *answer.status_mut() = StatusCode::OK;
        *answer.headers_mut() = headers;
        answer
    }

    /// Returns the next events, from another source if this one breaks off.
    async fn next_events(&mut self) -> Result<Option<(Bytes, u64)>, &'static str> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        loop {
            let error = match self.read_events().await {
                Ok(events) => return Ok(events),
                Err(error) => error,
            };
            let is_late = self.call.left().is_zero();
            self.close_source(if is_late {
                CallOutcome::Unknown
            } else {
                CallOutcome::Failed
            });
            if is_late {
                return Err("cut at the time limit");
            }
            self.resume(FailedAttempt::broken(error.to_string()))
                .await?;
        }
    }

    /// Reads until whole events are there; `None` at the end of the stream.
    async fn read_events(&mut self) -> Result<Option<(Bytes, u64)>, ExchangeError> {
        loop {
            if let Some(events) = self.take_events()? {
                return Ok(Some(events));
            }
            let limit = self.call.left();
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            let read = source.connection.read_data(&mut source.framing);
            let expire = async {
                Timer::after(limit).await;
                Err(ExchangeError::Timeout { limit })
            };
            match read.or(expire).await? {
                Some(data) => {
                    source.flight.prompt_read();
                    self.splitter.push(&data);
                }
                None if self.splitter.has_partial() => return Err(ExchangeError::Truncated),
                None => {
                    self.close_source(CallOutcome::Answered);
                    return Ok(None);
                }
            }
        }
    }

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

    fn close_source(&mut self, outcome: CallOutcome) {
        self.splitter.clear();
        let Some(source) = self.source.take() else {
            return;
        };
        let replica = source.flight.replica();
        source.flight.close(outcome);
        if outcome == CallOutcome::Answered && source.head.is_keep_alive {
            let pool = &self.gateway.state.pool;
            pool.put(replica, source.connection, &source.head.headers);
        }
    }

    /// Goes on after the last event that the caller has.
    async fn resume(&mut self, mut failed: FailedAttempt) -> Result<(), &'static str> {
        loop {
            let Some(replica) = self.trail.replica else {
                return Err("the replica broke off");
            };
            let step = settle_failure(&self.gateway, &self.call, &mut self.trail, replica, &failed);
            let next = match step {
                RetryDecision::SameReplica => Some(replica),
                RetryDecision::Elsewhere => self.other_replica(),
                RetryDecision::RefuseNotRun | RetryDecision::Fail => None,
            };
            let Some(next) = next else {
                return Err("the replica broke off");
            };
            let last = self.last_event;
            match attempt(&self.gateway, &self.call, &mut self.trail, next, last).await {
                Ok(open)
                    if open.head.status == 200
                        && check_success(&self.gateway, &open.head).is_ok() =>
                {
                    self.source = Some(EventSource {
                        framing: open.head.framing,
                        connection: open.connection,
                        flight: open.flight,
                        head: open.head,
                    });
                    return Ok(());
                }
                Ok(open) => {
                    open.flight.close(CallOutcome::Failed);
                    failed = FailedAttempt::broken(format!("answered {}", open.head.status));
                }
                Err(error) => failed = error,
            }
        }
    }

    fn other_replica(&self) -> Option<ReplicaKey> {
        choose_other(&self.gateway, &self.call, &self.trail)
    }
}

fn event_tokens(gateway: &Gateway, call: &CallerCall) -> u64 {
    let Some(plan) = gateway.plan() else {
        return 1;
    };
    let mut services = call.route.services.iter();
    let engine = services.find_map(|share| plan.find_service(&share.service)?.engine);
    engine.map_or(1, |engine| engine.tokens_per_event.max(1))
}
