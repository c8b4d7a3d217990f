//! The order service's server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use ibisdale_net::{BoxBody, NetError, TrafficExecutor, body_channel, full_body, read_limited};
use serde::{Deserialize, Serialize};

use super::options::{ServiceCounters, ServiceFault, ServiceOptions};
use crate::host::{BODY_MAX_BYTES, ServerHost, aborted_answer, error_answer, json_answer};
use crate::keys::carries_foreign_key;

/// Time for the bytes before a cut to leave.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// A running order service.
#[derive(Debug)]
pub struct ServiceServer {
    host: ServerHost,
    shared: Arc<ServiceShared>,
}

#[derive(Debug)]
struct ServiceShared {
    options: ServiceOptions,
    fault: Mutex<ServiceFault>,
    counters: Mutex<ServiceCounters>,
}

#[derive(Deserialize)]
struct OrderBody {
    #[serde(default)]
    request_id: Option<String>,
}

#[derive(Serialize)]
struct OrderReply<'a> {
    request_id: &'a str,
    path: &'a str,
    executions: u64,
}

#[derive(Serialize)]
struct ServiceLoad {
    number: u64,
    running: u32,
    capacity: u32,
    is_leaving: bool,
}

impl ServiceServer {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be had.
    pub fn start(
        address: SocketAddr,
        executor: &TrafficExecutor,
        options: ServiceOptions,
    ) -> Result<Self, NetError> {
        let shared = Arc::new(ServiceShared {
            fault: Mutex::new(options.get_fault()),
            options,
            counters: Mutex::default(),
        });
        let served = Arc::clone(&shared);
        let host = ServerHost::start(address, executor, move |request, _| {
            answer_request(Arc::clone(&served), request)
        })?;
        Ok(Self { host, shared })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub fn get_address(&self) -> SocketAddr {
        self.host.get_address()
    }

    /// Returns what the service has seen so far.
    #[must_use]
    pub fn get_counters(&self) -> ServiceCounters {
        self.shared.counters().clone()
    }

    /// Sets the fault that requests meet from now on.
    pub fn set_fault(&self, fault: ServiceFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Closes the listener and cuts every connection.
    pub async fn close(self) {
        self.host.close().await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ServiceShared {
    fn counters(&self) -> MutexGuard<'_, ServiceCounters> {
        lock(&self.counters)
    }

    fn execute(&self, request: &str) -> u64 {
        let mut counters = self.counters();
        let executions = counters.executions.entry(request.to_owned()).or_default();
        *executions += 1;
        *executions
    }

    fn report_load(&self) -> ServiceLoad {
        let counters = self.counters();
        ServiceLoad {
            number: counters.requests,
            running: counters.running,
            capacity: self.options.get_capacity(),
            is_leaving: false,
        }
    }
}

/// Counts a request as under way until it is dropped.
struct RunningCount(Arc<ServiceShared>);

impl RunningCount {
    fn new(shared: Arc<ServiceShared>) -> Self {
        shared.counters().running += 1;
        Self(shared)
    }
}

impl Drop for RunningCount {
    fn drop(&mut self) {
        self.0.counters().running -= 1;
    }
}

async fn answer_request(
    shared: Arc<ServiceShared>,
    request: Request<Incoming>,
) -> Response<BoxBody> {
    let (head, body) = request.into_parts();
    if carries_foreign_key(&head.headers, shared.options.get_credential()) {
        shared.counters().foreign_keys += 1;
        return error_answer(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "unknown credential",
        );
    }
    if head.uri.path() == "/v1/load" {
        return json_answer(StatusCode::OK, &shared.report_load());
    }
    let Ok(body) = read_limited(body, BODY_MAX_BYTES).await else {
        return error_answer(
            StatusCode::BAD_REQUEST,
            "bad_request",
            "the body is truncated",
        );
    };
    shared.counters().requests += 1;
    let count = RunningCount::new(Arc::clone(&shared));
    let answer = run_order(&shared, &head.method, head.uri.path(), &head.headers, &body).await;
    drop(count);
    answer
}

async fn run_order(
    shared: &ServiceShared,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: &Bytes,
) -> Response<BoxBody> {
    let fault = *lock(&shared.fault);
    match fault {
        ServiceFault::CloseBeforeAnswer => return aborted_answer(),
        ServiceFault::Hang => return std::future::pending().await,
        ServiceFault::Refuse => return refused_answer(),
        _ => {}
    }
    let Some(request) = read_request_name(method, headers, body) else {
        let message = "the request has neither an Idempotency-Key nor a request_id";
        return error_answer(StatusCode::BAD_REQUEST, "bad_request", message);
    };
    let executions = shared.execute(&request);
    let reply = OrderReply {
        request_id: &request,
        path,
        executions,
    };
    match fault {
        ServiceFault::LoseAnswer => aborted_answer(),
        ServiceFault::Garbage => Response::new(full_body("<<< not JSON")),
        ServiceFault::CloseInBody => cut_answer(),
        ServiceFault::AnswerLate(delay) => {
            smol::Timer::after(delay).await;
            json_answer(StatusCode::OK, &reply)
        }
        _ => json_answer(StatusCode::OK, &reply),
    }
}

fn read_request_name(method: &Method, headers: &HeaderMap, body: &Bytes) -> Option<String> {
    if let Some(key) = headers.get("idempotency-key") {
        return key.to_str().ok().map(str::to_owned);
    }
    if *method == Method::GET {
        return Some("read".to_owned());
    }
    let body: OrderBody = serde_json::from_slice(body).ok()?;
    body.request_id
}

fn refused_answer() -> Response<BoxBody> {
    let mut response = error_answer(StatusCode::SERVICE_UNAVAILABLE, "busy", "nothing ran");
    let headers = response.headers_mut();
    headers.insert("run-state", HeaderValue::from_static("not_run"));
    headers.insert("retry-after", HeaderValue::from_static("1"));
    response
}

/// Creates an answer that announces more bytes than it sends.
fn cut_answer() -> Response<BoxBody> {
    let (sender, body) = body_channel();
    smol::spawn(async move {
        let _ = sender.send(Bytes::from_static(b"{\"request_id\":")).await;
        smol::Timer::after(FLUSH_DELAY).await;
    })
    .detach();
    Response::new(body)
}
