//! Listeners and the handling of requests.

use std::cell::Cell;
use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::future::zip;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use ibisdale_clients::{ConnectionLimiter, close_after};
use ibisdale_telemetry::record_event;
use smol::{Async, Timer};

use super::admit::{
    GatewayError, HOME_UNREACHABLE_RETRY_MS, RateAdmission, admit_head, check_rate_limit,
    discard_body, read_body,
};
use super::attempt::RetryState;
use super::body::ResponseBody;
use super::budget::{ReserveOutcome, reserve};
use super::caller_request::{CallerRequest, header_str, millis};
use super::client_connections::{accept, report_closed};
use super::directory::{directory_response, readiness_response};
use super::evacuation::update_evacuation_gauges;
use super::forward::forward;
use super::in_flight::CallerRequestGuard;
use super::limits::expire_limits;
use super::origins::{expire_origins, find_origin};
use super::speeds::set_speed_metrics;
use super::state::{Gateway, lossy_string};
use super::suspects::refuse_condemned;
use super::turns::assemble_body;
use super::{peers, state_transfer};
use crate::decide::ProgramStage;
use crate::plan::ExecutionSemantics;

/// Interval at which expired connections, budgets of programs and origins of streams are
/// removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Address for callers' requests.
    pub entry: SocketAddrV4,
    /// Address for readiness checks.
    pub ready: Option<SocketAddrV4>,
    /// Address at which callers look up the VMs that accept requests.
    pub directory: Option<SocketAddrV4>,
    /// Address for metrics.
    pub metrics: Option<SocketAddrV4>,
}

pub(crate) type ResponseFuture = Pin<Box<dyn Future<Output = Response<ResponseBody>>>>;
pub(crate) type RequestHandler = fn(Gateway, Request<Incoming>) -> ResponseFuture;

impl Gateway {
    /// Opens the listeners and starts serving requests.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub fn listen(&self, addresses: &ListenAddresses) -> std::io::Result<()> {
        let peer_address = self.state.options.facts.peer_address();
        let peer_listener = Async::<TcpListener>::bind(peer_address)?;
        let limits = self.state.options.client_limits;
        let peer_limiter = self.add_limiter(limits.peer_connections());
        self.spawn(state_transfer::serve(
            self.clone(),
            peer_limiter,
            peer_listener,
        ));
        self.spawn(peers::receive(self.clone()));
        self.spawn(peers::run_gossip(self.clone()));
        self.spawn(remove_expired(self.clone()));
        let entry = self.add_limiter(limits.connections()).evicting_transfers();
        self.open_listener(Some(addresses.entry), entry, handle_request)?;
        let check_limiter = || self.add_limiter(limits.check_connections());
        self.open_listener(addresses.ready, check_limiter(), |gateway, request| {
            Box::pin(async move { readiness_response(&gateway, &request.into_parts().0) })
        })?;
        self.open_listener(addresses.directory, check_limiter(), |gateway, request| {
            Box::pin(async move { directory_response(&gateway, &request.into_parts().0) })
        })?;
        self.open_listener(addresses.metrics, check_limiter(), |gateway, _| {
            Box::pin(async move { metrics_response(&gateway) })
        })?;
        record_event!(
            GatewayStarted,
            vm = lossy_string(&self.state.options.facts.name),
            incarnation = self.state.options.facts.incarnation,
            entry = addresses.entry,
            peers = peer_address,
        );
        Ok(())
    }

    fn open_listener(
        &self,
        address: Option<SocketAddrV4>,
        limiter: ConnectionLimiter,
        handler: RequestHandler,
    ) -> std::io::Result<()> {
        let Some(address) = address else {
            return Ok(());
        };
        let listener = Async::<TcpListener>::bind(SocketAddr::V4(address))?;
        self.spawn_client(accept(self.clone(), limiter, listener, handler));
        Ok(())
    }

    fn add_limiter(&self, connections_max: usize) -> ConnectionLimiter {
        let limiter = ConnectionLimiter::new(connections_max, &self.state.clients);
        let mut all = self.state.connections.borrow_mut();
        all.push(limiter.clone());
        limiter
    }
}

/// Periodically removes expired connections, budgets of programs and origins of streams.
async fn remove_expired(gateway: Gateway) {
    loop {
        Timer::after(EXPIRY_INTERVAL).await;
        gateway.state.pool.close_expired();
        let now_ms = gateway.now_ms();
        gateway.state.spans.borrow_mut().expire(now_ms);
        let program_retention_ms = gateway.program_retention_ms();
        gateway
            .state
            .budgets
            .borrow_mut()
            .expire(program_retention_ms, now_ms);
        expire_origins(&gateway);
        expire_limits(&gateway);
        gateway.state.suspects.borrow_mut().expire(now_ms);
        let all = gateway.state.connections.borrow();
        all.iter()
            .for_each(|limiter| report_closed(&gateway, limiter));
    }
}

