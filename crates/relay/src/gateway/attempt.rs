//! A single attempt: sends a request to a replica and reads the response head.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderValue};
use ibisdale_telemetry::record_event;
use rand::Rng;
use smol::Timer;

use super::caller_request::{CallerRequest, header_str, millis};
use super::cold::{is_cold, record_cold_response};
use super::failed_attempt::FailedAttempt;
use super::in_flight::ReplicaRequestGuard;
use super::limits::{ObservedResponse, is_limited, record_limit};
use super::runs::RunPermit;
use super::speeds::record_momentary_factor;
use super::state::{Gateway, lossy_string};
use super::suspects::standing;
use crate::decide::{
    AttemptFailure, AttemptOutcome, COLD_GRANT_MAX_AGE_MS, ReplicaInfo, ReplicaKey, ReplicaLoad,
    RetryInput, StreamOrigin,
};
use crate::http1::{ExchangeError, Http1Connection, ResponseHead, serialize_parts};
use crate::plan::{ExecutionSemantics, RouteRule};

/// Maximum time for opening a connection to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a response body that is read only so that its connection can be used
/// again, in bytes.
const DISCARD_MAX_BYTES: usize = 1_024 * 1_024;
/// Share of the remaining time after which an attempt times out if the request can
/// still be sent to another replica, in percent.
const RETRYABLE_TIMEOUT_PERCENT: u32 = 60;
/// Maximum time between a grant and the request that uses it, in milliseconds; more than it
/// takes to open a connection.
const GRANT_MAX_AGE_MS: u64 = 500;
/// Maximum number of responses to other requests that are skipped on a connection.
const STALE_RESPONSES_MAX: u32 = 2;

/// A response whose head has been read and whose body has not.
pub(crate) struct ReplicaResponse {
    pub(crate) connection: Http1Connection,
    pub(crate) head: ResponseHead,
    pub(crate) guard: ReplicaRequestGuard,
}

/// State of a request's attempts and retries.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryState {
    /// Attempts so far, including those that did not reach a replica.
    pub(crate) sends: u32,
    /// Attempts that did not reach a replica.
    pub(crate) unreached: u32,
    /// Replicas that may have run the request and have not ended, which count towards the
    /// route's limit.
    pub(crate) ran_at: Vec<ReplicaKey>,
    /// Whether any replica may have run the request.
    pub(crate) may_have_run: bool,
    /// Replicas that are not tried again.
    pub(crate) excluded: Vec<ReplicaKey>,
    /// Replica of the last attempt.
    pub(crate) replica: Option<ReplicaKey>,
    pub(crate) replica_id: String,
    /// Its address, which is still needed once it is no longer listed.
    pub(crate) replica_address: Option<SocketAddr>,
    /// Software version of that replica.
    pub(crate) replica_version: Bytes,
    /// Service chosen for the request; the same for all attempts.
    pub(crate) service: Bytes,
    /// Software version that began the stream, once it has begun; only replicas of this
    /// version may continue it.
    pub(crate) required_version: Option<Bytes>,
    /// Grant for the next attempt, if its replica names a limit.
    pub(crate) grant: Option<ReplicaGrant>,
    /// Permit for the next or the current attempt, if the request is suspected.
    pub(crate) permit: Option<Rc<RunPermit>>,
    /// When the request was last sent, in milliseconds.
    pub(crate) sent_ms: u64,
    /// Home that granted the last attempt at a limited replica; empty if the replica is not
    /// known to be limited.
    pub(crate) granted_by: &'static str,
}

/// Permission to send one request to a limited replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaGrant {
    pub(crate) replica: ReplicaKey,
    /// Home that granted it.
    pub(crate) by: &'static str,
    pub(crate) granted_ms: u64,
    /// When the home was asked; it has granted the request later.
    pub(crate) asked_ms: u64,
}

impl ReplicaGrant {
    fn is_valid(&self, replica: ReplicaKey, is_cold: bool, now_ms: u64) -> bool {
        let is_recent = now_ms.saturating_sub(self.granted_ms) <= GRANT_MAX_AGE_MS;
        // The bound of a cold replica is for one second, so requests must not bunch up.
        let is_recent_for_cold = now_ms.saturating_sub(self.asked_ms) <= COLD_GRANT_MAX_AGE_MS;
        self.replica == replica && is_recent && (!is_cold || is_recent_for_cold)
    }
}

