//! Sends a request to replicas until one has answered.

use std::rc::Rc;

use futures_lite::FutureExt;
use http::{Response, StatusCode};
use ibisdale_telemetry::record_event;
use rand::Rng;
use smol::Timer;

use super::admit::GatewayRefusal;
use super::attempt::{
    ANSWER_MAX_BYTES, AttemptTrail, FailedAttempt, OpenAnswer, attempt, check_success,
};
use super::body::AnswerBody;
use super::budget::BudgetHold;
use super::call::{CallerCall, answer_headers, millis};
use super::state::Gateway;
use super::stream::EventRelay;
use crate::decide::{
    AttemptFailure, CallOutcome, PlacementRequest, ReplicaKey, RetryDecision, choose_replica,
    decide_retry,
};
use crate::http1::{ExchangeError, ResponseHead};
use crate::plan::RouteKind;

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
            RetryDecision::Elsewhere => stays = false,
            RetryDecision::SameReplica if failed.answer.is_none() => stays = true,
            step => {
                if let Some(answer) = failed.answer {
                    return ForwardEnd {
                        answer: *answer,
                        reason: "replica failed",
                        is_streaming: false,
                    };
                }
                return match step {
                    RetryDecision::RefuseNotRun => refuse(trail, "refused by replicas"),
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
) -> RetryDecision {
    let is_gone = gateway.state.replicas.borrow().get_info(replica).is_none();
    if failed.end == AttemptFailure::MayHaveRun {
        // A replica that has ended does not count as one that was used up.
        if !is_gone || !call.route.kind.is_repeatable() {
            trail.used = trail.used.max(1);
        }
    } else {
        trail.excluded.push(replica);
    }
    let step = decide_retry(failed.end, &trail.retry_budget(call));
    if step == RetryDecision::Elsewhere && failed.end == AttemptFailure::MayHaveRun {
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
            .get_info(replica)
            .is_some_and(|info| !info.is_draining)
    {
        return Some(replica);
    }
    let request = PlacementRequest {
        service: &trail.service,
        affinity: call.affinity,
        domain: &gateway.state.options.facts.domain,
        excluded: &trail.excluded,
        random: rand::rng().random(),
    };
    choose_replica(&replicas, &request, gateway.now_ms())
}

fn is_event_answer(call: &CallerCall, head: &ResponseHead) -> bool {
    call.route.kind.is_stream() && head.status == 200
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
    if head.is_keep_alive {
        gateway.state.pool.put(replica, connection, &head.headers);
    }
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *answer.headers_mut() = answer_headers(&head.headers);
    let is_failure = head.status >= 500;
    if is_failure && call.route.kind == RouteKind::Repeatable {
        let mut failed = FailedAttempt::broken(format!("replica answered {}", head.status));
        failed.answer = Some(Box::new(answer));
        return Err(failed);
    }
    Ok(answer)
}
