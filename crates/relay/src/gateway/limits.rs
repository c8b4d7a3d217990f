//! Limits that replicas name in their responses, and grants for requests to replicas that name a
//! limit or are cold.

use std::net::SocketAddrV4;

use http::{HeaderMap, HeaderValue};
use ibisdale_telemetry::record_event;

use super::caller_request::CallerRequest;
use super::cold::{effective_limit, is_cold};
use super::message::{CandidateReport, GrantRequest, PeerMessage};
use super::peer_link::{peer_addresses, send, spawn_send};
use super::rpc::{call_peer, first_home};
use super::state::{Gateway, lossy_string};
use crate::decide::{
    ColdReport, GrantCandidate, GrantOutcome, GrantQuery, GrantShare, HOMES_MAX, HomeCandidate,
    LimitChange, LimitReport, LimitStatement, ReplicaInfo, ReplicaKey, hash_bytes,
};

/// Maximum number of limits in one message; each takes at most 30 bytes.
const LIMITS_PER_MESSAGE: usize = 1_000;
/// Maximum number of replicas in a request for a grant, which has to fit into a datagram.
const CANDIDATES_MAX: usize = 1_000;
/// Time for which a change is repeated in the gossip rounds, in milliseconds; two passes over
/// the peers in fleets of hundreds of VMs, since messages may be lost.
const REPEAT_MS: u64 = 3_000;
/// Time after which a refused request may return if no home has decided, in milliseconds.
const UNDECIDED_RETRY_MS: u64 = 150;

/// Response of a replica whose headers may name a limit.
pub(crate) struct ObservedResponse<'a> {
    pub(crate) replica: &'a ReplicaInfo,
    pub(crate) status: u16,
    pub(crate) headers: &'a HeaderMap,
    /// When the request was sent; `None` if this is the response to an earlier request.
    pub(crate) sent_ms: Option<u64>,
}

/// Records the limit that a response names, or that it names none any more, and tells all VMs
/// of a change.
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
    let statement = LimitStatement::read(values.map(HeaderValue::as_bytes));
    if statement == LimitStatement::Unreadable {
        gateway.state.metrics.count_unreadable_limit();
    }
    let now_ms = gateway.now_ms();
    let start = response.replica.start_key();
    let (change, report) = {
        let mut limits = gateway.state.limits.borrow_mut();
        let change = limits.observe(start, statement, response.sent_ms, now_ms);
        (change, limits.report(start, now_ms))
    };
    let (Some(change), Some(report)) = (change, report) else {
        return;
    };
    log_change(
        &change,
        Some(response.replica),
        "response",
        &request.attempt_id,
    );
    let peers = peer_addresses(gateway);
    let announcer = gateway.clone();
    gateway.spawn(async move {
        let limits = vec![report];
        let message = PeerMessage::Limits { limits };
        for peer in peers {
            send(&announcer, &message, peer).await;
        }
    });
}

/// Takes over the limits that another VM has learned of later than this one.
pub(crate) fn merge_limits(gateway: &Gateway, reports: &[LimitReport]) {
    if reports.is_empty() {
        return;
    }
    let mut limits = gateway.state.limits.borrow_mut();
    let changes = limits.merge(reports, gateway.now_ms());
    let replicas = gateway.state.replicas.borrow();
    for change in changes {
        log_change(&change, replicas.find_start(change.start), "peer", "");
    }
}

fn log_change(change: &LimitChange, replica: Option<&ReplicaInfo>, source: &str, request: &str) {
    let text = |per_s: Option<f64>| per_s.map_or_else(String::new, |per_s| per_s.to_string());
    record_event!(
        LimitChanged,
        replica = replica.map_or_else(String::new, |replica| lossy_string(&replica.id)),
        service = replica.map_or_else(String::new, |replica| lossy_string(&replica.service)),
        per_s = text(change.per_s),
        before = text(change.before),
        source = source,
        request = request,
    );
}

/// Returns the recent changes that this VM has learned of from responses.
pub(crate) fn recent_limits(gateway: &Gateway) -> Vec<LimitReport> {
    let now_ms = gateway.now_ms();
    let limits = gateway.state.limits.borrow();
    limits.own_reports(now_ms.saturating_sub(REPEAT_MS), now_ms)
}

/// Sends all known limits to a peer.
pub(crate) fn send_limits(gateway: &Gateway, peer: SocketAddrV4) {
    let reports = gateway.state.limits.borrow().reports(gateway.now_ms());
    for limits in reports.chunks(LIMITS_PER_MESSAGE) {
        let limits = limits.to_vec();
        spawn_send(gateway, PeerMessage::Limits { limits }, peer);
    }
}