fn metrics_response(gateway: &Gateway) -> Response<ResponseBody> {
    let version = gateway.plan().map_or(0, |plan| plan.get_version());
    let in_flight = gateway.state.in_flight.get();
    record_member_ages(gateway);
    update_evacuation_gauges(gateway);
    let limited = gateway.state.limits.borrow().limited_count();
    gateway.state.metrics.set_limited_replicas(limited);
    let cold = gateway.state.cold.borrow().count(gateway.now_ms());
    gateway.state.metrics.set_cold_replicas(cold);
    let (suspects, condemned) = gateway.state.suspects.borrow().count();
    gateway.state.metrics.set_suspects(suspects, condemned);
    let clients = &gateway.state.clients;
    let metrics = &gateway.state.metrics;
    metrics.set_client_memory(&clients.usage(), clients.evicted_responses());
    let connections = gateway.state.connections.borrow();
    let count = connections.iter().map(ConnectionLimiter::count);
    gateway.state.metrics.set_connections(count.sum());
    set_speed_metrics(gateway);
    let outdated = gateway.plan_outdated_for();
    let body = metrics.render(in_flight, gateway.feed_age(), version, outdated);
    Response::new(ResponseBody::whole(body))
}

fn record_member_ages(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let members = gateway.state.members.borrow();
    let oldest = Duration::from_millis(members.oldest_heartbeat_age_ms(now_ms));
    let silent = u32::try_from(members.count(now_ms).1).unwrap_or(u32::MAX);
    gateway.state.metrics.set_member_ages(oldest, silent);
}

fn handle_request(gateway: Gateway, request: Request<Incoming>) -> ResponseFuture {
    Box::pin(async move {
        let started = Instant::now();
        let (parts, mut body) = request.into_parts();
        let record = RequestRecord::begin(&gateway, started);
        let mut request = match admit_head(&gateway, &parts, started) {
            Ok(request) => request,
            Err(refusal) => {
                let is_read = discard_body(&mut body).await;
                let id = header_str(&parts.headers, &gateway.state.options.header_names.attempt);
                let response = record.refuse(id, None, refusal);
                return if is_read {
                    response
                } else {
                    close_after(response)
                };
            }
        };
        match read_body(&gateway, &parts, &mut body).await {
            Ok((body, held)) => {
                request.set_input(body, held);
                serve_request(&gateway, request, record).await
            }
            Err(refusal) => {
                let id = request.attempt_id.clone();
                close_after(record.refuse(&id, Some(&request), refusal))
            }
        }
    })
}

async fn serve_request(
    gateway: &Gateway,
    mut request: CallerRequest,
    record: RequestRecord,
) -> Response<ResponseBody> {
    if let Some(refusal) = refuse_condemned(gateway, &request) {
        return record.refuse(&request.attempt_id, Some(&request), refusal);
    }
    let mut reservation = None;
    // Requests without a budget keep this stage too.
    let mut stage = ProgramStage::UnderWay;
    let reserved = async {
        match request.budget {
            Some(budget_request) => Some((budget_request, {
                let time_left = request.time_left();
                reserve(gateway, budget_request, time_left).await
            })),
            None => None,
        }
    };
    let prepared = zip(
        assemble_body(gateway, &request),
        find_origin(gateway, &request),
    );
    let (reserved, (body, origin)) = zip(reserved, prepared).await;
    if let Some((budget_request, (outcome, granted))) = reserved {
        match outcome {
            ReserveOutcome::Granted { is_first } => {
                reservation = granted;
                if is_first {
                    stage = ProgramStage::Begins;
                }
            }
            ReserveOutcome::Spent { total } => {
                record_event!(
                    BudgetSpent,
                    request = request.attempt_id,
                    program = request.program_id,
                    budget = budget_request.budget,
                    tokens = budget_request.tokens,
                    total = total,
                );
                // No `Retry-After`, since a retry would be refused as well.
                let refusal =
                    GatewayError::new(StatusCode::PAYMENT_REQUIRED, "the budget is spent");
                return record.refuse(&request.attempt_id, Some(&request), refusal);
            }
            ReserveOutcome::Unknown => {
                let refusal = GatewayError {
                    retry_after_ms: Some(HOME_UNREACHABLE_RETRY_MS),
                    ..GatewayError::unavailable("the budget can't be counted")
                };
                return record.refuse(&request.attempt_id, Some(&request), refusal);
            }
        }
    }
    match body {
        Ok((body, held)) => request.set_assembled(body, held),
        Err(refusal) => return record.refuse(&request.attempt_id, Some(&request), refusal),
    }
    let origin = match origin {
        Ok(origin) => origin,
        Err(refusal) => return record.refuse(&request.attempt_id, Some(&request), refusal),
    };
    match check_rate_limit(gateway, &request, stage).await {
        Ok(admission) => record.set_admission(admission),
        Err(refusal) => return record.refuse(&request.attempt_id, Some(&request), refusal),
    }
    let request = Rc::new(request);
    let mut retry = RetryState::new(&request.route, origin);
    let record = Rc::new(record);
    record.set_request(&request);
    let stream_record = Rc::clone(&record);
    let on_end = move |reason: &'static str, retry: &RetryState| {
        stream_record.set_attempts(retry);
        stream_record.end(200, reason);
    };
    let end = forward(gateway, &request, &mut retry, reservation, on_end).await;
    record.set_attempts(&retry);
    record.record_response_start(&request);
    if !end.is_streaming {
        record.end(end.response.status().as_u16(), end.reason);
    }
    end.response
}

