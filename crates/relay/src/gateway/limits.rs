//! Limits that replicas name in their responses.

use http::HeaderMap;
use ibisdale_telemetry::record_event;

use super::caller_request::CallerRequest;
use super::state::{Gateway, lossy_string};
use crate::decide::{LimitChange, LimitStatement, ReplicaInfo};

/// Response of a replica whose headers may name a limit.
pub(crate) struct ObservedResponse<'a> {
    pub(crate) replica: &'a ReplicaInfo,
    pub(crate) status: u16,
    pub(crate) headers: &'a HeaderMap,
    /// When the request was sent; `None` if this is the response to an earlier request.
    pub(crate) sent_ms: Option<u64>,
}

/// Records the limit that a response names, or that it names none any more.
pub(crate) fn record_limit(
    gateway: &Gateway,
    request: &CallerRequest,
    response: &ObservedResponse<'_>,
) {
    if response.status == 421 {
        // Another replica may have taken over the address.
        return;
    }
    let name = &gateway.state.options.header_names.replica_limit;
    let values = response.headers.get_all(name).iter();
    let statement = LimitStatement::read(values.map(http::HeaderValue::as_bytes));
    if statement == LimitStatement::Unreadable {
        gateway.state.metrics.count_unreadable_limit();
    }
    let now_ms = gateway.now_ms();
    let start = response.replica.start_key();
    let mut limits = gateway.state.limits.borrow_mut();
    let change = limits.observe(start, statement, response.sent_ms, now_ms);
    drop(limits);
    if let Some(change) = change {
        log_change(&change, response.replica, "response", &request.attempt_id);
    }
}

fn log_change(change: &LimitChange, replica: &ReplicaInfo, source: &str, request: &str) {
    record_event!(
        LimitChanged,
        replica = lossy_string(&replica.id),
        service = lossy_string(&replica.service),
        per_s = change
            .per_s
            .map_or_else(String::new, |per_s| per_s.to_string()),
        before = change
            .before
            .map_or_else(String::new, |per_s| per_s.to_string()),
        source = source,
        request = request,
    );
}
