//! Forwarding of a request to replicas, with retries.

use std::rc::Rc;

use futures_lite::FutureExt;
use http::{Response, StatusCode};
use ibisdale_clients::HeldBytes;
use ibisdale_telemetry::record_event;
use rand::Rng;
use smol::Timer;

use super::admit::GatewayError;
use super::attempt::{
    ReplicaGrant, ReplicaResponse, RetryState, check_response_head, is_available, try_replica,
};
use super::body::ResponseBody;
use super::budget::BudgetReservation;
use super::caller_request::{CallerRequest, millis, response_headers};
use super::crashes::examine_failure;
use super::evacuation::refuse_without_replica;
use super::failed_attempt::FailedAttempt;
use super::limits::{GrantResult, ask_for_grant, is_limited};
use super::runs::{RunPermission, get_permit};
use super::speeds::{WorkUnit, record_work_time};
use super::state::Gateway;
use super::stream::EventRelay;
use super::suspects::{record_served, standing};
use crate::decide::{
    AttemptFailure, AttemptOutcome, PlacementChoice, PlacementInput, ReplicaKey, RetryDecision,
    choose_replicas, decide_retry, promises_not_run,
};
use crate::http1::{ExchangeError, ResponseHead};
use crate::plan::ExecutionSemantics;

/// Response to a request, with the reason that is logged.
pub(crate) struct ForwardResult {
    pub(crate) response: Response<ResponseBody>,
    pub(crate) reason: &'static str,
    /// Whether the body is still being streamed.
    pub(crate) is_streaming: bool,
}