/// Removes the limits of replicas that have long been delisted and what was left to grant of
/// limits that have ended.
pub(crate) fn expire_limits(gateway: &Gateway) {
    let replicas = gateway.state.replicas.borrow();
    let mut limits = gateway.state.limits.borrow_mut();
    let is_listed = |start| replicas.find_start(start).is_some();
    let now_ms = gateway.now_ms();
    limits.expire(is_listed, now_ms);
    let mut grants = gateway.state.grants.borrow_mut();
    let mut cold = gateway.state.cold.borrow_mut();
    cold.expire(is_listed, now_ms);
    let is_limited = |start| limits.limit(start).is_some() || cold.limit(start, now_ms).is_some();
    grants.retain(is_limited, now_ms);
}

/// Returns whether a replica is known to name a limit or to be cold.
pub(crate) fn is_limited(gateway: &Gateway, replica: ReplicaKey) -> bool {
    let replicas = gateway.state.replicas.borrow();
    let info = replicas.get_info(replica);
    info.is_some_and(|info| effective_limit(gateway, info.start_key()).is_some())
}

/// Result of asking for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantResult {
    /// The replica takes the request.
    Granted {
        replica: ReplicaKey,
        /// Home that has granted it.
        by: &'static str,
        /// When that home was asked, in milliseconds.
        asked_ms: u64,
    },
    /// No replica takes the request before this time has passed, in milliseconds.
    Refused { after_ms: u64 },
}

/// What a request is told if no home grants it.
struct GrantRefusal {
    /// Role of the home that was asked last, and its name; no name stands for this VM.
    by: &'static str,
    home: String,
    after_ms: u64,
}

/// Asks the homes of a service for a grant for one of `limited`, the preferred replica first.
///
/// If the caller is not refused without a grant, only the first home is asked, since the others
/// grant little and a home that does not answer delays the request.
pub(crate) async fn ask_for_grant(
    gateway: &Gateway,
    request: &CallerRequest,
    service: &[u8],
    limited: &[ReplicaKey],
    is_refusal_final: bool,
) -> GrantResult {
    let now_ms = gateway.now_ms();
    let candidates = describe_candidates(gateway, limited, now_ms);
    let cause = limit_cause(&candidates);
    let grant_request = GrantRequest {
        service: hash_bytes(service),
        affinity: request.affinity,
        work: request.declared_tokens.work(),
        candidates: candidates.iter().map(|(_, report)| *report).collect(),
        is_refusal_final,
    };
    let mut refusal = GrantRefusal {
        by: "none",
        home: String::new(),
        after_ms: UNDECIDED_RETRY_MS,
    };
    while !request.time_left().is_zero()
        && let Some(home) = first_home(gateway, grant_request.service)
    {
        refusal.by = home_role(&home);
        let facts = home.facts.as_ref();
        refusal.home = facts.map_or_else(String::new, |facts| lossy_string(&facts.name));
        let asked_ms = gateway.now_ms();
        let outcome = ask_home(gateway, &home, &grant_request).await;
        if let Some(GrantOutcome::NoRoom { after_ms }) = outcome {
            refusal.after_ms = after_ms;
        }
        record_decision(gateway, request, (service, cause), outcome, &refusal);
        match outcome {
            // Another replica has room without a grant.
            None if !is_refusal_final => break,
            None => {}
            Some(GrantOutcome::Granted(start)) => {
                let mut granted = candidates.iter();
                if let Some((replica, _)) = granted.find(|(_, report)| report.start == start) {
                    return GrantResult::Granted {
                        replica: *replica,
                        by: refusal.by,
                        asked_ms,
                    };
                }
                break;
            }
            Some(GrantOutcome::NoRoom { .. }) => break,
        }
    }
    if is_refusal_final {
        record_event!(
            LimitRefused,
            request = request.attempt_id,
            service = lossy_string(service),
            limited = candidates.len(),
            by = refusal.by,
            home = refusal.home,
            after_ms = refusal.after_ms,
            cause = cause,
        );
    }
    GrantResult::Refused {
        after_ms: refusal.after_ms,
    }
}

/// Returns what this VM knows of the limits of `limited`.
fn describe_candidates(
    gateway: &Gateway,
    limited: &[ReplicaKey],
    now_ms: u64,
) -> Vec<(ReplicaKey, CandidateReport)> {
    let replicas = gateway.state.replicas.borrow();
    let limits = gateway.state.limits.borrow();
    let cold = gateway.state.cold.borrow();
    let describe = |key: &ReplicaKey| {
        let start = replicas.get_info(*key)?.start_key();
        let named = limits.report(start, now_ms);
        let report = CandidateReport {
            start,
            named: named.map(|report| (report.per_s, report.age_ms)),
            cold_left_ms: cold
                .report(start, now_ms)
                .map_or(0, |report| report.left_ms),
        };
        Some((*key, report))
    };
    let described = limited.iter().filter_map(describe);
    described.take(CANDIDATES_MAX).collect()
}

/// Returns why replicas are limited: `named`, `cold`, or `both` if there are both kinds.
fn limit_cause(candidates: &[(ReplicaKey, CandidateReport)]) -> &'static str {
    let mut reports = candidates.iter().map(|(_, report)| report);
    let has_cold = reports.clone().any(|report| report.cold_left_ms > 0);
    let names_limit = |(per_s, _): (Option<f64>, u64)| per_s.is_some();
    let has_named = reports.any(|report| report.named.is_some_and(names_limit));
    match (has_named, has_cold) {
        (true, true) => "both",
        (false, true) => "cold",
        _ => "named",
    }
}