impl RetryState {
    /// Creates the state of a request before its first attempt.
    ///
    /// A request that takes up a stream goes on where that stream began; any other one goes to a
    /// service that is chosen by the weights of its route.
    pub(crate) fn new(route: &RouteRule, origin: Option<StreamOrigin>) -> Self {
        let (service, required_version) = if let Some(origin) = origin {
            (origin.service, Some(origin.software_version))
        } else {
            let service = route.choose_service(rand::rng().random());
            (service.cloned().unwrap_or_default(), None)
        };
        Self {
            service,
            required_version,
            ..Self::default()
        }
    }

    /// Records that a replica may have run the request and may still be at it.
    pub(crate) fn record_run(&mut self, replica: ReplicaKey) {
        self.may_have_run = true;
        if !self.ran_at.contains(&replica) {
            self.ran_at.push(replica);
        }
    }

    /// Records that a replica that may have run the request has ended.
    pub(crate) fn record_end(&mut self, replica: ReplicaKey) {
        self.may_have_run = true;
        self.ran_at.retain(|ran| *ran != replica);
    }

    /// Returns the number of replicas that count towards the route's limit.
    pub(crate) fn replicas_used(&self) -> u32 {
        u32::try_from(self.ran_at.len()).unwrap_or(u32::MAX)
    }

    /// Returns the input to the decision on a retry; `crashes` is the number of replicas that have
    /// ended under the request.
    pub(crate) fn retry_input(&self, request: &CallerRequest, crashes: u8) -> RetryInput {
        RetryInput {
            kind: request.route.kind,
            max_replicas: request.route.attempts,
            replicas_used: self.replicas_used(),
            may_have_run: self.may_have_run,
            sends: self.sends.saturating_sub(self.unreached),
            remaining_ms: millis(request.time_left()),
            crashes,
        }
    }
}

/// Sends a request to a replica and reads the response head.
pub(crate) async fn try_replica(
    gateway: &Gateway,
    request: &CallerRequest,
    retry: &mut RetryState,
    replica: ReplicaKey,
    last_event: Option<u64>,
) -> Result<ReplicaResponse, FailedAttempt> {
    let info = gateway.state.replicas.borrow().get_info(replica).cloned();
    let Some(info) = info else {
        return Err(FailedAttempt::new(
            AttemptFailure::NotReached,
            "the replica is no longer listed",
        ));
    };
    retry.sends += 1;
    retry.replica = Some(replica);
    retry.replica_id = lossy_string(&info.id);
    retry.replica_address = Some(info.address);
    retry.replica_version = info.software_version.clone();
    let guard = ReplicaRequestGuard::begin(gateway, replica, request.declared_tokens.prompt);
    let pooled = gateway.state.pool.take(replica);
    let result = if let Some(connection) = pooled {
        Ok(connection)
    } else {
        gateway.state.metrics.count_connection();
        let timeout = CONNECT_TIMEOUT.min(request.time_left());
        Http1Connection::open(info.address, timeout).await
    };
    let mut connection = match result {
        Ok(connection) => connection,
        Err(error) => {
            guard.finish(AttemptOutcome::Failed);
            return Err(FailedAttempt::not_connected(&error));
        }
    };
    // The replica may have been delisted or begun to leave while the connection was opened.
    if !is_available(gateway, retry, replica) {
        guard.finish(AttemptOutcome::Unknown);
        return Err(FailedAttempt::new(AttemptFailure::NotReached, "leaving"));
    }
    let checked = use_grant(gateway, retry, replica);
    let checked = checked.and_then(|()| check_permit(gateway, request, retry, &info));
    if let Err(failed) = checked {
        guard.finish(AttemptOutcome::Unknown);
        return Err(failed);
    }
    let left = request.time_left();
    if left.is_zero() {
        guard.finish(AttemptOutcome::Unknown);
        return Err(FailedAttempt::new(
            AttemptFailure::NotReached,
            "the deadline passed before the request was sent",
        ));
    }
    let headers = request_headers(gateway, request, &info.id, left, last_event);
    let sent_ms = gateway.now_ms();
    retry.sent_ms = sent_ms;
    let parts = serialize_parts(&request.method, &request.target, &headers, &request.body);
    let timeout = response_timeout(request, retry, left);
    let exchange = async {
        for part in &parts {
            connection.send(part).await?;
        }
        read_matching_head(gateway, request, &mut connection, |head, is_matching| {
            record_leaving(gateway, request, (replica, &info), &head.headers);
            let observed = ObservedResponse {
                replica: &info,
                status: head.status,
                headers: &head.headers,
                sent_ms: is_matching.then_some(sent_ms),
            };
            record_limit(gateway, request, &observed);
            record_cold_response(gateway, &request.attempt_id, &observed);
        })
        .await
    };
    let timed_out = async {
        Timer::after(timeout).await;
        Err(ExchangeError::Timeout { timeout })
    };
    let head = match exchange.or(timed_out).await {
        Ok(head) => head,
        Err(error) => {
            // A wait that the caller's deadline ended does not count as a failure of the replica.
            let outcome = if matches!(error, ExchangeError::Timeout { .. }) && left <= timeout {
                AttemptOutcome::Unknown
            } else {
                AttemptOutcome::Failed
            };
            guard.finish(outcome);
            return Err(FailedAttempt::exchange(&error));
        }
    };
    record_load(gateway, (replica, &info), &head);
    let header_names = &gateway.state.options.header_names;
    if head.headers.contains_key(&header_names.not_run) || head.status == 421 {
        guard.finish(refusal_outcome(head.status));
        let error = format!("refused with status {}", head.status);
        return_to_pool(gateway, replica, connection, head).await;
        return Err(FailedAttempt::new(AttemptFailure::NotRun, error));
    }
    Ok(ReplicaResponse {
        connection,
        head,
        guard,
    })
}

