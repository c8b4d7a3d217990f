//! Exchange of where streams began, for callers that take one up at another VM.

use std::net::SocketAddrV4;

use ibisdale_telemetry::record_event;
use smol::channel::bounded;

use super::admit::GatewayError;
use super::attempt::RetryState;
use super::caller_request::CallerRequest;
use super::message::PeerMessage;
use super::origin_record::read_recorded_origins;
use super::peer_link::spawn_send;
use super::rpc::call_peer;
use super::state::{Gateway, lossy_string};
use crate::decide::{
    AttemptKey, FleetContact, MemberFacts, OriginRefusal, StreamOrigin, decide_origin, hash_bytes,
};
use crate::plan::ExecutionSemantics;

/// Number of other VMs that receive a copy of a stream's origin while one version serves; a
/// stream that nobody knows can then still go on.
const ORIGIN_COPIES: usize = 3;
/// Number of copies while streams of several versions are under way; covers a small fleet,
/// so that the origin is known as long as one VM runs.
const ORIGIN_COPIES_MIXED: usize = 8;
/// Number of other VMs that are queried: those with a copy, and the VM that sent the copies,
/// which may rank among them for this VM.
const ORIGIN_LOOKUPS: usize = ORIGIN_COPIES_MIXED + 1;

/// Records where the stream of a client attempt began.
pub(crate) fn record_origin(gateway: &Gateway, attempt: AttemptKey, origin: StreamOrigin) {
    let now_ms = gateway.now_ms();
    let mut origins = gateway.state.origins.borrow_mut();
    origins.record(attempt, origin, now_ms);
}

impl Gateway {
    /// Returns the origins that streams may have that are still to be taken up; `None` if this
    /// VM has not been running for long enough to tell.
    #[must_use]
    pub fn possible_origins(&self) -> Option<Vec<StreamOrigin>> {
        let versions = self.state.versions.borrow();
        versions.possible_origins(self.resume_window_ms(), self.now_ms())
    }

    /// Adds the origins that streams from before the start of this VM may have.
    pub fn restore_origins(&self, recorded: Vec<StreamOrigin>) {
        let now_ms = self.now_ms();
        let mut versions = self.state.versions.borrow_mut();
        versions.restore(recorded, now_ms);
    }
}

/// Removes the origins of streams that can no longer be taken up.
pub(crate) fn expire_origins(gateway: &Gateway) {
    let (now_ms, window_ms) = (gateway.now_ms(), gateway.resume_window_ms());
    gateway.state.origins.borrow_mut().expire(window_ms, now_ms);
    let mut versions = gateway.state.versions.borrow_mut();
    versions.expire(window_ms, now_ms);
}

/// Records where a stream has begun and sends copies to the VMs that a lookup queries.
///
/// Called before the first event is passed on.
pub(crate) fn announce_origin(gateway: &Gateway, request: &CallerRequest, retry: &RetryState) {
    if request.route.kind != ExecutionSemantics::StreamResumable || takes_up_stream(request) {
        return;
    }
    let attempt = hash_bytes(request.attempt_id.as_bytes());
    let origin = StreamOrigin {
        service: retry.service.clone(),
        software_version: retry.replica_version.clone(),
    };
    let copies = if has_sole_version(gateway, &origin.service) {
        ORIGIN_COPIES
    } else {
        ORIGIN_COPIES_MIXED
    };
    for peer in origin_homes(gateway, attempt, copies) {
        let origin = origin.clone();
        spawn_send(gateway, PeerMessage::StreamBegan { attempt, origin }, peer);
    }
    record_origin(gateway, attempt, origin);
}