/// Sends a request to replicas until one answers or no further attempt is allowed.
///
/// `on_end` is called with the reason and the attempts when a streamed response ends, unless
/// the caller disconnects first.
pub(crate) async fn forward(
    gateway: &Gateway,
    request: &Rc<CallerRequest>,
    retry: &mut RetryState,
    reservation: Option<BudgetReservation>,
    on_end: impl FnOnce(&'static str, &RetryState) + 'static,
) -> ForwardResult {
    let mut retry_same_replica = false;
    loop {
        let replica = match select_replica(gateway, request, retry, retry_same_replica).await {
            Ok(replica) => replica,
            Err(refusal) => return refuse_no_replica(retry, refusal),
        };
        let mut failed = match try_replica(gateway, request, retry, replica, request.last_event)
            .await
        {
            Ok(response) if is_stream_response(request, &response.head) => {
                match EventRelay::start(gateway, request, retry, response, reservation.is_some())
                    .await
                {
                    Ok(relay) => {
                        let response = relay.into_response(reservation, on_end);
                        return ForwardResult {
                            response,
                            reason: "answered",
                            is_streaming: true,
                        };
                    }
                    Err(failed) => failed,
                }
            }
            Ok(response) => {
                match read_full_response(gateway, request, response, retry.sent_ms).await {
                    Ok(response) => {
                        record_served(gateway, request, &retry.replica_id);
                        return ForwardResult {
                            response,
                            reason: "answered",
                            is_streaming: false,
                        };
                    }
                    Err(failed) => failed,
                }
            }
            Err(failed) => failed,
        };
        examine_failure(gateway, request, retry, replica, &mut failed).await;
        match record_failure(gateway, request, retry, replica, &failed) {
            RetryDecision::Elsewhere => retry_same_replica = false,
            RetryDecision::SameReplica if failed.response.is_none() => retry_same_replica = true,
            decision => {
                if let Some(response) = failed.response {
                    return ForwardResult {
                        response: *response,
                        reason: "replica failed",
                        is_streaming: false,
                    };
                }
                return match decision {
                    RetryDecision::RefuseNotRun => {
                        refuse_no_replica(retry, GatewayError::unavailable("refused by replicas"))
                    }
                    _ => failure_response(request),
                };
            }
        }
    }
}

/// Returns the response to a request that no replica can take.
///
/// Sets `Retry-After` only if no replica may have run the request.
fn refuse_no_replica(retry: &RetryState, refusal: GatewayError) -> ForwardResult {
    let refusal = if retry.may_have_run {
        GatewayError::new(StatusCode::BAD_GATEWAY, refusal.reason)
    } else {
        refusal
    };
    ForwardResult {
        response: refusal.into_response(),
        reason: refusal.reason,
        is_streaming: false,
    }
}

/// Returns the response to a request that failed and may have run.
fn failure_response(request: &CallerRequest) -> ForwardResult {
    let (status, reason) = if request.time_left().is_zero() {
        (StatusCode::GATEWAY_TIMEOUT, "no answer in time")
    } else {
        (StatusCode::BAD_GATEWAY, "the replica broke off")
    };
    ForwardResult {
        response: GatewayError::new(status, reason).into_response(),
        reason,
        is_streaming: false,
    }
}

/// Records a failed attempt and decides whether and where to retry.
pub(crate) fn record_failure(
    gateway: &Gateway,
    request: &CallerRequest,
    retry: &mut RetryState,
    replica: ReplicaKey,
    failed: &FailedAttempt,
) -> RetryDecision {
    retry.permit = None;
    match failed.failure {
        AttemptFailure::NotReached => retry.unreached += 1,
        AttemptFailure::NotRun => {}
        AttemptFailure::MayHaveRun => retry.record_run(replica),
        AttemptFailure::ReplicaEnded | AttemptFailure::ReplicaGone => retry.record_end(replica),
    }
    let crashes = standing(gateway, request).crashes;
    let decision = decide_retry(failed.failure, &retry.retry_input(request, crashes));
    if decision != RetryDecision::SameReplica {
        retry.excluded.push(replica);
    }
    gateway.state.metrics.count_failed_attempt(failed.failure);
    record_event!(
        AttemptFailed,
        request = request.attempt_id,
        fingerprint = request.identity().full(),
        replica = retry.replica_id,
        end = format!("{:?}", failed.failure),
        progress = failed.has_progress,
        next = format!("{decision:?}"),
        left_ms = millis(request.time_left()),
        in_flight = gateway.state.in_flight.get(),
        error = failed.error,
    );
    decision
}

/// Selects a replica that is not excluded for the request; only the one of the last attempt if
/// `retry_same_replica` is set.
///
/// A suspected request also gets the permit to run there.
///
/// # Errors
///
/// Fails with the response to the caller if no replica can take the request, or if the request
/// may not run.
pub(crate) async fn select_replica(
    gateway: &Gateway,
    request: &CallerRequest,
    retry: &mut RetryState,
    retry_same_replica: bool,
) -> Result<ReplicaKey, GatewayError> {
    let excluded_count = retry.excluded.len();
    let selected = loop {
        let replica = match select_with_room(gateway, request, retry, retry_same_replica).await {
            Ok(replica) => replica,
            Err(refusal) => break Err(refusal),
        };
        match get_permit(gateway, request, retry, replica).await {
            Ok(RunPermission::Granted) => break Ok(replica),
            Ok(RunPermission::Elsewhere) => retry.excluded.push(replica),
            Err(refusal) => break Err(refusal),
        }
    };
    // Replicas that run another suspect may take the next attempt.
    retry.excluded.truncate(excluded_count);
    selected
}

/// Selects a replica for which the request needs no grant, or one for which a home grants it.
async fn select_with_room(
    gateway: &Gateway,
    request: &CallerRequest,
    retry: &mut RetryState,
    retry_same_replica: bool,
) -> Result<ReplicaKey, GatewayError> {
    let choice = choose(gateway, request, retry, retry_same_replica);
    if choice.limited.is_empty() {
        let refuse = || refuse_without_replica(gateway, &retry.service);
        return choice.open.ok_or_else(refuse);
    }
    let (limited, is_final) = (&choice.limited, choice.open.is_none());
    match ask_for_grant(gateway, request, &retry.service, limited, is_final).await {
        GrantResult::Granted {
            replica,
            by,
            asked_ms,
        } => {
            retry.grant = Some(ReplicaGrant {
                replica,
                by,
                asked_ms,
                granted_ms: gateway.now_ms(),
            });
            Ok(replica)
        }
        GrantResult::Refused { after_ms } => choice.open.ok_or(GatewayError {
            retry_after_ms: Some(after_ms),
            ..GatewayError::unavailable("no replica has room within its limit")
        }),
    }
}

fn choose(
    gateway: &Gateway,
    request: &CallerRequest,
    retry: &RetryState,
    retry_same_replica: bool,
) -> PlacementChoice {
    if retry_same_replica {
        let same = retry.replica;
        let same = same.filter(|replica| is_available(gateway, retry, *replica));
        let limited = same.filter(|replica| is_limited(gateway, *replica));
        return PlacementChoice {
            limited: limited.into_iter().collect(),
            open: same.filter(|_| limited.is_none()),
        };
    }
    let replicas = gateway.state.replicas.borrow();
    let limits = gateway.state.limits.borrow();
    let cold = gateway.state.cold.borrow();
    let input = PlacementInput {
        service: &retry.service,
        software_version: retry.required_version.as_deref(),
        affinity: request.affinity,
        domain: &gateway.state.options.facts.domain,
        excluded: &retry.excluded,
        cold: Some(&cold),
        random: rand::rng().random(),
    };
    choose_replicas(&replicas, &limits, &input, gateway.now_ms())
}

fn is_stream_response(request: &CallerRequest, head: &ResponseHead) -> bool {
    request.route.kind.is_stream() && head.status == 200
}

async fn read_full_response(
    gateway: &Gateway,
    request: &CallerRequest,
    response: ReplicaResponse,
    sent_ms: u64,
) -> Result<Response<ResponseBody>, FailedAttempt> {
    let ReplicaResponse {
        mut connection,
        mut head,
        guard,
    } = response;
    let replica = guard.replica();
    let timeout = request.time_left();
    let checked = check_response_head(gateway, &head);
    let mut held = HeldBytes::new(&gateway.state.clients);
    let read = connection.read_body(&mut head.decoder, |size| held.resize(size));
    let timed_out = async {
        Timer::after(timeout).await;
        Err(ExchangeError::Timeout { timeout })
    };
    let body = match (checked, read.or(timed_out).await) {
        (Ok(()), Ok(body)) => body,
        (Err(failed), _) => {
            guard.finish(AttemptOutcome::Failed);
            return Err(failed);
        }
        (_, Err(error)) => {
            guard.finish(AttemptOutcome::Failed);
            return Err(FailedAttempt::exchange(&error));
        }
    };
    if (200..300).contains(&head.status) {
        let elapsed_ms = gateway.now_ms().saturating_sub(sent_ms);
        record_work_time(gateway, replica, WorkUnit::Response, 1_000 * elapsed_ms);
    }
    guard.finish(AttemptOutcome::Answered);
    if head.is_keep_alive {
        gateway.state.pool.put(replica, connection, &head.headers);
    }
    if promises_not_run(head.status, request.budget.is_some()) {
        let error = format!(
            "the replica returned status {} without stating that it did not run the request",
            head.status
        );
        return Err(FailedAttempt::may_have_run(error));
    }
    let mut response = Response::new(ResponseBody::whole(body));
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = response_headers(&head.headers);
    let is_server_error = head.status >= 500;
    if is_server_error && request.route.kind == ExecutionSemantics::Repeatable {
        let mut failed =
            FailedAttempt::may_have_run(format!("the replica returned status {}", head.status));
        failed.response = Some(Box::new(response));
        return Err(failed);
    }
    Ok(response)
}
