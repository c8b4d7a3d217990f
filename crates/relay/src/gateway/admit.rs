//! Admission checks that a request passes before it is sent to a replica.

use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::{CONTENT_LENGTH, HOST, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ibisdale_clients::{
    BodyRefusal, ConnectionCloser, DISCARD_MAX_BYTES, DISCARD_TIMEOUT, HeldBody,
};
use ibisdale_telemetry::record_event;
use smol::Timer;

use super::body::ResponseBody;
use super::caller_request::{CallerRequest, bearer_key, build_request, header_str};
use super::message::PeerMessage;
use super::peer_link::spawn_report;
use super::rpc::{call_peer, first_home};
use super::state::{Gateway, lossy_string};
use crate::decide::{HomeCandidate, ProgramStage, RateRefusal, WorkspaceKey, hash_bytes};

/// `Retry-After` of the response to a request that this VM can't serve at the moment,
/// in milliseconds; short, because another VM may serve it at once.
const UNAVAILABLE_RETRY_MS: u64 = 100;
/// `Retry-After` of the response to a request whose program's or workspace's home, the
/// VM that decides on its budget or rate, can't be reached, in milliseconds.
pub(crate) const HOME_UNREACHABLE_RETRY_MS: u64 = 150;
/// An error response created by the gateway instead of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GatewayError {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) retry_after_ms: Option<u64>,
}

impl GatewayError {
    pub(crate) const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }

    /// Creates a 503 error with a short `Retry-After`.
    pub(crate) const fn unavailable(reason: &'static str) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(UNAVAILABLE_RETRY_MS),
        }
    }

    /// Creates the error for a body above the configured limit.
    pub(crate) const fn too_large() -> Self {
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
    }

    /// Builds the HTTP response, with the reason as its body.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::whole(self.reason));
        *response.status_mut() = self.status;
        if let Some(after_ms) = self.retry_after_ms {
            let seconds = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Checks the head of a request, resolves its route and workspace, and returns the
/// request to forward, still without its body.
///
/// Of the body, only `Content-Length` is checked here.
pub(crate) fn admit_head(
    gateway: &Gateway,
    parts: &Parts,
    started: Instant,
) -> Result<CallerRequest, GatewayError> {
    refuse_while_stopping(gateway)?;
    let Some(plan) = gateway.plan() else {
        return Err(GatewayError::unavailable("no configuration yet"));
    };
    if gateway.is_plan_outdated() {
        return Err(GatewayError::unavailable("the configuration is outdated"));
    }
    let header_names = &gateway.state.options.header_names;
    let host = match parts.headers.get(HOST) {
        Some(host) => host.as_bytes(),
        None => parts.uri.host().unwrap_or_default().as_bytes(),
    };
    let Some(route) = plan.find_route(host, parts.uri.path().as_bytes()) else {
        return Err(refuse_unknown(
            gateway,
            StatusCode::NOT_FOUND,
            "no such route",
        ));
    };
    let key = bearer_key(&parts.headers);
    let workspace = key.and_then(|key| plan.find_workspace(key));
    if workspace.is_none() && plan.requires_key() && !route.is_open {
        return Err(refuse_unknown(
            gateway,
            StatusCode::UNAUTHORIZED,
            "unknown key",
        ));
    }
    if header_str(&parts.headers, &header_names.attempt).is_empty() {
        return Err(GatewayError::new(
            StatusCode::BAD_REQUEST,
            "no identifier of the attempt",
        ));
    }
    let limits = plan.get_limits();
    let length: Option<usize> = parts
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    if length.is_some_and(|length| length > limits.body_max_bytes) {
        return Err(GatewayError::too_large());
    }
    let workspace_name = workspace.map(|workspace| &workspace.name);
    let mut request = build_request(parts, header_names, route, &plan, workspace_name, started);
    if route.kind.is_stream() {
        let priority = workspace
            .and_then(|workspace| workspace.priority)
            .unwrap_or(route.priority);
        let value = HeaderValue::from(u16::from(priority.min(9)));
        request
            .headers
            .insert(header_names.engine_priority.clone(), value);
    }
    Ok(request)
}

/// Refuses a request that would be cut by the end of the process.
fn refuse_while_stopping(gateway: &Gateway) -> Result<(), GatewayError> {
    if gateway.state.is_stopping.get() {
        Err(GatewayError::unavailable("the VM is stopping"))
    } else {
        Ok(())
    }
}

/// Refuses a request whose route or key is not in the plan, the configuration in force.
///
/// A configuration that may be outdated does not prove that the route or key does not
/// exist; the refusal is then a 503 that may be retried.
fn refuse_unknown(gateway: &Gateway, status: StatusCode, reason: &'static str) -> GatewayError {
    if gateway.is_plan_current() {
        GatewayError::new(status, reason)
    } else {
        GatewayError::unavailable("the configuration may be outdated")
    }
}

/// Reads the body of a request, up to the configured size limit, into memory that the account
/// of the process grants.
pub(crate) async fn read_body(
    gateway: &Gateway,
    parts: &Parts,
    body: &mut Incoming,
) -> Result<(Bytes, HeldBody), GatewayError> {
    let plan = gateway.plan();
    let limit = plan.map_or(0, |plan| plan.get_limits().body_max_bytes);
    let closer = parts.extensions.get::<ConnectionCloser>().cloned();
    let read = ibisdale_clients::read_body(&gateway.state.clients, body, limit, closer);
    let body = read
        .await
        .map_err(|refusal| refuse_body(gateway, refusal))?;
    refuse_while_stopping(gateway)?;
    Ok(body)
}

/// Returns the response to a request whose body is not read to its end. Where memory is short, it
/// is usually free again soon, or at another VM at once.
pub(crate) fn refuse_body(gateway: &Gateway, refusal: BodyRefusal) -> GatewayError {
    let metrics = &gateway.state.metrics;
    let reason = refusal.as_str();
    match refusal {
        BodyRefusal::TooLarge => GatewayError::too_large(),
        BodyRefusal::Full => {
            metrics.count_refused_body("full");
            GatewayError::unavailable(reason)
        }
        BodyRefusal::Evicted => {
            metrics.count_refused_body("evicted");
            GatewayError::unavailable(reason)
        }
        BodyRefusal::Paused => GatewayError::new(StatusCode::REQUEST_TIMEOUT, reason),
        BodyRefusal::Unreadable => GatewayError::new(StatusCode::BAD_REQUEST, reason),
    }
}

/// Reads and discards the body of a refused request; returns whether its end was read.
///
/// Closing a connection that has unread data resets it, and the caller may lose the
/// response.
pub(crate) async fn discard_body(body: &mut Incoming) -> bool {
    let read = async {
        let mut left = DISCARD_MAX_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let size = frame.data_ref().map_or(0, Bytes::len);
            if size > left {
                return false;
            }
            left -= size;
        }
        true
    };
    let timed_out = async {
        Timer::after(DISCARD_TIMEOUT).await;
        false
    };
    read.or(timed_out).await
}

