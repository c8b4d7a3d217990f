//! Callers' requests, built from their heads for forwarding.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, COOKIE, EXPECT, HOST, HeaderName, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::{HeaderMap, Method};
use ibisdale_clients::HeldBody;

use super::boot_time::BootTime;
use super::header_names::HeaderNames;
use crate::decide::{ProgramKey, RequestIdentity, hash_bytes};
use crate::plan::{DeploymentPlan, RouteRule};

/// Headers that are not forwarded: hop-by-hop headers, `Content-Length` and `Expect`.
const NOT_FORWARDED_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    TE,
    TRAILER,
    UPGRADE,
    EXPECT,
];

/// Work of generating a token, in prompt tokens; the platform's weight of a call's size.
const COMPLETION_TOKEN_WORK: u64 = 10;

/// Prompt tokens and maximum completion tokens that a caller declares for a model call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DeclaredTokens {
    pub(crate) prompt: u64,
    pub(crate) completion_max: u64,
    /// Tokens of the part of the prompt that belongs to the call itself; 0 if unknown.
    pub(crate) own_prompt: u64,
}

impl DeclaredTokens {
    /// Returns the work of the call at an engine that knows the rest of its prompt, in prompt
    /// tokens.
    pub(crate) fn work(self) -> u64 {
        let completion = self.completion_max.saturating_mul(COMPLETION_TOKEN_WORK);
        self.own_prompt.saturating_add(completion)
    }
}

/// Tokens that a call reserves from its program's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BudgetRequest {
    pub(crate) program: ProgramKey,
    /// Total budget of the program, in tokens.
    pub(crate) budget: u64,
    /// Tokens to reserve: the maximum that the call may generate.
    pub(crate) tokens: u64,
}

/// A caller's request, as it is forwarded.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// Identifier of the caller's attempt, which is the same for all attempts of the
    /// gateway and is repeated in the response.
    pub(crate) attempt_id: String,
    pub(crate) program_id: String,
    pub(crate) route: RouteRule,
    /// Version of the configuration that the request was admitted under.
    pub(crate) plan: Rc<DeploymentPlan>,
    pub(crate) workspace: Option<Bytes>,
    pub(crate) method: Method,
    pub(crate) target: String,
    /// Headers to send to a replica.
    pub(crate) headers: HeaderMap,
    /// Body as the caller sent it.
    pub(crate) input: Bytes,
    /// Memory of the input in the account of the process.
    held_input: Option<HeldBody>,
    /// Memory of the body where it is longer than the input.
    held_body: Option<HeldBody>,
    /// Body to send to a replica; longer than the input if the turn continues another.
    pub(crate) body: Bytes,
    /// Identifier of the turn that this one continues.
    pub(crate) previous_turn: Option<Bytes>,
    pub(crate) started: Instant,
    pub(crate) deadline: BootTime,
    /// Deadline that the caller requested.
    requested_deadline: Option<BootTime>,
    /// Hash by which related requests are sent to the same replica.
    pub(crate) affinity: Option<u64>,
    pub(crate) declared_tokens: DeclaredTokens,
    pub(crate) budget: Option<BudgetRequest>,
    /// Number of the last event that the caller received before it resumed a stream.
    pub(crate) last_event: Option<u64>,
    /// Client attempt that brought the first event of the resumed stream; empty if unknown.
    pub(crate) resumed_attempt: String,
    identity: OnceCell<RequestIdentity>,
}

impl CallerRequest {
    /// Returns the hashes by which the request is known when it comes again.
    pub(crate) fn identity(&self) -> &RequestIdentity {
        self.identity.get_or_init(|| {
            let caller = self.workspace.as_deref();
            RequestIdentity::new(self.target.as_bytes(), caller, &self.input)
        })
    }

    /// Sets the complete body, with which the timeout of the route begins: a client may send it
    /// slowly.
    pub(crate) fn set_input(&mut self, input: Bytes, held: HeldBody) {
        self.body = input.clone();
        self.input = input;
        self.held_input = Some(held);
        self.deadline = earlier_deadline(&self.route, BootTime::now(), self.requested_deadline);
    }

    /// Sets the body to send to a replica, put together from other turns and the input.
    pub(crate) fn set_assembled(&mut self, body: Bytes, held: Option<HeldBody>) {
        self.body = body;
        self.held_body = held;
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.time_left()
    }

    pub(crate) fn elapsed_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the value of a header, or an empty string if it is absent or not text.
pub(crate) fn header_str<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_str(headers, name).trim().parse().ok()
}

pub(crate) fn bearer_key(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(7)?;
    scheme
        .eq_ignore_ascii_case(b"bearer ")
        .then(|| key.trim_ascii())
}

