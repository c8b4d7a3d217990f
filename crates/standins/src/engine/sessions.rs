//! Orders about sessions: list, release, export and import.

use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use ibisdale_net::{BoxBody, read_limited};
use serde::{Deserialize, Serialize};

use super::events::CacheEventKind;
use super::server::{answer_stale_fence, read_fencing_number};
use super::state::SharedState;
use crate::host::{BODY_MAX_BYTES, error_answer, json_answer};

/// What the engine holds for one session.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct SessionBody {
    pub(crate) session: String,
    pub(crate) tokens: u64,
    pub(crate) fencing_number: u64,
}

#[derive(Serialize)]
struct SessionListBody {
    sessions: Vec<SessionBody>,
}

#[derive(Serialize)]
struct ReleaseBody {
    released: bool,
}

/// A session's cache as it goes from engine to engine.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct ExportBody {
    session: String,
    tokens: u64,
    blocks: Vec<u64>,
}

#[derive(Serialize)]
struct ImportBody {
    imported: bool,
    tokens: u64,
}

/// Returns all sessions that hold memory, running ones included.
pub(crate) fn list_sessions(shared: &SharedState) -> Vec<SessionBody> {
    let state = shared.lock();
    let idle = state.cache.iter_sessions();
    let mut sessions: Vec<SessionBody> = idle
        .chain(state.batch.iter_running())
        .map(|(session, tokens)| SessionBody {
            session: session.to_owned(),
            tokens,
            fencing_number: state.get_fence(session),
        })
        .collect();
    sessions.sort_by(|left, right| {
        let order = left.session.cmp(&right.session);
        order.then(right.tokens.cmp(&left.tokens))
    });
    sessions.dedup_by(|left, right| left.session == right.session);
    sessions
}

/// Answers with the sessions that hold memory.
pub(crate) fn answer_list(shared: &SharedState) -> Response<BoxBody> {
    let sessions = list_sessions(shared);
    json_answer(StatusCode::OK, &SessionListBody { sessions })
}

/// Releases a session by order.
pub(crate) fn answer_release(
    shared: &SharedState,
    session: &str,
    headers: &HeaderMap,
) -> Response<BoxBody> {
    let mut state = shared.lock();
    if let Err(refusal) = state.check_fence(session, read_fencing_number(headers)) {
        return answer_stale_fence(refusal);
    }
    let released = state.release(session);
    json_answer(StatusCode::OK, &ReleaseBody { released })
}

/// Exports a session's cache by order; the session stays.
pub(crate) async fn answer_export(
    shared: &SharedState,
    session: &str,
    headers: &HeaderMap,
) -> Response<BoxBody> {
    let number = read_fencing_number(headers);
    let export = {
        let mut state = shared.lock();
        if let Err(refusal) = state.check_fence(session, number) {
            return answer_stale_fence(refusal);
        }
        let Some((blocks, tokens)) = state.cache.get_session(session) else {
            let message = "the session holds nothing";
            return error_answer(StatusCode::NOT_FOUND, "unknown_session", message);
        };
        ExportBody {
            session: session.to_owned(),
            tokens,
            blocks: blocks.to_vec(),
        }
    };
    wait_transfer(shared, export.tokens).await;
    shared.lock().counters.exports += 1;
    json_answer(StatusCode::OK, &export)
}

/// Imports a session's cache by order.
pub(crate) async fn answer_import(
    shared: &SharedState,
    session: &str,
    request: Request<Incoming>,
) -> Response<BoxBody> {
    let number = read_fencing_number(request.headers());
    let Ok(body) = read_limited(request.into_body(), BODY_MAX_BYTES).await else {
        let message = "the body is truncated";
        return error_answer(StatusCode::BAD_REQUEST, "bad_request", message);
    };
    let import = match serde_json::from_slice::<ExportBody>(&body) {
        Ok(import) if import.session == session => import,
        _ => {
            let message = "the body is no export of this session";
            return error_answer(StatusCode::BAD_REQUEST, "bad_request", message);
        }
    };
    wait_transfer(shared, import.tokens).await;
    store_import(shared, number, import)
}

fn store_import(shared: &SharedState, number: u64, import: ExportBody) -> Response<BoxBody> {
    let mut state = shared.lock();
    // Checked after the transfer, so that a later order wins meanwhile.
    if let Err(refusal) = state.check_fence(&import.session, number) {
        return answer_stale_fence(refusal);
    }
    let Ok(evicted) = state.cache.hold(&import.blocks) else {
        let message = "the cache has no room";
        return error_answer(StatusCode::INSUFFICIENT_STORAGE, "cache_full", message);
    };
    state.note_evicted(evicted);
    state.cache.mark_computed(&import.blocks);
    state
        .cache
        .store_session(&import.session, import.blocks, import.tokens);
    state.counters.imports += 1;
    state
        .events
        .push(CacheEventKind::Stored, &import.session, import.tokens);
    state.note_load();
    let body = ImportBody {
        imported: true,
        tokens: import.tokens,
    };
    json_answer(StatusCode::OK, &body)
}

async fn wait_transfer(shared: &SharedState, tokens: u64) {
    let delay = shared.lock().options.get_transfer_delay();
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    shared.wait(delay * tokens).await;
}
