//! The engine's server and routes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use ibisdale_net::{BoxBody, NetError, TrafficExecutor, read_limited};
use serde::Serialize;

use super::message::ChatBody;
use super::options::{EngineCounters, EngineFault, EngineOptions};
use super::state::{CacheEventBody, EngineState, SessionBody, StaleFence};
use super::stream::ChatRun;
use crate::host::{BODY_MAX_BYTES, ServerHost, error_answer, json_answer};
use crate::keys::carries_foreign_key;

/// Session of calls that name none.
const ANONYMOUS_SESSION: &str = "none";

/// A running engine.
#[derive(Debug)]
pub struct EngineServer {
    host: ServerHost,
    shared: SharedState,
}

/// The engine's state as its tasks share it.
#[derive(Clone, Debug)]
pub(crate) struct SharedState {
    state: Arc<Mutex<EngineState>>,
    executor: Weak<async_executor::Executor<'static>>,
}

impl SharedState {
    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the executor of the engine's tasks while the engine is open.
    pub(crate) fn get_executor(&self) -> Option<TrafficExecutor> {
        self.executor.upgrade()
    }
}

#[derive(Serialize)]
struct ReleaseBody {
    released: bool,
}

#[derive(Serialize)]
struct SessionListBody {
    sessions: Vec<SessionBody>,
}

#[derive(Serialize)]
struct EventPageBody {
    events: Vec<CacheEventBody>,
    last: u64,
}

#[derive(Serialize)]
struct LoadBody {
    number: u64,
    running: u64,
    waiting: u64,
    held_tokens: u64,
    capacity_tokens: u64,
    models: Vec<String>,
    is_leaving: bool,
}

impl EngineServer {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be had.
    pub fn start(
        address: SocketAddr,
        executor: &TrafficExecutor,
        options: EngineOptions,
    ) -> Result<Self, NetError> {
        let shared = SharedState {
            state: Arc::new(Mutex::new(EngineState::new(options))),
            executor: Arc::downgrade(executor),
        };
        let served = shared.clone();
        let host = ServerHost::start(address, executor, move |request, _| {
            answer_request(served.clone(), request)
        })?;
        Ok(Self { host, shared })
    }

    /// Returns the address that the engine listens on.
    #[must_use]
    pub fn get_address(&self) -> SocketAddr {
        self.host.get_address()
    }

    /// Returns what the engine has seen so far.
    #[must_use]
    pub fn get_counters(&self) -> EngineCounters {
        self.shared.lock().counters
    }

    /// Returns the sessions that hold memory.
    #[must_use]
    pub fn get_sessions(&self) -> Vec<String> {
        let sessions = self.shared.lock().list_sessions();
        sessions.into_iter().map(|held| held.session).collect()
    }

    /// Sets the fault that calls meet from now on.
    pub fn set_fault(&self, fault: EngineFault) {
        self.shared.lock().fault = fault;
    }

    /// Closes the listener and cuts every connection.
    pub async fn close(self) {
        self.host.close().await;
    }
}

async fn answer_request(shared: SharedState, request: Request<Incoming>) -> Response<BoxBody> {
    let is_foreign = {
        let state = shared.lock();
        carries_foreign_key(request.headers(), state.options.get_credential())
    };
    if is_foreign {
        shared.lock().counters.foreign_keys += 1;
        return error_answer(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "unknown credential",
        );
    }
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => answer_chat(shared, request).await,
        (&Method::POST, ["v1", "sessions", session, "release"]) => {
            answer_release(&shared, session, request.headers())
        }
        (&Method::GET, ["v1", "sessions"]) => {
            let sessions = shared.lock().list_sessions();
            json_answer(StatusCode::OK, &SessionListBody { sessions })
        }
        (&Method::GET, ["v1", "load"]) => answer_load(&shared),
        (&Method::GET, ["v1", "cache", "events"]) => answer_events(&shared, request.uri().query()),
        _ => error_answer(StatusCode::NOT_FOUND, "unknown_route", "no such route"),
    }
}

async fn answer_chat(shared: SharedState, request: Request<Incoming>) -> Response<BoxBody> {
    let (head, body) = request.into_parts();
    let Ok(body) = read_limited(body, BODY_MAX_BYTES).await else {
        return error_answer(
            StatusCode::BAD_REQUEST,
            "bad_request",
            "the body is truncated",
        );
    };
    let body: ChatBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(error) => {
            return error_answer(StatusCode::BAD_REQUEST, "bad_request", &error.to_string());
        }
    };
    let session = read_header(&head.headers, "session-id").unwrap_or(ANONYMOUS_SESSION);
    if let Some(refusal) = refuse_chat(&shared, session, &head.headers, &body) {
        return refusal;
    }
    ChatRun::start(shared, session, body).answer().await
}

fn refuse_chat(
    shared: &SharedState,
    session: &str,
    headers: &HeaderMap,
    body: &ChatBody,
) -> Option<Response<BoxBody>> {
    let mut state = shared.lock();
    if state.fault == EngineFault::Refuse {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Some(error_answer(status, "overloaded", "the engine is full"));
    }
    let models = state.options.get_models();
    if !models.is_empty() && !models.contains(&body.model) {
        let message = format!("model {} is not loaded", body.model);
        return Some(error_answer(
            StatusCode::NOT_FOUND,
            "unknown_model",
            &message,
        ));
    }
    if session == ANONYMOUS_SESSION {
        return None;
    }
    let number = read_fencing_number(headers);
    let refusal = state.check_fence(session, number).err()?;
    Some(answer_stale_fence(refusal))
}

fn answer_release(shared: &SharedState, session: &str, headers: &HeaderMap) -> Response<BoxBody> {
    let mut state = shared.lock();
    if let Err(stale) = state.check_fence(session, read_fencing_number(headers)) {
        return answer_stale_fence(stale);
    }
    let released = state.release(session);
    json_answer(StatusCode::OK, &ReleaseBody { released })
}

fn answer_stale_fence(stale: StaleFence) -> Response<BoxBody> {
    let message = format!("a fencing number of {} was seen", stale.current);
    error_answer(StatusCode::CONFLICT, "stale_fencing_number", &message)
}

fn answer_load(shared: &SharedState) -> Response<BoxBody> {
    let state = shared.lock();
    let load = LoadBody {
        number: state.counters.chats + state.counters.finished + state.counters.cancelled,
        running: state.counters.running,
        waiting: 0,
        held_tokens: state.held_tokens(),
        capacity_tokens: 0,
        models: state.options.get_models().to_vec(),
        is_leaving: false,
    };
    json_answer(StatusCode::OK, &load)
}

fn answer_events(shared: &SharedState, query: Option<&str>) -> Response<BoxBody> {
    let after = query
        .and_then(|query| query.strip_prefix("after="))
        .and_then(|number| number.parse().ok())
        .unwrap_or(0);
    let (events, last) = shared.lock().events_after(after);
    json_answer(StatusCode::OK, &EventPageBody { events, last })
}

fn read_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn read_fencing_number(headers: &HeaderMap) -> u64 {
    read_header(headers, "fencing-number")
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}
