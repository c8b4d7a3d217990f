//! The engine's server and routes.

use std::net::SocketAddr;
use std::str::FromStr;

use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use ibisdale_net::{BoxBody, NetError, TrafficExecutor};
use smol::Task;

use super::chat::answer_chat;
use super::options::{EngineCounters, EngineFault, EngineOptions, EngineRole};
use super::orders::{answer_load, answer_role, answer_unload};
use super::sessions::{answer_export, answer_import, answer_list, answer_release, list_sessions};
use super::state::{SharedState, StaleFence, run_steps};
use crate::host::{ServerHost, error_answer, json_answer};
use crate::keys::carries_foreign_key;

/// A running engine.
#[derive(Debug)]
pub struct EngineServer {
    host: ServerHost,
    shared: SharedState,
    steps: Task<()>,
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
        let (shared, woken) = SharedState::new(options, executor);
        let served = shared.clone();
        let host = ServerHost::start(address, executor, move |request, _| {
            answer_request(served.clone(), request)
        })?;
        let steps = executor.spawn(run_steps(shared.clone(), woken));
        Ok(Self {
            host,
            shared,
            steps,
        })
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
        let sessions = list_sessions(&self.shared);
        sessions.into_iter().map(|held| held.session).collect()
    }

    /// Returns the models loaded; none means any.
    #[must_use]
    pub fn get_models(&self) -> Vec<String> {
        self.shared.lock().models.clone()
    }

    /// Returns the role.
    #[must_use]
    pub fn get_role(&self) -> EngineRole {
        self.shared.lock().role
    }

    /// Sets the fault that calls meet from now on.
    pub fn set_fault(&self, fault: EngineFault) {
        self.shared.lock().fault = fault;
    }

    /// Sets whether the engine is leaving; it then refuses further calls.
    pub fn set_leaving(&self, is_leaving: bool) {
        let mut state = self.shared.lock();
        state.is_leaving = is_leaving;
        state.note_load();
    }

    /// Closes the listener and cuts every connection.
    pub async fn close(self) {
        self.steps.cancel().await;
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
        let message = "unknown credential";
        return error_answer(StatusCode::UNAUTHORIZED, "unauthorized", message);
    }
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => answer_chat(shared, request).await,
        (&Method::POST, ["v1", "sessions", session, order]) => {
            answer_session_order(&shared, session, order, request).await
        }
        (&Method::POST, ["v1", "models", "load"]) => answer_load(&shared, request).await,
        (&Method::POST, ["v1", "models", "unload"]) => answer_unload(&shared, request).await,
        (&Method::POST, ["v1", "role"]) => answer_role(&shared, request).await,
        (&Method::GET, ["v1", "sessions"]) => answer_list(&shared),
        (&Method::GET, ["v1", "load"]) => {
            let report = shared.lock().reports.read();
            json_answer(StatusCode::OK, &report)
        }
        (&Method::GET, ["v1", "cache", "events"]) => answer_events(&shared, request.uri().query()),
        _ => unknown_route(),
    }
}

async fn answer_session_order(
    shared: &SharedState,
    session: &str,
    order: &str,
    request: Request<Incoming>,
) -> Response<BoxBody> {
    match order {
        "release" => answer_release(shared, session, request.headers()),
        "export" => answer_export(shared, session, request.headers()).await,
        "import" => answer_import(shared, session, request).await,
        _ => unknown_route(),
    }
}

fn unknown_route() -> Response<BoxBody> {
    error_answer(StatusCode::NOT_FOUND, "unknown_route", "no such route")
}

/// Answers an order or call with an old fencing number.
pub(crate) fn answer_stale_fence(refusal: StaleFence) -> Response<BoxBody> {
    let message = format!("a fencing number of {} was seen", refusal.current);
    error_answer(StatusCode::CONFLICT, "stale_fencing_number", &message)
}

fn answer_events(shared: &SharedState, query: Option<&str>) -> Response<BoxBody> {
    let after = query
        .and_then(|query| query.strip_prefix("after="))
        .and_then(|number| number.parse().ok())
        .unwrap_or(0);
    let page = shared.lock().events.read_after(after);
    json_answer(StatusCode::OK, &page)
}

/// Returns a header's text.
pub(crate) fn read_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header's number.
pub(crate) fn read_number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    read_header(headers, name)?.parse().ok()
}

/// Returns the fencing number, or zero.
pub(crate) fn read_fencing_number(headers: &HeaderMap) -> u64 {
    read_number(headers, "fencing-number").unwrap_or(0)
}