/// Writes the log event and updates the metrics of a request when it ends.
///
/// Does neither if the caller disconnects before `set_request` is called.
struct RequestRecord {
    gateway: Gateway,
    started: Instant,
    guard: CallerRequestGuard,
    request: std::cell::RefCell<Option<Rc<CallerRequest>>>,
    /// Replica of the last attempt, the number of attempts and who allowed the last one.
    attempts: std::cell::RefCell<(String, u32, &'static str)>,
    admission: std::cell::RefCell<RateAdmission>,
    first_ms: Cell<u64>,
    is_ended: Cell<bool>,
}

impl RequestRecord {
    fn begin(gateway: &Gateway, started: Instant) -> Self {
        Self {
            gateway: gateway.clone(),
            started,
            guard: CallerRequestGuard::begin(gateway),
            request: std::cell::RefCell::default(),
            attempts: std::cell::RefCell::default(),
            admission: std::cell::RefCell::default(),
            first_ms: Cell::new(0),
            is_ended: Cell::new(false),
        }
    }

    fn set_request(&self, request: &Rc<CallerRequest>) {
        *self.request.borrow_mut() = Some(Rc::clone(request));
    }

    fn set_admission(&self, admission: RateAdmission) {
        *self.admission.borrow_mut() = admission;
    }

    fn set_attempts(&self, retry: &RetryState) {
        *self.attempts.borrow_mut() = (retry.replica_id.clone(), retry.sends, retry.granted_by);
    }

    /// Records the time until the response is ready to be sent to the caller.
    fn record_response_start(&self, request: &CallerRequest) {
        self.first_ms.set(request.elapsed_ms());
        let kind = kind_name(request.route.kind);
        let elapsed = self.started.elapsed();
        self.gateway.state.metrics.observe_first_data(kind, elapsed);
    }

    fn refuse(
        self,
        id: &str,
        request: Option<&CallerRequest>,
        refusal: GatewayError,
    ) -> Response<ResponseBody> {
        self.is_ended.set(true);
        self.log_and_count(id, request, refusal.status.as_u16(), refusal.reason);
        refusal.into_response()
    }

    fn end(&self, status: u16, reason: &'static str) {
        if self.is_ended.replace(true) {
            return;
        }
        let request = self.request.borrow().clone();
        if let Some(request) = request {
            self.log_and_count(&request.attempt_id, Some(&request), status, reason);
        }
    }

    fn log_and_count(
        &self,
        id: &str,
        request: Option<&CallerRequest>,
        status: u16,
        reason: &'static str,
    ) {
        let kind = request.map_or("unknown", |request| kind_name(request.route.kind));
        let elapsed = self.started.elapsed();
        let metrics = &self.gateway.state.metrics;
        metrics.count_request(status, reason, kind, elapsed);
        let (replica, sends, granted_by) = self.attempts.borrow().clone();
        let admission = self.admission.borrow();
        let plan_age_ms = self
            .gateway
            .plan_age()
            .map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        record_event!(
            RequestEnded,
            request = id,
            program = request.map_or("", |request| request.program_id.as_str()),
            route = request.map_or_else(String::new, |request| lossy_string(&request.route.name)),
            workspace = request
                .and_then(|request| request.workspace.as_ref())
                .map_or_else(String::new, |name| lossy_string(name)),
            status = status,
            reason = reason,
            replica = replica,
            sends = sends,
            granted_by = granted_by,
            plan = request.map_or(0, |request| request.plan.get_version()),
            plan_age_ms = plan_age_ms,
            admitted_by = admission.source,
            home = admission.home,
            first_ms = self.first_ms.get(),
            elapsed_ms = millis(elapsed),
        );
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        // hyper drops the response body when the caller disconnects.
        self.end(499, "the caller left");
        let _ = &self.guard;
    }
}

fn kind_name(kind: ExecutionSemantics) -> &'static str {
    match kind {
        ExecutionSemantics::Repeatable => "repeatable",
        ExecutionSemantics::Once => "once",
        ExecutionSemantics::StreamOnce => "stream_once",
        ExecutionSemantics::StreamResumable => "stream_resumable",
    }
}