/// Uses the grant for the attempt, if its replica names a limit.
fn use_grant(
    gateway: &Gateway,
    retry: &mut RetryState,
    replica: ReplicaKey,
) -> Result<(), FailedAttempt> {
    let start = gateway
        .state
        .replicas
        .borrow()
        .get_info(replica)
        .map(ReplicaInfo::start_key);
    let is_cold = start.is_some_and(|start| is_cold(gateway, start));
    let grant = retry.grant.take();
    let grant = grant.filter(|grant| grant.is_valid(replica, is_cold, gateway.now_ms()));
    if grant.is_none() && is_limited(gateway, replica) {
        // It was not known to be limited when it was selected, or the grant has expired.
        return Err(FailedAttempt::new(
            AttemptFailure::NotReached,
            "no grant within the replica's limit",
        ));
    }
    retry.granted_by = grant.map_or("", |grant| grant.by);
    Ok(())
}

/// Checks that the request has a permit to run at the replica, if it needs one.
fn check_permit(
    gateway: &Gateway,
    request: &CallerRequest,
    retry: &RetryState,
    replica: &ReplicaInfo,
) -> Result<(), FailedAttempt> {
    let needs_permit = standing(gateway, request).permit.is_some();
    let permit = retry.permit.as_ref();
    if needs_permit && !permit.is_some_and(|permit| permit.allows(replica.start_key())) {
        return Err(FailedAttempt::new(
            AttemptFailure::NotReached,
            "the request is suspected and has no permit to run",
        ));
    }
    Ok(())
}

/// Returns whether a replica is listed and may get the request; its entry may have changed to
/// a service that is not on the request's route.
pub(crate) fn is_available(gateway: &Gateway, retry: &RetryState, replica: ReplicaKey) -> bool {
    let replicas = gateway.state.replicas.borrow();
    let info = replicas.get_info(replica);
    let is_on_route = info.is_some_and(|info| info.service == retry.service);
    is_on_route && replicas.accepts(replica, retry.required_version.as_deref())
}

/// Reads the head of the response to this request.
///
/// Skips responses that carry the attempt identifier of another request; `observe` gets the
/// heads of these too, since they come from the same replica, and whether the head is that of
/// the response to this request.
async fn read_matching_head(
    gateway: &Gateway,
    request: &CallerRequest,
    connection: &mut Http1Connection,
    observe: impl Fn(&ResponseHead, bool),
) -> Result<ResponseHead, ExchangeError> {
    let header_names = &gateway.state.options.header_names;
    for _ in 0..=STALE_RESPONSES_MAX {
        let mut head = connection.read_head().await?;
        let attempt_id = header_str(&head.headers, &header_names.attempt);
        let is_matching = attempt_id == request.attempt_id;
        observe(&head, is_matching);
        if is_matching {
            return Ok(head);
        }
        if attempt_id.is_empty() {
            // Without the identifier, a response can't be matched to the request; this
            // applies to refusals too.
            return Err(ExchangeError::InvalidResponse {
                reason: "no identifier of the attempt",
            });
        }
        connection
            .discard_body(&mut head.decoder, DISCARD_MAX_BYTES)
            .await?;
    }
    Err(ExchangeError::InvalidResponse {
        reason: "answers of other requests",
    })
}

