//! HTTP endpoints that list the addresses of ready VMs and report readiness.

use std::fmt;
use std::net::SocketAddrV4;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode};
use rand::seq::SliceRandom;

use super::admit::GatewayError;
use super::body::ResponseBody;
use super::state::Gateway;

/// Maximum number of addresses in a response.
const ADDRESSES_MAX: usize = 64;

/// Location that a caller gives when it requests addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Failure domain of the caller.
    pub domain: Bytes,
    /// Region of the caller.
    pub region: Bytes,
}

/// Format of the directory requests and responses.
///
/// The platform adapter supplies it.
pub struct DirectoryRule {
    /// Path that lists addresses.
    pub path: &'static str,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Decodes a request for addresses.
    pub read_query: fn(&Parts) -> DirectoryQuery,
    /// Encodes the addresses and the time in seconds for which they may be cached.
    pub write_response: fn(&[SocketAddrV4], u64) -> Bytes,
    /// Time for which callers may cache a response, in seconds.
    pub ttl_s: u64,
}

impl fmt::Debug for DirectoryRule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("DirectoryRule")
    }
}

/// Responds with the addresses of ready VMs.
pub(crate) fn directory_response(gateway: &Gateway, parts: &Parts) -> Response<ResponseBody> {
    let rule = &gateway.state.options.directory;
    if parts.uri.path() != rule.path {
        return GatewayError::new(StatusCode::NOT_FOUND, "no such call").into_response();
    }
    let query = (rule.read_query)(parts);
    let addresses = ready_addresses(gateway, &query);
    if addresses.is_empty() {
        return GatewayError::unavailable("no VM serves").into_response();
    }
    let body = (rule.write_response)(&addresses, rule.ttl_s);
    let mut response = Response::new(ResponseBody::whole(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Responds to a readiness check: 200 if this VM is ready, else 503.
pub(crate) fn readiness_response(gateway: &Gateway, parts: &Parts) -> Response<ResponseBody> {
    let rule = &gateway.state.options.directory;
    if parts.uri.path() != rule.ready_path {
        return GatewayError::new(StatusCode::NOT_FOUND, "no such call").into_response();
    }
    if gateway.is_ready() {
        Response::new(ResponseBody::whole("ready"))
    } else {
        GatewayError::unavailable("not ready").into_response()
    }
}

/// Returns up to [`ADDRESSES_MAX`] addresses of ready VMs, in random order.
///
/// If the caller gives its region, only VMs of that region are listed.
fn ready_addresses(gateway: &Gateway, query: &DirectoryQuery) -> Vec<SocketAddrV4> {
    let now_ms = gateway.now_ms();
    let members = gateway.state.members.borrow();
    let own = gateway.own_facts();
    let mut addresses: Vec<_> = members
        .live(now_ms)
        .filter(|facts| facts.is_serving)
        .chain(std::iter::once(&own).filter(|facts| facts.is_serving))
        .filter(|facts| query.region.is_empty() || facts.region == query.region)
        .map(|facts| SocketAddrV4::new(facts.ip, facts.entry_port))
        .collect();
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(ADDRESSES_MAX);
    addresses
}