/// Builds a request from its head once its route and workspace are known; the body is
/// left empty.
pub(crate) fn build_request(
    parts: &Parts,
    header_names: &HeaderNames,
    route: &RouteRule,
    plan: &Rc<DeploymentPlan>,
    workspace: Option<&Bytes>,
    started: Instant,
) -> CallerRequest {
    let headers = &parts.headers;
    let arrived = BootTime::now().before(started.elapsed());
    let requested_timeout = header_number(headers, &header_names.deadline_ms);
    let requested_deadline =
        requested_timeout.map(|timeout| arrived.after(Duration::from_millis(timeout)));
    let declared_tokens = declared_tokens(headers, header_names);
    let program_id = header_str(headers, &header_names.program).to_owned();
    let budget = header_number(headers, &header_names.token_budget);
    let budget = budget.filter(|_| !program_id.is_empty() && route.kind.is_stream());
    let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    CallerRequest {
        attempt_id: header_str(headers, &header_names.attempt).to_owned(),
        route: route.clone(),
        plan: Rc::clone(plan),
        workspace: workspace.cloned(),
        method: parts.method.clone(),
        target: target.to_owned(),
        headers: forwarded_headers(headers, header_names, workspace.map(Bytes::as_ref)),
        input: Bytes::new(),
        held_input: None,
        held_body: None,
        body: Bytes::new(),
        previous_turn: headers
            .get(&header_names.previous_turn)
            .map(|value| Bytes::copy_from_slice(value.as_bytes())),
        started,
        deadline: earlier_deadline(route, arrived, requested_deadline),
        requested_deadline,
        affinity: affinity_hash(headers, header_names, route, &program_id),
        declared_tokens,
        budget: budget.map(|budget| BudgetRequest {
            program: hash_bytes(program_id.as_bytes()),
            budget,
            tokens: declared_tokens.completion_max,
        }),
        last_event: header_number(headers, &header_names.last_event),
        resumed_attempt: header_str(headers, &header_names.resumed_attempt).to_owned(),
        identity: OnceCell::new(),
        program_id,
    }
}

/// Returns the earlier of the caller's deadline and the end of the route's timeout.
fn earlier_deadline(
    route: &RouteRule,
    began: BootTime,
    requested_deadline: Option<BootTime>,
) -> BootTime {
    let deadline = began.after(Duration::from_millis(route.timeout_ms));
    requested_deadline.map_or(deadline, |requested| requested.min(deadline))
}

fn declared_tokens(headers: &HeaderMap, header_names: &HeaderNames) -> DeclaredTokens {
    let mut numbers = header_str(headers, &header_names.token_usage).split(',');
    let mut next = || numbers.next().and_then(|text| text.trim().parse().ok());
    DeclaredTokens {
        prompt: next().unwrap_or_default(),
        completion_max: next().unwrap_or_default(),
        own_prompt: own_prompt_tokens(headers, header_names),
    }
}

/// Returns the tokens of the last part of the prompt, which belongs to the request itself; 0 if
/// the request names no parts.
fn own_prompt_tokens(headers: &HeaderMap, header_names: &HeaderNames) -> u64 {
    let parts = header_str(headers, &header_names.prompt_parts);
    let last = parts.rsplit(',').next().unwrap_or_default();
    let tokens = last.rsplit(':').next().unwrap_or_default();
    tokens.trim().parse().unwrap_or_default()
}

/// Returns the hash by which related requests are sent to the same replica.
///
/// For streams, it is the hash of the program, since calls of a program share most of
/// their prompt, or else of the first entry of the prompt parts header. Other requests
/// use the affinity cookie if their route is sticky.
fn affinity_hash(
    headers: &HeaderMap,
    header_names: &HeaderNames,
    route: &RouteRule,
    program: &str,
) -> Option<u64> {
    if route.kind.is_stream() {
        if !program.is_empty() {
            return Some(hash_bytes(program.as_bytes()));
        }
        let parts = header_str(headers, &header_names.prompt_parts);
        let part = parts.split(',').next()?;
        return (!part.is_empty()).then(|| hash_bytes(part.as_bytes()));
    }
    if !route.is_sticky {
        return None;
    }
    let cookies = headers.get_all(COOKIE).iter();
    let mut cookies = cookies.filter_map(|value| value.to_str().ok());
    cookies.find_map(|text| {
        text.split(';').find_map(|pair| {
            let (name, value) = pair.trim().split_once('=')?;
            (name == header_names.affinity_cookie).then(|| hash_bytes(value.as_bytes()))
        })
    })
}

/// Returns the headers to send to a replica.
///
/// Removes hop-by-hop headers, [`NOT_FORWARDED_HEADERS`], the caller's key and the
/// headers that only the gateway may set.
fn forwarded_headers(
    headers: &HeaderMap,
    header_names: &HeaderNames,
    workspace: Option<&[u8]>,
) -> HeaderMap {
    let mut forwarded = headers.clone();
    // Headers named by `Connection` are hop-by-hop (RFC 9110, section 7.6.1).
    for value in headers.get_all(CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes())
                && name != HOST
                && name != header_names.attempt
            {
                forwarded.remove(&name);
            }
        }
    }
    for name in &NOT_FORWARDED_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove("keep-alive");
    forwarded.remove("proxy-connection");
    forwarded.remove(AUTHORIZATION);
    forwarded.remove(&header_names.workspace);
    forwarded.remove(&header_names.target_replica);
    forwarded.remove(&header_names.engine_priority);
    for name in &header_names.reserved {
        forwarded.remove(name);
    }
    if let Some(value) = workspace.and_then(|name| http::HeaderValue::from_bytes(name).ok()) {
        forwarded.insert(header_names.workspace.clone(), value);
    }
    forwarded
}

/// Returns the headers of a replica's response that are passed on.
pub(crate) fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut response = headers.clone();
    for name in &NOT_FORWARDED_HEADERS {
        response.remove(name);
    }
    response.remove("keep-alive");
    response
}
