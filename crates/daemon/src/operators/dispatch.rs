//! Operators' requests: from their head to their answer.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use ibisdale_clients::close_after;
use ibisdale_core::admin::{DrainReply, ProgramsReply};
use ibisdale_core::{ProgramId, RefusalCode, RequestId, RequestRefusal};
use ibisdale_entry::{
    AnswerHead, OperatorRoute, bearer_key, check_head, json_answer, parse_operator_route,
    refusal_answer, text_answer,
};
use ibisdale_net::BoxBody;
use ibisdale_settings::KeyHash;

use super::render::{render_program, render_status};
use super::settings;
use crate::clients::is_unread;
use crate::context::DaemonContext;

/// Largest settings text that is taken, in bytes.
const SETTINGS_MAX_BYTES: usize = 64 * 1_024 * 1_024;
/// Label of all messages on links to other daemons.
const FLEET_LINKS: &str = "all";

/// What operators must present.
#[derive(Clone, Debug)]
pub(crate) struct OperatorAccess {
    pub(crate) key_hash: KeyHash,
}

/// Answers an operator.
pub(crate) async fn serve_operator(
    context: Arc<DaemonContext>,
    access: OperatorAccess,
    request: Request<Incoming>,
) -> Response<BoxBody> {
    let id = RequestId::generate(&mut rand::rng());
    let (parts, mut body) = request.into_parts();
    let response = match serve(&context, &access, id, &parts, &mut body).await {
        Ok(response) => response,
        Err(refusal) => refusal_answer(id, &refusal),
    };
    if is_unread(&body) {
        close_after(response)
    } else {
        response
    }
}

fn authenticate(access: &OperatorAccess, headers: &HeaderMap) -> Result<(), RequestRefusal> {
    let unknown = |message: &str| RequestRefusal::new(RefusalCode::UnknownKey, message);
    let key = bearer_key(headers)?.ok_or_else(|| unknown("no key was given"))?;
    if KeyHash::of(&key) == access.key_hash {
        return Ok(());
    }
    Err(unknown("the key is not an operator's"))
}

async fn serve(
    context: &Arc<DaemonContext>,
    access: &OperatorAccess,
    id: RequestId,
    parts: &Parts,
    body: &mut Incoming,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let route = parse_operator_route(&parts.method, &parts.uri)?;
    if route == OperatorRoute::Metrics {
        let sent = context.links.get_traffic().take();
        context
            .metrics
            .count_fleet_messages(FLEET_LINKS, sent.messages, sent.bytes);
        context.clients.update_metrics(&context.metrics);
        return Ok(text_answer(AnswerHead::new(id), context.metrics.render()));
    }
    authenticate(access, &parts.headers)?;
    check_head(parts)?;
    match route {
        OperatorRoute::Programs => Ok(list_programs(context, id).await),
        OperatorRoute::Program(program) => read_program(context, id, program).await,
        OperatorRoute::CancelProgram(program) => cancel_program(context, id, program).await,
        OperatorRoute::Status => Ok(json_answer(AnswerHead::new(id), &render_status(context))),
        OperatorRoute::Drain => Ok(start_drain(context, id)),
        route => {
            let clients = &context.clients;
            let read = clients.read_body(&context.metrics, (parts, body), SETTINGS_MAX_BYTES);
            let (body, _held) = read.await?;
            Ok(serve_settings(context, id, route, &parts.headers, &body).await)
        }
    }
}

async fn serve_settings(
    context: &DaemonContext,
    id: RequestId,
    route: OperatorRoute,
    headers: &HeaderMap,
    body: &Bytes,
) -> Response<BoxBody> {
    let feed = &context.feed;
    let result = match route {
        OperatorRoute::Settings => Ok(settings::read_settings(feed, id)),
        OperatorRoute::ApplySettings => settings::apply_settings(feed, id, headers, body).await,
        OperatorRoute::Revisions => settings::list_revisions(feed, id).await,
        OperatorRoute::Revision(revision) => settings::read_revision(feed, id, revision).await,
        OperatorRoute::GrantKey(path) => settings::grant(feed, id, &path).await,
        OperatorRoute::WithdrawKey(path) => settings::withdraw(feed, id, &path).await,
        _ => Err(RequestRefusal::new(RefusalCode::UnknownRoute, "there is no such route").into()),
    };
    result.unwrap_or_else(|refusal| refusal.into_response(id))
}

async fn list_programs(context: &DaemonContext, id: RequestId) -> Response<BoxBody> {
    let programs = context.control.programs().await;
    let programs = programs.iter().map(render_program).collect();
    json_answer(AnswerHead::new(id), &ProgramsReply { programs })
}

async fn read_program(
    context: &DaemonContext,
    id: RequestId,
    program: ProgramId,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let summary = context.control.summary(program, None).await?;
    Ok(json_answer(AnswerHead::new(id), &render_program(&summary)))
}

async fn cancel_program(
    context: &DaemonContext,
    id: RequestId,
    program: ProgramId,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let summary = context.control.cancel(program, None).await?;
    Ok(json_answer(AnswerHead::new(id), &render_program(&summary)))
}

fn start_drain(context: &DaemonContext, id: RequestId) -> Response<BoxBody> {
    context.drain.start();
    let head = AnswerHead::new(id).status(StatusCode::ACCEPTED);
    json_answer(
        head,
        &DrainReply {
            name: context.identity.name.clone(),
        },
    )
}
