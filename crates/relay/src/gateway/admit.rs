//! What a request must pass before it is sent to a replica.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::{CONTENT_LENGTH, HOST, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use ibisdale_telemetry::record_event;
use smol::Timer;

use super::ask::ask;
use super::body::AnswerBody;
use super::call::{CallerCall, bearer_key, decode_call, field};
use super::message::PeerMessage;
use super::state::{Gateway, text};
use crate::decide::{ProgramStage, RateRefusal, stable_hash};

/// Pause after which a request is worth sending again when this VM can't serve
/// it at the moment, in milliseconds; another VM may serve it at once.
const RETRY_SOON_MS: u64 = 100;
/// Pause after which a spent budget is not worth asking about again is not told;
/// a home that can't be reached is, in milliseconds.
pub(crate) const HOME_RETRY_MS: u64 = 150;
/// Most that is read of the body of a refused request, in bytes; sixteen of the
/// largest bodies that the deployments allow.
const DISCARD_MAX_BYTES: usize = 16 * 1_024 * 1_024;
/// Time for which the body of a refused request is read.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Time in which a request's body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that is answered without being sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GatewayRefusal {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) retry_after_ms: Option<u64>,
}

impl GatewayRefusal {
    pub(crate) const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }

    pub(crate) const fn soon(reason: &'static str) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(RETRY_SOON_MS),
        }
    }

    /// Creates the answer that tells of the refusal.
    pub(crate) fn into_answer(self) -> Response<AnswerBody> {
        let mut answer = Response::new(AnswerBody::whole(self.reason));
        *answer.status_mut() = self.status;
        if let Some(after_ms) = self.retry_after_ms {
            let seconds = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                answer.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        answer
    }
}

/// Finds the route and the workspace of a request.
pub(crate) fn admit_head(
    gateway: &Gateway,
    parts: &Parts,
    started: Instant,
) -> Result<CallerCall, GatewayRefusal> {
    let Some(plan) = gateway.plan() else {
        return Err(GatewayRefusal::soon("no configuration yet"));
    };
    let dialect = &gateway.state.options.dialect;
    let host = match parts.headers.get(HOST) {
        Some(host) => host.as_bytes(),
        None => parts.uri.host().unwrap_or_default().as_bytes(),
    };
    let Some(route) = plan.find_route(host, parts.uri.path().as_bytes()) else {
        return Err(unknown(gateway, StatusCode::NOT_FOUND, "no such route"));
    };
    let key = bearer_key(&parts.headers);
    let grant = key.and_then(|key| plan.find_workspace(key));
    if grant.is_none() && plan.is_keyed() && !route.is_open {
        return Err(unknown(gateway, StatusCode::UNAUTHORIZED, "unknown key"));
    }
    if field(&parts.headers, &dialect.attempt).is_empty() {
        return Err(GatewayRefusal::new(
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
        return Err(GatewayRefusal::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        ));
    }
    let workspace = grant.map(|grant| &grant.name);
    let mut call = decode_call(
        parts,
        dialect,
        route,
        plan.get_version(),
        workspace,
        started,
    );
    if route.repeat.is_stream() {
        let priority = grant
            .and_then(|grant| grant.priority)
            .unwrap_or(route.priority);
        let value = HeaderValue::from(u16::from(priority.min(9)));
        call.headers.insert(dialect.engine_priority.clone(), value);
    }
    Ok(call)
}

/// Refuses what the configuration does not hold, unless it may be outdated.
fn unknown(gateway: &Gateway, status: StatusCode, reason: &'static str) -> GatewayRefusal {
    if gateway.is_feed_trusted() {
        GatewayRefusal::new(status, reason)
    } else {
        GatewayRefusal::soon("the configuration may be outdated")
    }
}

/// Reads the body of a request.
pub(crate) async fn read_body(
    gateway: &Gateway,
    body: &mut Incoming,
) -> Result<Bytes, GatewayRefusal> {
    let plan = gateway.plan();
    let limit = plan.map_or(0, |plan| plan.get_limits().body_max_bytes);
    let read = async {
        match Limited::new(body, limit).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                let status = StatusCode::PAYLOAD_TOO_LARGE;
                Err(GatewayRefusal::new(status, "the body is too large"))
            }
            Err(_) => {
                let status = StatusCode::BAD_REQUEST;
                Err(GatewayRefusal::new(status, "the body can't be read"))
            }
        }
    };
    let expire = async {
        Timer::after(BODY_TIMEOUT).await;
        let status = StatusCode::REQUEST_TIMEOUT;
        Err(GatewayRefusal::new(
            status,
            "the body did not arrive in time",
        ))
    };
    read.or(expire).await
}

/// Reads and drops the body of a refused request.
///
/// A connection that is closed with unread data is reset, and its answer may be lost.
pub(crate) async fn discard_body(mut body: Incoming) {
    let read = async {
        let mut left = DISCARD_MAX_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let size = frame.data_ref().map_or(0, Bytes::len);
            if size > left {
                return;
            }
            left -= size;
        }
    };
    let expire = async {
        Timer::after(DISCARD_TIME).await;
    };
    read.or(expire).await;
}

/// Takes a request from its workspace's rate, at its home where this VM's part of
/// the rate is used up.
pub(crate) async fn admit_rate(
    gateway: &Gateway,
    call: &CallerCall,
    stage: ProgramStage,
) -> Result<(), GatewayRefusal> {
    let Some(workspace) = &call.workspace else {
        return Ok(());
    };
    let workspace = stable_hash(workspace);
    let now_ms = gateway.now_ms();
    let is_admitted = {
        let mut quota = gateway.state.quota.borrow_mut();
        quota.admit(workspace, stage, now_ms)
    };
    if is_admitted {
        return Ok(());
    }
    let own = gateway.state.options.facts.key();
    let homes = {
        let members = gateway.state.members.borrow();
        members.homes(own, workspace, now_ms)
    };
    let home = homes.into_iter().next().flatten();
    let home_name = home
        .as_ref()
        .map_or_else(String::new, |home| text(&home.name));
    let shortage = match home {
        None => {
            let mut quota = gateway.state.quota.borrow_mut();
            quota.admit_as_home(workspace, stage, now_ms).err()
        }
        Some(home) => {
            let question = |ask| PeerMessage::Admit {
                ask,
                workspace,
                stage,
            };
            match ask(gateway, home.peer_address(), question).await {
                Some(PeerMessage::Admitted { shortage, .. }) => shortage,
                _ => Some(RateRefusal::silent_home(HOME_RETRY_MS)),
            }
        }
    };
    let Some(shortage) = shortage else {
        return Ok(());
    };
    record_event!(
        RateRefused,
        request = call.id,
        home = home_name,
        stage = format!("{stage:?}"),
        cause = format!("{:?}", shortage.cause),
        used = shortage.used,
        limit = shortage.limit,
        after_ms = shortage.after_ms,
    );
    Err(GatewayRefusal {
        status: StatusCode::TOO_MANY_REQUESTS,
        reason: "the workspace is over its rate",
        retry_after_ms: Some(shortage.after_ms),
    })
}