/// Returns how long to wait for the response head.
fn response_timeout(request: &CallerRequest, retry: &RetryState, left: Duration) -> Duration {
    let may_retry = request.route.kind == ExecutionSemantics::Repeatable
        && retry.replicas_used() + 1 < request.route.attempts;
    if may_retry {
        left * RETRYABLE_TIMEOUT_PERCENT / 100
    } else {
        left
    }
}

fn request_headers(
    gateway: &Gateway,
    request: &CallerRequest,
    replica_id: &[u8],
    left: Duration,
    last_event: Option<u64>,
) -> HeaderMap {
    let header_names = &gateway.state.options.header_names;
    let mut headers = request.headers.clone();
    headers.insert(
        header_names.deadline_ms.clone(),
        HeaderValue::from(millis(left)),
    );
    if let Ok(value) = HeaderValue::from_bytes(replica_id) {
        headers.insert(header_names.target_replica.clone(), value);
    }
    if let Some(id) = last_event {
        headers.insert(header_names.last_event.clone(), HeaderValue::from(id));
    }
    headers
}

fn refusal_outcome(status: u16) -> AttemptOutcome {
    if status == 421 {
        AttemptOutcome::Misplaced
    } else {
        AttemptOutcome::Refused
    }
}

/// Records the replica as leaving if the headers of its response announce its shutdown.
fn record_leaving(
    gateway: &Gateway,
    request: &CallerRequest,
    (replica, info): (ReplicaKey, &ReplicaInfo),
    headers: &HeaderMap,
) {
    if header_str(headers, &gateway.state.options.header_names.replica_leaving) != "1" {
        return;
    }
    let is_new = gateway.state.replicas.borrow_mut().record_leaving(info);
    if is_new {
        gateway.state.pool.remove_replica(replica);
        record_event!(
            ReplicaLeaving,
            replica = lossy_string(&info.id),
            service = lossy_string(&info.service),
            draining = info.is_draining,
            request = request.attempt_id,
        );
    }
}

fn record_load(
    gateway: &Gateway,
    (replica, info): (ReplicaKey, &ReplicaInfo),
    head: &ResponseHead,
) {
    record_momentary_factor(gateway, info, head);
    let text = header_str(
        &head.headers,
        &gateway.state.options.header_names.replica_load,
    );
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    let mut next = || numbers.next().flatten();
    if let (Some(running), Some(waiting), Some(slots)) = (next(), next(), next()) {
        let load = ReplicaLoad {
            running,
            waiting,
            slots,
        };
        let mut replicas = gateway.state.replicas.borrow_mut();
        replicas.record_load(replica, load, gateway.now_ms());
    }
}

/// Reads the rest of a response and returns its connection to the pool.
async fn return_to_pool(
    gateway: &Gateway,
    replica: ReplicaKey,
    mut connection: Http1Connection,
    mut head: ResponseHead,
) {
    let read = async {
        let discarded = connection
            .discard_body(&mut head.decoder, DISCARD_MAX_BYTES)
            .await;
        discarded.is_ok()
    };
    let timed_out = async {
        Timer::after(CONNECT_TIMEOUT).await;
        false
    };
    if head.is_keep_alive && read.or(timed_out).await {
        gateway.state.pool.put(replica, connection, &head.headers);
    }
}

/// Checks that a successful response has the seal header, the replica's proof that it
/// created the response, and that no response has a content encoding.
pub(crate) fn check_response_head(
    gateway: &Gateway,
    head: &ResponseHead,
) -> Result<(), FailedAttempt> {
    let is_success = (200..300).contains(&head.status);
    let is_sealed = head
        .headers
        .contains_key(&gateway.state.options.header_names.response_seal);
    if is_success && !is_sealed {
        return Err(FailedAttempt::may_have_run(
            "the successful response has no seal",
        ));
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Err(FailedAttempt::may_have_run(
            "the response body has a content encoding",
        ));
    }
    Ok(())
}
