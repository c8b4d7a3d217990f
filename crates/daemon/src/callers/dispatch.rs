//! Takes a request apart and hands it to its route's function.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, Uri};
use hyper::body::Incoming;
use ibisdale_clients::{HeldBody, close_after};
use ibisdale_core::{ProgramId, RefusalCode, RequestId, RequestRefusal};
use ibisdale_entry::{
    CallerRoute, StepHeaders, check_head, parse_caller_route, refusal_answer, step_headers,
};
use ibisdale_fleet::proto::ForwardRequest;
use ibisdale_net::BoxBody;

use super::access::{CallerIdentity, authenticate};
use super::forwarding::{forward_request, forwarded_parts};
use super::{addresses, call, chat, programs};
use crate::clients::is_unread;
use crate::context::DaemonContext;
use crate::credit::RateSubject;
use crate::observe::RequestWatch;
use crate::settings_watch::check_settings;

/// Header of the trace context.
pub(super) const TRACEPARENT_HEADER: &str = "traceparent";
/// Largest request body, in bytes.
const BODY_MAX_BYTES: usize = 4 * 1_024 * 1_024;

/// A request of a known caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) id: RequestId,
    pub(crate) route: CallerRoute,
    pub(crate) step: StepHeaders,
    pub(crate) body: Bytes,
    /// Memory of the body and of its parsed form in the account of the process; none for a
    /// request that another daemon forwarded, which counts on its connection.
    pub(crate) held: Option<Arc<[HeldBody; 2]>>,
    pub(crate) caller: CallerIdentity,
    pub(crate) traceparent: Option<String>,
}

/// Answers a caller.
pub(crate) async fn serve_caller(
    context: Arc<DaemonContext>,
    request: Request<Incoming>,
) -> Response<BoxBody> {
    let id = RequestId::generate(&mut rand::rng());
    let traceparent = read_traceparent(request.headers());
    let mut watch = RequestWatch::start(&context, "entry", id, traceparent.as_deref());
    let (parts, mut body) = request.into_parts();
    let result = serve(&context, id, parts, &mut body, &mut watch).await;
    let response = answer_watched(id, result, watch);
    if is_unread(&body) {
        close_after(response)
    } else {
        response
    }
}

fn answer_watched(
    id: RequestId,
    result: Result<Response<BoxBody>, RequestRefusal>,
    mut watch: RequestWatch,
) -> Response<BoxBody> {
    let response = result.unwrap_or_else(|refusal| {
        watch.refuse(&refusal);
        refusal_answer(id, &refusal)
    });
    watch.watch(response)
}

fn read_traceparent(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(TRACEPARENT_HEADER)?;
    value.to_str().ok().map(str::to_owned)
}

async fn serve(
    context: &Arc<DaemonContext>,
    id: RequestId,
    parts: Parts,
    body: &mut Incoming,
    watch: &mut RequestWatch,
) -> Result<Response<BoxBody>, RequestRefusal> {
    check_head(&parts)?;
    let route = parse_caller_route(&parts.method, &parts.uri)?;
    watch.set_route(route.as_str());
    match route {
        CallerRoute::Addresses(query) => Ok(addresses::list_addresses(context, id, &query)),
        CallerRoute::OpenCall(path) => {
            let (body, _held) = read_body(context, (&parts, body)).await?;
            call::run_open_call(context, id, &path, body).await
        }
        route => {
            check_settings(context)?;
            let settings = context.settings();
            let caller = authenticate(&settings, &parts.headers)?;
            take_credit(context, &route, &caller).await?;
            let (body, held) = read_body(context, (&parts, body)).await?;
            let parsed = context.clients.hold_parsed(&context.metrics, &body)?;
            let mut request = build_request(id, route, &parts.headers, body, caller)?;
            request.held = Some(Arc::new([held, parsed]));
            request.traceparent = watch.traceparent();
            serve_known(context, request, &parts).await
        }
    }
}

/// Takes one request of the workspace's rate, for routes that start work.
async fn take_credit(
    context: &DaemonContext,
    route: &CallerRoute,
    caller: &CallerIdentity,
) -> Result<(), RequestRefusal> {
    let is_limited = matches!(
        route,
        CallerRoute::StartProgram
            | CallerRoute::StartChild(_)
            | CallerRoute::ChatStep(_)
            | CallerRoute::CallStep(_)
            | CallerRoute::ChatCompletion
    );
    if !is_limited {
        return Ok(());
    }
    let workspace = caller.workspace.clone();
    context
        .credit
        .take(RateSubject {
            workspace,
            program: None,
        })
        .await
}

