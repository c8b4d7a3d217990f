//! One attempt at a replica: sending a request and reading the head of its answer.

use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderValue, Response};
use smol::Timer;

use super::body::AnswerBody;
use super::call::{CallerCall, field, millis};
use super::flight::ReplicaFlight;
use super::state::{Gateway, text};
use crate::decide::{AttemptFailure, CallOutcome, ReplicaKey, ReplicaLoad, RetryBudget};
use crate::http1::{ExchangeError, Http1Connection, ResponseHead, write_request};
use crate::plan::RouteKind;

/// Time in which a connection to a replica must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest whole answer, in bytes.
pub(crate) const ANSWER_MAX_BYTES: usize = 16 * 1_024 * 1_024;
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
    pub(crate) end: AttemptFailure,
    pub(crate) error: String,
    /// An answer of the replica itself that can be passed on as it is.
    pub(crate) answer: Option<Box<Response<AnswerBody>>>,
}

impl FailedAttempt {
    fn new(end: AttemptFailure, error: impl Into<String>) -> Self {
        Self {
            end,
            error: error.into(),
            answer: None,
        }
    }

    pub(crate) fn broken(error: impl Into<String>) -> Self {
        Self::new(AttemptFailure::MayHaveRun, error)
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
    pub(crate) service: Bytes,
}

impl AttemptTrail {
    pub(crate) fn retry_budget(&self, call: &CallerCall) -> RetryBudget {
        RetryBudget {
            kind: call.route.kind,
            max_replicas: call.route.attempts,
            replicas_used: self.used,
            sends: self.sends,
            remaining_ms: millis(call.left()),
        }
    }
}

/// Sends a request to a replica and reads the head of its answer.
pub(crate) async fn attempt(
    gateway: &Gateway,
    call: &CallerCall,
    trail: &mut AttemptTrail,
    replica: ReplicaKey,
    last_event: Option<u64>,
) -> Result<OpenAnswer, FailedAttempt> {
    let info = gateway.state.replicas.borrow().get_info(replica).cloned();
    let Some(info) = info else {
        return Err(FailedAttempt::new(
            AttemptFailure::NotReached,
            "no longer listed",
        ));
    };
    trail.sends += 1;
    trail.replica = Some(replica);
    trail.replica_name = text(&info.id);
    let flight = ReplicaFlight::begin(gateway, replica, call.usage.prompt);
    let kept = gateway.state.pool.take(replica);
    let opened = if let Some(connection) = kept {
        Ok(connection)
    } else {
        gateway.state.metrics.count_connection();
        let limit = CONNECT_TIMEOUT.min(call.left());
        Http1Connection::open(info.address, limit).await
    };
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => {
            flight.close(CallOutcome::Failed);
            return Err(FailedAttempt::new(
                AttemptFailure::NotReached,
                error.to_string(),
            ));
        }
    };
    // The list may have changed while the connection was opened.
    let is_listed = gateway
        .state
        .replicas
        .borrow()
        .get_info(replica)
        .is_some_and(|info| !info.is_draining);
    if !is_listed {
        flight.close(CallOutcome::Unknown);
        return Err(FailedAttempt::new(AttemptFailure::NotReached, "leaving"));
    }
    let left = call.left();
    if left.is_zero() {
        flight.close(CallOutcome::Unknown);
        return Err(FailedAttempt::new(
            AttemptFailure::NotReached,
            "no time left",
        ));
    }
    let headers = replica_headers(gateway, call, &info.id, left, last_event);
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
        return Err(FailedAttempt::new(AttemptFailure::NotRun, error));
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
            return Err(ExchangeError::InvalidResponse {
                reason: "no identifier of the attempt",
            });
        }
        connection
            .read_body(&mut head.framing, ANSWER_MAX_BYTES)
            .await?;
    }
    Err(ExchangeError::InvalidResponse {
        reason: "answers of other requests",
    })
}

fn patience(call: &CallerCall, trail: &AttemptTrail, left: Duration) -> Duration {
    let may_move = call.route.kind == RouteKind::Repeatable && trail.used + 1 < call.route.attempts;
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
    if head.is_keep_alive && read.or(expire).await {
        gateway.state.pool.put(replica, connection, &head.headers);
    }
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