/// Logs and counts the decision of the home that was asked last; `outcome` is `None` if it did
/// not answer.
fn record_decision(
    gateway: &Gateway,
    request: &CallerRequest,
    (service, cause): (&[u8], &'static str),
    outcome: Option<GrantOutcome>,
    refusal: &GrantRefusal,
) {
    let name = match outcome {
        None => "unanswered",
        Some(GrantOutcome::NoRoom { .. }) => "no_room",
        Some(GrantOutcome::Granted(_)) => "granted",
    };
    gateway.state.metrics.count_grant_decision(refusal.by, name);
    record_event!(
        GrantDecided,
        request = request.attempt_id,
        service = lossy_string(service),
        by = refusal.by,
        home = refusal.home,
        outcome = name,
        after_ms = refusal.after_ms,
        cause = cause,
    );
}

fn home_role(home: &HomeCandidate) -> &'static str {
    match (home.rank, &home.facts) {
        (0, None) => "own",
        (0, Some(_)) => "home",
        _ => "standby",
    }
}

/// Asks a home for a grant; returns `None` if it does not answer.
async fn ask_home(
    gateway: &Gateway,
    home: &HomeCandidate,
    request: &GrantRequest,
) -> Option<GrantOutcome> {
    let Some(facts) = &home.facts else {
        return Some(grant_as_home(gateway, request, home.rank));
    };
    let build_message = |call_id| PeerMessage::RequestGrant {
        call_id,
        rank: u8::try_from(home.rank).unwrap_or(u8::MAX),
        request: request.clone(),
    };
    if let Some(PeerMessage::GrantDecided { outcome, .. }) =
        call_peer(gateway, facts.peer_address(), build_message).await
    {
        return Some(outcome);
    }
    let now_ms = gateway.now_ms();
    let mut members = gateway.state.members.borrow_mut();
    members.record_unanswered(facts.key(), now_ms);
    None
}

/// Decides on a request as a home of its service; `rank` is this VM's rank among the homes in
/// the view of the VM that asks.
pub(crate) fn grant_as_home(
    gateway: &Gateway,
    request: &GrantRequest,
    rank: usize,
) -> GrantOutcome {
    merge_candidates(gateway, request);
    let now_ms = gateway.now_ms();
    let share = {
        let members = gateway.state.members.borrow();
        let own_key = gateway.state.options.facts.key();
        let homes = members.first_homes(own_key, request.service, now_ms);
        let own_rank = homes.iter().position(|home| home.facts.is_none());
        let (known_count, silent_count) = members.count(now_ms);
        GrantShare {
            rank: rank.max(own_rank.unwrap_or(HOMES_MAX - 1)),
            vm_count: known_count + 1,
            silent_count,
            returned_count: members.returned_count(now_ms),
            // Times are measured from the start of this process.
            is_settled: members.is_settled_home(own_key, request.service, 0, now_ms),
        }
    };
    let candidates = request.candidates.iter();
    let candidates: Vec<_> = candidates
        .map(|report| describe_limit(gateway, report))
        .collect();
    let query = GrantQuery {
        service: request.service,
        affinity: request.affinity,
        work: request.work,
        candidates: &candidates,
        is_refusal_final: request.is_refusal_final,
    };
    let mut grants = gateway.state.grants.borrow_mut();
    grants.grant(&query, share, now_ms)
}

/// Returns the limit of a candidate, after what the VM that asks knows has been taken over.
fn describe_limit(gateway: &Gateway, report: &CandidateReport) -> GrantCandidate {
    let is_cold = is_cold(gateway, report.start);
    // A home that has just started may not have the configuration with the rate yet.
    let is_rate_unknown = report.cold_left_ms > 0 && !is_cold;
    let per_s = effective_limit(gateway, report.start);
    GrantCandidate {
        start: report.start,
        per_s: if is_rate_unknown { Some(0.0) } else { per_s },
        is_cold: is_cold || is_rate_unknown,
    }
}

/// Takes over what the VM that asks for a grant knows of the candidates.
fn merge_candidates(gateway: &Gateway, request: &GrantRequest) {
    let reports = request.candidates.iter();
    let named = reports.filter_map(|report| {
        let (per_s, age_ms) = report.named?;
        Some(LimitReport {
            start: report.start,
            per_s,
            age_ms,
        })
    });
    merge_limits(gateway, &named.collect::<Vec<_>>());
    // Not logged: VMs whose views differ until the cold time ends would cause a line each time.
    let mut cold = gateway.state.cold.borrow_mut();
    let now_ms = gateway.now_ms();
    for report in &request.candidates {
        let report = ColdReport {
            start: report.start,
            service: request.service,
            left_ms: report.cold_left_ms,
        };
        cold.merge(&report, now_ms);
    }
}