/// How a request was counted against its workspace's rate limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RateAdmission {
    /// Whose share admitted the request: `share` for this VM's, `home` for the home VM's,
    /// `standby` for that of a home of a lower rank; empty if the request has no workspace
    /// or was refused.
    pub(crate) source: &'static str,
    /// Name of the home VM; empty if it is this VM or was not asked.
    pub(crate) home: String,
}

/// Counts a request against its workspace's rate limit.
///
/// Asks the workspace's homes when this VM's share of the rate is used up.
pub(crate) async fn check_rate_limit(
    gateway: &Gateway,
    request: &CallerRequest,
    stage: ProgramStage,
) -> Result<RateAdmission, GatewayError> {
    let Some(workspace) = &request.workspace else {
        return Ok(RateAdmission::default());
    };
    let workspace_key = hash_bytes(workspace);
    let now_ms = gateway.now_ms();
    let is_admitted = {
        let mut quota = gateway.state.quota.borrow_mut();
        quota.admit(workspace_key, stage, now_ms)
    };
    if is_admitted {
        gateway
            .state
            .metrics
            .count_rate_decision("share", "admitted");
        return Ok(RateAdmission {
            source: "share",
            home: String::new(),
        });
    }
    let mut refusal = RateRefusal::silent_home(HOME_UNREACHABLE_RETRY_MS);
    let mut home_name = String::new();
    let mut refused_by = "none";
    while !request.time_left().is_zero()
        && let Some(home) = first_home(gateway, workspace_key)
    {
        let source = if home.rank == 0 { "home" } else { "standby" };
        home_name = home
            .facts
            .as_ref()
            .map_or_else(String::new, |facts| lossy_string(&facts.name));
        match ask_home(gateway, &home, workspace_key, stage).await {
            None => {}
            Some(Ok(())) => {
                gateway
                    .state
                    .metrics
                    .count_rate_decision(source, "admitted");
                return Ok(RateAdmission {
                    source,
                    home: home_name,
                });
            }
            Some(Err(home_refusal)) => {
                refused_by = source;
                refusal = home_refusal;
                break;
            }
        }
    }
    gateway
        .state
        .metrics
        .count_rate_decision(refused_by, "refused");
    record_event!(
        RateRefused,
        request = request.attempt_id,
        home = home_name,
        stage = format!("{stage:?}"),
        cause = format!("{:?}", refusal.cause),
        used = refusal.used,
        limit = refusal.limit,
        after_ms = refusal.after_ms,
    );
    Err(GatewayError {
        status: StatusCode::TOO_MANY_REQUESTS,
        reason: "the workspace is over its rate",
        retry_after_ms: Some(refusal.after_ms),
    })
}

/// Admits a request as a home of its workspace, of rank `rank`.
pub(crate) fn admit_as_home(
    gateway: &Gateway,
    workspace: WorkspaceKey,
    stage: ProgramStage,
    rank: usize,
) -> Result<(), RateRefusal> {
    let now_ms = gateway.now_ms();
    let mut quota = gateway.state.quota.borrow_mut();
    quota.admit_as_home(workspace, stage, rank, now_ms)?;
    if let Some(report) = quota.take_early_report(workspace) {
        spawn_report(gateway, report);
    }
    Ok(())
}

/// Asks a home to admit a request; returns `None` if it does not answer.
async fn ask_home(
    gateway: &Gateway,
    home: &HomeCandidate,
    workspace: WorkspaceKey,
    stage: ProgramStage,
) -> Option<Result<(), RateRefusal>> {
    let Some(facts) = &home.facts else {
        return Some(admit_as_home(gateway, workspace, stage, home.rank));
    };
    let build_message = |call_id| PeerMessage::Admit {
        call_id,
        workspace,
        stage,
        rank: u8::try_from(home.rank).unwrap_or(u8::MAX),
    };
    if let Some(PeerMessage::Admitted { refusal, .. }) =
        call_peer(gateway, facts.peer_address(), build_message).await
    {
        return Some(refusal.map_or(Ok(()), Err));
    }
    let now_ms = gateway.now_ms();
    let mut members = gateway.state.members.borrow_mut();
    members.record_unanswered(facts.key(), now_ms);
    None
}
