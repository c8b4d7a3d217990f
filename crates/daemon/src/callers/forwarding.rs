//! Requests for programs that another daemon owns.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, Uri};
use ibisdale_core::{RefusalCode, RequestRefusal, RunState, WorkspaceName};
use ibisdale_entry::{ATTEMPT_HEADER, DIGEST_HEADER};
use ibisdale_fleet::FleetError;
use ibisdale_fleet::proto::{ForwardRequest, Header};
use ibisdale_net::BoxBody;

use super::access::CallerIdentity;
use super::dispatch::CallerRequest;
use crate::context::{DaemonContext, SlotOwner};

/// Headers that go on to the owner; never the caller's key.
const FORWARDED_HEADERS: [&str; 2] = [ATTEMPT_HEADER, DIGEST_HEADER];
/// Time in which the owner must begin its answer.
const HEAD_TIMEOUT: Duration = Duration::from_mins(2);
/// Time after which an owner that can't be reached is worth another try.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Sends a request to the owner of its program and copies the answer.
pub(super) async fn forward_request(
    context: &Arc<DaemonContext>,
    request: CallerRequest,
    parts: &Parts,
    owner: SlotOwner,
) -> Result<Response<BoxBody>, RequestRefusal> {
    context.metrics.count_forwarded_request();
    let _held = request.held.clone();
    let forward = render_request(request, parts, context.settings().revision());
    let exchange = async { context.links.forward(owner.fleet_address, forward).await };
    let expire = async {
        smol::Timer::after(HEAD_TIMEOUT).await;
        Err(FleetError::Timeout {
            timeout: HEAD_TIMEOUT,
        })
    };
    let answer = exchange
        .or(expire)
        .await
        .map_err(|error| owner_unreachable(&error))?;
    let (response, copy) = answer
        .into_response()
        .map_err(|error| owner_unreachable(&error))?;
    let task = async move {
        if let Err(error) = copy.await {
            log::debug!("a forwarded answer was cut: {error}");
        }
    };
    context.executor.spawn(task).detach();
    Ok(response)
}

fn owner_unreachable(error: &FleetError) -> RequestRefusal {
    let state = if error.is_not_sent() {
        RunState::NotRun
    } else {
        RunState::Unknown
    };
    let message = format!("the program's owner can't be reached: {error}");
    RequestRefusal::new(RefusalCode::OwnerUnavailable, message)
        .run_state(state)
        .retry_after(UNREACHABLE_RETRY_DELAY)
}

fn render_request(request: CallerRequest, parts: &Parts, revision: u64) -> ForwardRequest {
    let headers = FORWARDED_HEADERS
        .iter()
        .filter_map(|name| {
            let value = parts.headers.get(*name)?;
            let value = Bytes::copy_from_slice(value.as_bytes());
            Some(Header {
                name: (*name).to_owned(),
                value,
            })
        })
        .collect();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    ForwardRequest {
        method: parts.method.as_str().to_owned(),
        path: path.to_owned(),
        headers,
        body: request.body,
        workspace: request.caller.workspace.to_string(),
        settings_revision: revision,
        hop_count: 1,
        deadline_ms: 0,
        traceparent: request.traceparent.unwrap_or_default(),
        request_id: request.id.to_string(),
    }
}

fn malformed(what: &str) -> RequestRefusal {
    let message = format!("the forwarded request is malformed: {what}");
    RequestRefusal::new(RefusalCode::BadRequest, message)
}

/// Reads a forwarded request's head.
pub(super) fn forwarded_parts(
    forwarded: &ForwardRequest,
) -> Result<(Method, Uri, HeaderMap, CallerIdentity), RequestRefusal> {
    let method = forwarded.method.parse().map_err(|_| malformed("method"))?;
    let uri = forwarded.path.parse().map_err(|_| malformed("path"))?;
    let mut headers = HeaderMap::new();
    for header in &forwarded.headers {
        let name: HeaderName = header.name.parse().map_err(|_| malformed("header name"))?;
        let value = HeaderValue::from_bytes(&header.value);
        headers.append(name, value.map_err(|_| malformed("header value"))?);
    }
    let workspace = WorkspaceName::new(forwarded.workspace.clone().into_bytes())
        .map_err(|_| malformed("workspace"))?;
    Ok((
        method,
        uri,
        headers,
        CallerIdentity {
            workspace,
            key: None,
        },
    ))
}
