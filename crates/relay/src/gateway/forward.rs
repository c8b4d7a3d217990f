//! Forwarding of a request to replicas, with retries.

use std::rc::Rc;

use futures_lite::FutureExt;
use http::{Response, StatusCode};
use ibisdale_telemetry::record_event;
use rand::Rng;
use smol::Timer;

use super::admit::GatewayRefusal;
use super::attempt::{
    FailedAttempt, RESPONSE_MAX_BYTES, ReplicaResponse, RetryState, attempt, check_success,
};
use super::body::ResponseBody;
use super::budget::BudgetReservation;
use super::call::{CallerCall, millis, response_headers};
use super::state::Gateway;
use super::stream::EventRelay;
use crate::decide::{
    AttemptFailure, AttemptOutcome, PlacementInput, ReplicaKey, RetryDecision, choose_replica,
    decide_retry,
};
use crate::http1::{ExchangeError, ResponseHead};
use crate::plan::ExecutionSemantics;

/// Result of forwarding a request, with the reason for its log line.
pub(crate) struct ForwardEnd {
    pub(crate) response: Response<ResponseBody>,
    pub(crate) reason: &'static str,
    /// Whether the body is still being streamed.
    pub(crate) is_streaming: bool,
}

/// Sends a request to replicas until one answers or no further attempt is allowed.
///
/// `on_end` is called with the reason when a streamed response ends.
pub(crate) async fn forward(
    gateway: &Gateway,
    call: &Rc<CallerCall>,
    retry: &mut RetryState,
    reservation: Option<BudgetReservation>,
    on_end: impl FnOnce(&'static str) + 'static,
) -> ForwardEnd {
    let draw: u32 = rand::rng().random();
    retry.service = call.route.choose_service(draw).cloned().unwrap_or_default();
    let mut keeps_replica = false;
    loop {
        let Some(replica) = select_replica(gateway, call, retry, keeps_replica) else {
            return refuse_no_replica(retry, "no replica");
        };
        let failed = match attempt(gateway, call, retry, replica, call.last_event).await {
            Ok(response) if is_event_stream(call, &response.head) => {
                match EventRelay::start(gateway, call, retry, response, reservation.is_some()).await
                {
                    Ok(relay) => {
                        let response = relay.into_response(reservation, on_end);
                        return ForwardEnd {
                            response,
                            reason: "answered",
                            is_streaming: true,
                        };
                    }
                    Err(failed) => failed,
                }
            }
            Ok(response) => match read_full_response(gateway, call, response).await {
                Ok(response) => {
                    return ForwardEnd {
                        response,
                        reason: "answered",
                        is_streaming: false,
                    };
                }
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        match record_failure(gateway, call, retry, replica, &failed) {
            RetryDecision::Elsewhere => keeps_replica = false,
            RetryDecision::SameReplica if failed.response.is_none() => keeps_replica = true,
            step => {
                if let Some(response) = failed.response {
                    return ForwardEnd {
                        response: *response,
                        reason: "replica failed",
                        is_streaming: false,
                    };
                }
                return match step {
                    RetryDecision::RefuseNotRun => refuse_no_replica(retry, "refused by replicas"),
                    _ => fail(call),
                };
            }
        }
    }
}

/// Returns the response to a request that no replica can take.
///
/// Invites a retry only if no replica may have run the request.
fn refuse_no_replica(retry: &RetryState, reason: &'static str) -> ForwardEnd {
    if retry.replicas_used > 0 {
        return ForwardEnd {
            response: GatewayRefusal::new(StatusCode::BAD_GATEWAY, reason).into_response(),
            reason,
            is_streaming: false,
        };
    }
    ForwardEnd {
        response: GatewayRefusal::unavailable(reason).into_response(),
        reason,
        is_streaming: false,
    }
}

/// Returns the response to a request that failed and may have run.
fn fail(call: &CallerCall) -> ForwardEnd {
    let (status, reason) = if call.time_left().is_zero() {
        (StatusCode::GATEWAY_TIMEOUT, "no answer in time")
    } else {
        (StatusCode::BAD_GATEWAY, "the replica broke off")
    };
    ForwardEnd {
        response: GatewayRefusal::new(status, reason).into_response(),
        reason,
        is_streaming: false,
    }
}

/// Records a failed attempt and decides the next step.
pub(crate) fn record_failure(
    gateway: &Gateway,
    call: &CallerCall,
    retry: &mut RetryState,
    replica: ReplicaKey,
    failed: &FailedAttempt,
) -> RetryDecision {
    let is_delisted = gateway.state.replicas.borrow().get_info(replica).is_none();
    if failed.end == AttemptFailure::MayHaveRun {
        // An attempt at a replica that was delisted meanwhile does not count towards the
        // route's limit, provided that the request may be repeated.
        if !is_delisted || !call.route.kind.can_resend() {
            retry.replicas_used = retry.replicas_used.max(1);
        }
    } else {
        retry.excluded.push(replica);
    }
    let step = decide_retry(failed.end, &retry.retry_input(call));
    if step == RetryDecision::Elsewhere && failed.end == AttemptFailure::MayHaveRun {
        retry.replicas_used += 1;
        retry.excluded.push(replica);
    }
    gateway.state.metrics.count_failed_attempt(failed.end);
    record_event!(
        AttemptFailed,
        request = call.id,
        replica = retry.replica_name,
        end = format!("{:?}", failed.end),
        next = format!("{step:?}"),
        left_ms = millis(call.time_left()),
        in_flight = gateway.state.in_flight.get(),
        error = failed.error,
    );
    step
}

/// Selects a replica that is not excluded for the request.
pub(crate) fn select_other_replica(
    gateway: &Gateway,
    call: &CallerCall,
    retry: &RetryState,
) -> Option<ReplicaKey> {
    select_replica(gateway, call, retry, false)
}

/// Selects a replica; the one of the last attempt if `keeps_replica` and it is listed.
fn select_replica(
    gateway: &Gateway,
    call: &CallerCall,
    retry: &RetryState,
    keeps_replica: bool,
) -> Option<ReplicaKey> {
    let replicas = gateway.state.replicas.borrow();
    if keeps_replica
        && let Some(replica) = retry.replica
        && replicas
            .get_info(replica)
            .is_some_and(|info| !info.is_draining)
    {
        return Some(replica);
    }
    let input = PlacementInput {
        service: &retry.service,
        affinity: call.affinity,
        domain: &gateway.state.options.facts.domain,
        excluded: &retry.excluded,
        random: rand::rng().random(),
    };
    choose_replica(&replicas, &input, gateway.now_ms())
}

fn is_event_stream(call: &CallerCall, head: &ResponseHead) -> bool {
    call.route.kind.is_stream() && head.status == 200
}

async fn read_full_response(
    gateway: &Gateway,
    call: &CallerCall,
    response: ReplicaResponse,
) -> Result<Response<ResponseBody>, FailedAttempt> {
    let ReplicaResponse {
        mut connection,
        mut head,
        guard,
    } = response;
    let replica = guard.replica();
    let limit = call.time_left();
    let checked = check_success(gateway, &head);
    let read = connection.read_body(&mut head.decoder, RESPONSE_MAX_BYTES);
    let expire = async {
        Timer::after(limit).await;
        Err(ExchangeError::Timeout { timeout: limit })
    };
    let body = match (checked, read.or(expire).await) {
        (Ok(()), Ok(body)) => body,
        (Err(failed), _) => {
            guard.finish(AttemptOutcome::Failed);
            return Err(failed);
        }
        (_, Err(error)) => {
            guard.finish(AttemptOutcome::Failed);
            return Err(FailedAttempt::may_have_run(error.to_string()));
        }
    };
    guard.finish(AttemptOutcome::Answered);
    if head.is_keep_alive {
        gateway.state.pool.put(replica, connection, &head.headers);
    }
    let mut response = Response::new(ResponseBody::whole(body));
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = response_headers(&head.headers);
    let is_failure = head.status >= 500;
    if is_failure && call.route.kind == ExecutionSemantics::Repeatable {
        let mut failed =
            FailedAttempt::may_have_run(format!("the replica returned status {}", head.status));
        failed.response = Some(Box::new(response));
        return Err(failed);
    }
    Ok(response)
}
