//! Sends a request to replicas until one has answered.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use ibisdale_telemetry::record_event;
use rand::Rng;
use smol::Timer;

use super::admit::GatewayRefusal;
use super::body::AnswerBody;
use super::budget::BudgetHold;
use super::call::{CallerCall, answer_headers, field, millis};
use super::flight::ReplicaFlight;
use super::state::{Gateway, text};
use super::stream::EventRelay;
use crate::decide::{
    AttemptEnd, CallOutcome, NextStep, PlacingRequest, ReplicaKey, ReplicaLoad, RetryRule,
    choose_replica, next_step,
};
use crate::http1::{ExchangeError, Http1Connection, ResponseHead, write_request};
use crate::plan::RepeatRule;

/// Time in which a connection to a replica must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest whole answer, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1_024 * 1_024;
/// Part of the time left for which a repeatable request waits for a replica
/// while it may still be sent to another one, in percent.
const PATIENCE_PERCENT: u32 = 60;
/// Most answers of other requests that are skipped on a connection.
const SKIPPED_MAX: u32 = 2;

/// An answer whose head has been read.
pub(crate) struct OpenAnswer {
    pub(crate) connection: Http1Connection,
    pub(crate) head: ResponseHead,
    pub(crate) flight: ReplicaFlight,
}

/// A failed attempt at a replica.
pub(crate) struct FailedAttempt {
    pub(crate) end: AttemptEnd,
    pub(crate) error: String,
    /// An answer of the replica itself that can be passed on as it is.
    pub(crate) answer: Option<Box<Response<AnswerBody>>>,
}

impl FailedAttempt {
    fn new(end: AttemptEnd, error: impl Into<String>) -> Self {
        Self {
            end,
            error: error.into(),
            answer: None,
        }
    }

    pub(crate) fn broken(error: impl Into<String>) -> Self {
        Self::new(AttemptEnd::MayHaveRun, error)
    }
}

/// Where a request has been so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptTrail {
    pub(crate) sends: u32,
    pub(crate) used: u32,
    pub(crate) excluded: Vec<ReplicaKey>,
    pub(crate) replica: Option<ReplicaKey>,
    pub(crate) replica_name: String,
    service: Bytes,
}

impl AttemptTrail {
    pub(crate) fn rule(&self, call: &CallerCall) -> RetryRule {
        RetryRule {
            repeat: call.route.repeat,
            attempts: call.route.attempts,
            used: self.used,
            sends: self.sends,
            left_ms: millis(call.left()),
        }
    }
}

/// The end of a request, for its line in the log.
pub(crate) struct ForwardEnd {
    pub(crate) answer: Response<AnswerBody>,
    pub(crate) reason: &'static str,
    /// Present while the answer's body is still being produced.
    pub(crate) is_streaming: bool,
}