/// Returns where the stream that a request takes up began; `None` if the request begins a
/// stream or is not for one that can be resumed.
pub(crate) async fn find_origin(
    gateway: &Gateway,
    request: &CallerRequest,
) -> Result<Option<StreamOrigin>, GatewayError> {
    if request.route.kind != ExecutionSemantics::StreamResumable || !takes_up_stream(request) {
        return Ok(None);
    }
    let known = if request.resumed_attempt.is_empty() {
        None
    } else {
        look_up_origin(gateway, hash_bytes(request.resumed_attempt.as_bytes())).await
    };
    let (is_known, is_current) = (known.is_some(), is_list_current(gateway));
    let recorded = if is_known || !is_current {
        None
    } else {
        read_recorded_origins(gateway).await
    };
    let decided = {
        let (now_ms, window_ms) = (gateway.now_ms(), gateway.resume_window_ms());
        let versions = gateway.state.versions.borrow();
        match known {
            None if !is_current => Err(OriginRefusal::Unknown),
            known => {
                let recorded = recorded.as_deref();
                decide_origin(
                    &request.route,
                    known,
                    &versions,
                    recorded,
                    window_ms,
                    now_ms,
                )
            }
        }
    };
    let version = decided.as_ref().ok().map(|origin| &origin.software_version);
    record_event!(
        OriginDecided,
        request = request.attempt_id,
        resumes = request.resumed_attempt,
        known = is_known,
        current = is_current,
        recorded = recorded.as_ref().map_or(0, |recorded| recorded.len()),
        version = version.map_or_else(String::new, |version| lossy_string(version)),
        refusal = decided
            .as_ref()
            .err()
            .map_or_else(String::new, |refusal| format!("{refusal:?}")),
    );
    decided.map(Some).map_err(|refusal| match refusal {
        OriginRefusal::Unknown => GatewayError::unavailable("where the stream began is not known"),
        OriginRefusal::ServiceLeftRoute => GatewayError {
            retry_after_ms: None,
            ..GatewayError::unavailable("the route no longer leads to where the stream began")
        },
    })
}

/// Returns whether a request continues a stream of an earlier client attempt.
fn takes_up_stream(request: &CallerRequest) -> bool {
    request.last_event.is_some() || !request.resumed_attempt.is_empty()
}

/// Looks an origin up in this VM's table, then at the VMs with a copy; the first reply counts.
async fn look_up_origin(gateway: &Gateway, attempt: AttemptKey) -> Option<StreamOrigin> {
    let own = gateway.state.origins.borrow().get(attempt).cloned();
    if own.is_some() {
        return own;
    }
    let (sender, receiver) = bounded(ORIGIN_LOOKUPS);
    for peer in origin_homes(gateway, attempt, ORIGIN_LOOKUPS) {
        let (asking, sender) = (gateway.clone(), sender.clone());
        gateway.spawn(async move {
            let build_message = |call_id| PeerMessage::GetOrigin { call_id, attempt };
            let reply = call_peer(&asking, peer, build_message).await;
            if let Some(PeerMessage::Origin { origin, .. }) = reply
                && let Some(origin) = origin
            {
                // Fails if another VM has answered before.
                let _ = sender.try_send(origin);
            }
        });
    }
    drop(sender);
    // Fails once all VMs have replied that they do not know it, or have not replied.
    let origin = receiver.recv().await.ok()?;
    record_origin(gateway, attempt, origin.clone());
    Some(origin)
}

fn origin_homes(gateway: &Gateway, attempt: AttemptKey, limit: usize) -> Vec<SocketAddrV4> {
    let members = gateway.state.members.borrow();
    let own = gateway.state.options.facts.key();
    let homes = members.home_candidates(own, attempt, gateway.now_ms(), limit);
    homes.iter().map(MemberFacts::peer_address).collect()
}

/// Returns whether all streams of a service that can still be taken up began at one version.
fn has_sole_version(gateway: &Gateway, service: &[u8]) -> bool {
    let (now_ms, window_ms) = (gateway.now_ms(), gateway.resume_window_ms());
    let versions = gateway.state.versions.borrow();
    versions.sole_version(service, window_ms, now_ms).is_some()
}

fn is_list_current(gateway: &Gateway) -> bool {
    let members = gateway.state.members.borrow();
    let (known, silent) = members.count(gateway.now_ms());
    let contact = FleetContact {
        feed_age: gateway.feed_age(),
        since_resume: gateway.state.suspensions.since_resume(),
        known,
        silent,
    };
    contact.has_current_list()
}