async fn read_body(
    context: &DaemonContext,
    request: (&Parts, &mut Incoming),
) -> Result<(Bytes, HeldBody), RequestRefusal> {
    let clients = &context.clients;
    let read = clients.read_body(&context.metrics, request, BODY_MAX_BYTES);
    read.await
}

fn build_request(
    id: RequestId,
    route: CallerRoute,
    headers: &HeaderMap,
    body: Bytes,
    caller: CallerIdentity,
) -> Result<CallerRequest, RequestRefusal> {
    let step = step_headers(headers)?;
    let traceparent = headers
        .get("traceparent")
        .and_then(|value| value.to_str().ok());
    let traceparent = traceparent.map(str::to_owned);
    Ok(CallerRequest {
        id,
        route,
        step,
        body,
        held: None,
        caller,
        traceparent,
    })
}

/// Returns the program that a route names.
fn route_program(route: &CallerRoute) -> Option<ProgramId> {
    match route {
        CallerRoute::ProgramState(program)
        | CallerRoute::StartChild(program)
        | CallerRoute::EndProgram(program)
        | CallerRoute::CancelProgram(program) => Some(*program),
        CallerRoute::ChatStep(path)
        | CallerRoute::CallStep(path)
        | CallerRoute::StepState(path) => Some(path.program),
        CallerRoute::Addresses(_)
        | CallerRoute::StartProgram
        | CallerRoute::ChatCompletion
        | CallerRoute::OpenCall(_) => None,
    }
}

async fn serve_known(
    context: &Arc<DaemonContext>,
    request: CallerRequest,
    parts: &Parts,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let Some(program) = route_program(&request.route) else {
        return serve_owned(context, request).await;
    };
    match context.owners.load().get(program.slot()) {
        Some(owner) if owner.is_self => serve_owned(context, request).await,
        Some(owner) => forward_request(context, request, parts, owner).await,
        None => Err(owner_unknown()),
    }
}

/// Time after which a slot without an owner is worth another try.
const OWNER_RETRY_DELAY: std::time::Duration = std::time::Duration::from_secs(1);

fn owner_unknown() -> RequestRefusal {
    let message = "the program's owner is changing";
    RequestRefusal::new(RefusalCode::OwnerUnavailable, message).retry_after(OWNER_RETRY_DELAY)
}

async fn serve_owned(
    context: &Arc<DaemonContext>,
    request: CallerRequest,
) -> Result<Response<BoxBody>, RequestRefusal> {
    match request.route.clone() {
        CallerRoute::StartProgram => programs::start_program(context, &request).await,
        CallerRoute::StartChild(program) => programs::start_child(context, &request, program).await,
        CallerRoute::ProgramState(program) => {
            programs::read_program(context, &request, program).await
        }
        CallerRoute::EndProgram(program) => programs::end_program(context, &request, program).await,
        CallerRoute::CancelProgram(program) => {
            programs::cancel_program(context, &request, program).await
        }
        CallerRoute::StepState(path) => programs::read_step(context, &request, path).await,
        CallerRoute::ChatStep(path) => chat::run_chat_step(context, &request, path).await,
        CallerRoute::ChatCompletion => chat::run_completion(context, &request).await,
        CallerRoute::CallStep(path) => call::run_call_step(context, &request, path).await,
        CallerRoute::Addresses(_) | CallerRoute::OpenCall(_) => Err(RequestRefusal::new(
            RefusalCode::Internal,
            "the route is served elsewhere",
        )),
    }
}

/// Answers a request that another daemon forwarded.
pub(crate) async fn serve_forwarded(
    context: Arc<DaemonContext>,
    forwarded: ForwardRequest,
) -> Response<BoxBody> {
    let id = forwarded.request_id.parse();
    let id = id.unwrap_or_else(|_| RequestId::generate(&mut rand::rng()));
    let mut watch = RequestWatch::start(&context, "owner", id, Some(&forwarded.traceparent));
    let result = serve_hop(&context, id, forwarded, &mut watch).await;
    answer_watched(id, result, watch)
}

async fn serve_hop(
    context: &Arc<DaemonContext>,
    id: RequestId,
    forwarded: ForwardRequest,
    watch: &mut RequestWatch,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let (method, uri, headers, caller): (Method, Uri, HeaderMap, CallerIdentity) =
        forwarded_parts(&forwarded)?;
    let route = parse_caller_route(&method, &uri)?;
    watch.set_route(route.as_str());
    let is_owned = route_program(&route)
        .and_then(|program| context.owners.load().get(program.slot()))
        .is_some_and(|owner| owner.is_self);
    if !is_owned {
        return Err(owner_unknown());
    }
    let mut request = build_request(id, route, &headers, forwarded.body, caller)?;
    request.traceparent = watch.traceparent();
    serve_owned(context, request).await
}