/// Sends a request until a replica has answered or nothing more may be tried.
pub(crate) async fn forward(
    gateway: &Gateway,
    call: &Rc<CallerCall>,
    trail: &mut AttemptTrail,
    hold: Option<BudgetHold>,
    on_end: impl FnOnce(&'static str) + 'static,
) -> ForwardEnd {
    let draw: u32 = rand::rng().random();
    trail.service = call.route.choose_service(draw).cloned().unwrap_or_default();
    let mut stays = false;
    loop {
        let Some(replica) = choose(gateway, call, trail, stays) else {
            return refuse(trail, "no replica");
        };
        let failed = match attempt(gateway, call, trail, replica, call.last_event).await {
            Ok(open) if is_event_answer(call, &open.head) => {
                match EventRelay::start(gateway, call, trail, open, hold.is_some()).await {
                    Ok(relay) => {
                        let answer = relay.into_answer(hold, on_end);
                        return ForwardEnd {
                            answer,
                            reason: "answered",
                            is_streaming: true,
                        };
                    }
                    Err(failed) => failed,
                }
            }
            Ok(open) => match whole_answer(gateway, call, open).await {
                Ok(answer) => {
                    return ForwardEnd {
                        answer,
                        reason: "answered",
                        is_streaming: false,
                    };
                }
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        match settle_failure(gateway, call, trail, replica, &failed) {
            NextStep::Elsewhere => stays = false,
            NextStep::SameReplica if failed.answer.is_none() => stays = true,
            step => {
                if let Some(answer) = failed.answer {
                    return ForwardEnd {
                        answer: *answer,
                        reason: "replica failed",
                        is_streaming: false,
                    };
                }
                return match step {
                    NextStep::RefuseNotRun => refuse(trail, "refused by replicas"),
                    _ => fail(call),
                };
            }
        }
    }
}

fn refuse(trail: &AttemptTrail, reason: &'static str) -> ForwardEnd {
    if trail.used > 0 {
        return ForwardEnd {
            answer: GatewayRefusal::new(StatusCode::BAD_GATEWAY, reason).into_answer(),
            reason,
            is_streaming: false,
        };
    }
    ForwardEnd {
        answer: GatewayRefusal::soon(reason).into_answer(),
        reason,
        is_streaming: false,
    }
}

fn fail(call: &CallerCall) -> ForwardEnd {
    let (status, reason) = if call.left().is_zero() {
        (StatusCode::GATEWAY_TIMEOUT, "no answer in time")
    } else {
        (StatusCode::BAD_GATEWAY, "the replica broke off")
    };
    ForwardEnd {
        answer: GatewayRefusal::new(status, reason).into_answer(),
        reason,
        is_streaming: false,
    }
}

/// Notes a failed attempt and decides what follows.
pub(crate) fn settle_failure(
    gateway: &Gateway,
    call: &CallerCall,
    trail: &mut AttemptTrail,
    replica: ReplicaKey,
    failed: &FailedAttempt,
) -> NextStep {
    let is_gone = gateway.state.replicas.borrow().get_fact(replica).is_none();
    if failed.end == AttemptEnd::MayHaveRun {
        // A replica that has ended does not count as one that was used up.
        if !is_gone || !call.route.repeat.is_repeatable() {
            trail.used = trail.used.max(1);
        }
    } else {
        trail.excluded.push(replica);
    }
    let step = next_step(failed.end, &trail.rule(call));
    if step == NextStep::Elsewhere && failed.end == AttemptEnd::MayHaveRun {
        trail.used += 1;
        trail.excluded.push(replica);
    }
    gateway.state.metrics.count_attempt(failed.end);
    record_event!(
        AttemptFailed,
        request = call.id,
        replica = trail.replica_name,
        end = format!("{:?}", failed.end),
        next = format!("{step:?}"),
        left_ms = millis(call.left()),
        in_flight = gateway.state.in_flight.get(),
        error = failed.error,
    );
    step
}

/// Chooses a replica that the request has not been refused by.
pub(crate) fn choose_other(
    gateway: &Gateway,
    call: &CallerCall,
    trail: &AttemptTrail,
) -> Option<ReplicaKey> {
    choose(gateway, call, trail, false)
}

fn choose(
    gateway: &Gateway,
    call: &CallerCall,
    trail: &AttemptTrail,
    stays: bool,
) -> Option<ReplicaKey> {
    let replicas = gateway.state.replicas.borrow();
    if stays
        && let Some(replica) = trail.replica
        && replicas
            .get_fact(replica)
            .is_some_and(|fact| !fact.is_draining)
    {
        return Some(replica);
    }
    let request = PlacingRequest {
        service: &trail.service,
        affinity: call.affinity,
        domain: &gateway.state.options.facts.domain,
        excluded: &trail.excluded,
        draw: rand::rng().random(),
    };
    choose_replica(&replicas, &request, gateway.now_ms())
}

/// Sends a request to a replica and reads the head of its answer.
pub(crate) async fn attempt(
    gateway: &Gateway,
    call: &CallerCall,
    trail: &mut AttemptTrail,
    replica: ReplicaKey,
    last_event: Option<u64>,
) -> Result<OpenAnswer, FailedAttempt> {
    let fact = gateway.state.replicas.borrow().get_fact(replica).cloned();
    let Some(fact) = fact else {
        return Err(FailedAttempt::new(
            AttemptEnd::NotReached,
            "no longer listed",
        ));
    };
    trail.sends += 1;
    trail.replica = Some(replica);
    trail.replica_name = text(&fact.id);
    let flight = ReplicaFlight::begin(gateway, replica, call.usage.prompt);
    let kept = gateway.state.pool.take(replica);
    let opened = if let Some(connection) = kept {
        Ok(connection)
    } else {
        gateway.state.metrics.count_connection();
        let limit = CONNECT_TIMEOUT.min(call.left());
        Http1Connection::open(fact.address, limit).await
    };
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => {
            flight.close(CallOutcome::Failed);
            return Err(FailedAttempt::new(
                AttemptEnd::NotReached,
                error.to_string(),
            ));
        }
    };
    // The list may have changed while the connection was opened.
    let is_listed = gateway
        .state
        .replicas
        .borrow()
        .get_fact(replica)
        .is_some_and(|fact| !fact.is_draining);
    if !is_listed {
        flight.close(CallOutcome::Unknown);
        return Err(FailedAttempt::new(AttemptEnd::NotReached, "leaving"));
    }
    let left = call.left();
    if left.is_zero() {
        flight.close(CallOutcome::Unknown);
        return Err(FailedAttempt::new(AttemptEnd::NotReached, "no time left"));
    }
    let headers = replica_headers(gateway, call, &fact.id, left, last_event);
    let message = write_request(&call.method, &call.target, &headers, &call.body);
    let limit = patience(call, trail, left);
    let exchange = async {
        connection.send(&message).await?;
        read_own_head(gateway, call, &mut connection).await
    };
    let expire = async {
        Timer::after(limit).await;
        Err(ExchangeError::Timeout { limit })
    };
    let head = match exchange.or(expire).await {
        Ok(head) => head,
        Err(error) => {
            let outcome = if matches!(error, ExchangeError::Timeout { .. }) && left <= limit {
                CallOutcome::Unknown
            } else {
                CallOutcome::Failed
            };
            flight.close(outcome);
            return Err(FailedAttempt::broken(error.to_string()));
        }
    };
    record_load(gateway, replica, &head.headers);
    let dialect = &gateway.state.options.dialect;
    if head.headers.contains_key(&dialect.not_run) || head.status == 421 {
        flight.close(CallOutcome::Refused);
        let error = format!("refused with {}", head.status);
        keep_after_body(gateway, replica, connection, head).await;
        return Err(FailedAttempt::new(AttemptEnd::NotRun, error));
    }
    Ok(OpenAnswer {
        connection,
        head,
        flight,
    })
}

/// Reads heads until one answers this request.
async fn read_own_head(
    gateway: &Gateway,
    call: &CallerCall,
    connection: &mut Http1Connection,
) -> Result<ResponseHead, ExchangeError> {
    let dialect = &gateway.state.options.dialect;
    for _ in 0..=SKIPPED_MAX {
        let mut head = connection.read_head().await?;
        let echoed = field(&head.headers, &dialect.attempt);
        if echoed == call.id {
            return Ok(head);
        }
        if echoed.is_empty() {
            // A refusal without the identifier is of use only as a failure.
            return Err(ExchangeError::Unreadable {
                reason: "no identifier of the attempt",
            });
        }
        connection
            .read_body(&mut head.framing, ANSWER_MAX_BYTES)
            .await?;
    }
    Err(ExchangeError::Unreadable {
        reason: "answers of other requests",
    })
}

fn patience(call: &CallerCall, trail: &AttemptTrail, left: Duration) -> Duration {
    let may_move =
        call.route.repeat == RepeatRule::Repeatable && trail.used + 1 < call.route.attempts;
    if may_move {
        left * PATIENCE_PERCENT / 100
    } else {
        left
    }
}

fn replica_headers(
    gateway: &Gateway,
    call: &CallerCall,
    replica: &[u8],
    left: Duration,
    last_event: Option<u64>,
) -> HeaderMap {
    let dialect = &gateway.state.options.dialect;
    let mut headers = call.headers.clone();
    headers.insert(dialect.deadline_ms.clone(), HeaderValue::from(millis(left)));
    if let Ok(value) = HeaderValue::from_bytes(replica) {
        headers.insert(dialect.target_replica.clone(), value);
    }
    if let Some(id) = last_event {
        headers.insert(dialect.last_event.clone(), HeaderValue::from(id));
    }
    headers
}

fn record_load(gateway: &Gateway, replica: ReplicaKey, headers: &HeaderMap) {
    let text = field(headers, &gateway.state.options.dialect.replica_load);
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    let mut next = || numbers.next().flatten();
    if let (Some(running), Some(waiting), Some(slots)) = (next(), next(), next()) {
        let load = ReplicaLoad {
            running,
            waiting,
            slots,
        };
        let mut replicas = gateway.state.replicas.borrow_mut();
        replicas.record_load(replica, load, gateway.now_ms());
    }
}

async fn keep_after_body(
    gateway: &Gateway,
    replica: ReplicaKey,
    mut connection: Http1Connection,
    mut head: ResponseHead,
) {
    let read = async {
        let body = connection
            .read_body(&mut head.framing, ANSWER_MAX_BYTES)
            .await;
        body.is_ok()
    };
    let expire = async {
        Timer::after(CONNECT_TIMEOUT).await;
        false
    };
    if head.is_kept && read.or(expire).await {
        gateway.state.pool.put(replica, connection, &head.headers);
    }
}

fn is_event_answer(call: &CallerCall, head: &ResponseHead) -> bool {
    call.route.repeat.is_stream() && head.status == 200
}

/// Checks that a success bears what only the replica itself can give.
pub(crate) fn check_success(gateway: &Gateway, head: &ResponseHead) -> Result<(), FailedAttempt> {
    let is_success = (200..300).contains(&head.status);
    let has_seal = head
        .headers
        .contains_key(&gateway.state.options.dialect.answer_seal);
    if is_success && !has_seal {
        return Err(FailedAttempt::broken("success without a seal"));
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Err(FailedAttempt::broken("encoded body"));
    }
    Ok(())
}

async fn whole_answer(
    gateway: &Gateway,
    call: &CallerCall,
    open: OpenAnswer,
) -> Result<Response<AnswerBody>, FailedAttempt> {
    let OpenAnswer {
        mut connection,
        mut head,
        flight,
    } = open;
    let replica = flight.replica();
    let limit = call.left();
    let checked = check_success(gateway, &head);
    let read = connection.read_body(&mut head.framing, ANSWER_MAX_BYTES);
    let expire = async {
        Timer::after(limit).await;
        Err(ExchangeError::Timeout { limit })
    };
    let body = match (checked, read.or(expire).await) {
        (Ok(()), Ok(body)) => body,
        (Err(failed), _) => {
            flight.close(CallOutcome::Failed);
            return Err(failed);
        }
        (_, Err(error)) => {
            flight.close(CallOutcome::Failed);
            return Err(FailedAttempt::broken(error.to_string()));
        }
    };
    flight.close(CallOutcome::Answered);
    if head.is_kept {
        gateway.state.pool.put(replica, connection, &head.headers);
    }
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *answer.headers_mut() = answer_headers(&head.headers);
    let is_failure = head.status >= 500;
    if is_failure && call.route.repeat == RepeatRule::Repeatable {
        let mut failed = FailedAttempt::broken(format!("replica answered {}", head.status));
        failed.answer = Some(Box::new(answer));
        return Err(failed);
    }
    Ok(answer)
}
