//! Tells callers which addresses to connect to.

use std::fmt;
use std::net::SocketAddrV4;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode};
use rand::seq::SliceRandom;

use super::admit::GatewayRefusal;
use super::body::ResponseBody;
use super::state::Gateway;

/// Most addresses in an answer.
const ADDRESSES_MAX: usize = 64;

/// What a caller says of itself when it asks for addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Failure domain of the caller.
    pub domain: Bytes,
    /// Region of the caller.
    pub region: Bytes,
}

/// How the outside interface asks for addresses.
pub struct DirectoryRule {
    /// Path of the question for addresses.
    pub path: &'static str,
    /// Path of the question whether the VM is ready.
    pub ready_path: &'static str,
    /// Reads a question.
    pub read_query: fn(&Parts) -> DirectoryQuery,
    /// Writes an answer that holds for a number of seconds.
    pub write_answer: fn(&[SocketAddrV4], u64) -> Bytes,
    /// Time for which callers keep an answer, in seconds.
    pub keep_s: u64,
}

impl fmt::Debug for DirectoryRule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("DirectoryRule")
    }
}

/// Answers the question for addresses.
pub(crate) fn answer_directory(gateway: &Gateway, parts: &Parts) -> Response<ResponseBody> {
    let rule = &gateway.state.options.directory;
    if parts.uri.path() != rule.path {
        return GatewayRefusal::new(StatusCode::NOT_FOUND, "no such call").into_response();
    }
    let query = (rule.read_query)(parts);
    let addresses = serving_addresses(gateway, &query);
    if addresses.is_empty() {
        return GatewayRefusal::unavailable("no VM serves").into_response();
    }
    let body = (rule.write_answer)(&addresses, rule.keep_s);
    let mut answer = Response::new(ResponseBody::whole(body));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// Answers the question whether callers may be sent here.
pub(crate) fn answer_ready(gateway: &Gateway, parts: &Parts) -> Response<ResponseBody> {
    let rule = &gateway.state.options.directory;
    if parts.uri.path() != rule.ready_path {
        return GatewayRefusal::new(StatusCode::NOT_FOUND, "no such call").into_response();
    }
    if gateway.is_ready() {
        Response::new(ResponseBody::whole("ready"))
    } else {
        GatewayRefusal::unavailable("not ready").into_response()
    }
}

fn serving_addresses(gateway: &Gateway, query: &DirectoryQuery) -> Vec<SocketAddrV4> {
    let now_ms = gateway.now_ms();
    let members = gateway.state.members.borrow();
    let own = gateway.own_facts();
    let mut serving: Vec<_> = members
        .live(now_ms)
        .filter(|facts| facts.is_serving)
        .chain(std::iter::once(&own).filter(|facts| facts.is_serving))
        .filter(|facts| query.region.is_empty() || facts.region == query.region)
        .map(|facts| SocketAddrV4::new(facts.ip, facts.entry_port))
        .collect();
    serving.shuffle(&mut rand::rng());
    serving.truncate(ADDRESSES_MAX);
    serving
}
