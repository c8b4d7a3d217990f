//! Sending of messages and of this VM's state to other VMs over UDP.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use super::caller_request::millis;
use super::evacuation::evacuation_report;
use super::feed_contact::answered_for;
use super::limits::recent_limits;
use super::message::PeerMessage;
use super::speeds::recent_speeds;
use super::state::Gateway;
use super::suspects::recent_suspects;
use crate::decide::{AdmissionCounters, MemberFacts, rounds_per_pass};

/// Time after their last change for which counters are sent, in milliseconds; enough for
/// several passes over all peers.
const REPORT_MAX_AGE_MS: u64 = 10_000;
/// Time after their last change for which counters are sent to the homes in each round, in
/// milliseconds; several rounds, since messages may be lost.
const HOME_REPORT_MAX_AGE_MS: u64 = 1_000;

/// Sends this VM's state to all peers at once, for changes that can't wait for the next
/// rounds.
pub(crate) async fn announce(gateway: &Gateway) {
    let peers = peer_addresses(gateway);
    send_state(gateway, &peers).await;
}

/// Notifies all peers that this VM is leaving and has handed over its budget shares.
pub(crate) async fn announce_leave(gateway: &Gateway) {
    let facts = &gateway.state.options.facts;
    let message = PeerMessage::Left {
        vm: facts.key(),
        incarnation: facts.incarnation,
    };
    for peer in peer_addresses(gateway) {
        send(gateway, &message, peer).await;
    }
}

/// Returns the addresses of all known VMs, or those of the seeds if none is known.
pub(crate) fn peer_addresses(gateway: &Gateway) -> Vec<SocketAddrV4> {
    let members = gateway.state.members.borrow();
    let mut peers: Vec<_> = members.all().map(MemberFacts::peer_address).collect();
    let own = gateway.state.options.facts.peer_address();
    if peers.is_empty() {
        let seeds = gateway.state.options.seeds.iter().copied();
        peers.extend(seeds.filter(|seed| *seed != own));
    }
    peers.sort_unstable();
    peers
}

/// Sends this VM's state to some of its peers.
pub(crate) async fn send_state(gateway: &Gateway, peers: &[SocketAddrV4]) {
    let now_ms = gateway.now_ms();
    let plan_version = gateway.plan().map_or(0, |plan| plan.get_version());
    let message = PeerMessage::State {
        facts: gateway.own_facts(),
        plan_version,
        plan_age_ms: gateway.plan_age().map(millis),
        replicas_version: gateway.state.replicas_version.get(),
        feed_age_ms: gateway.feed_age().map(millis),
        answers_ms: answered_for(gateway).map(millis),
        is_store_lost: gateway.is_store_lost(),
        quota: gateway
            .state
            .quota
            .borrow()
            .reports(now_ms.saturating_sub(REPORT_MAX_AGE_MS)),
        in_flight: gateway.state.replicas.borrow().in_flight_counts(),
        counts_lost_at: gateway.state.losses.borrow().counts_lost_at(),
        limits: recent_limits(gateway),
        suspects: recent_suspects(gateway),
        evacuations: evacuation_report(gateway),
        speeds: recent_speeds(gateway),
        spans: gateway.state.spans.borrow().reports(now_ms),
    };
    let Some(data) = encode(&message) else {
        return;
    };
    for peer in peers {
        send_data(gateway, &data, *peer).await;
    }
}

/// Sends this VM's state to a peer in a background task.
pub(crate) fn spawn_send_state(gateway: &Gateway, peer: SocketAddrV4) {
    let cloned = gateway.clone();
    gateway.spawn(async move { send_state(&cloned, &[peer]).await });
}

/// Sends this VM's counters of the workspaces whose requests it has admitted recently to
/// their homes, unless each gossip round reaches all VMs.
pub(crate) async fn report_to_homes(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let peer_count = gateway.state.members.borrow().count(now_ms).0;
    if rounds_per_pass(peer_count) == 1 {
        return;
    }
    let since_ms = now_ms.saturating_sub(HOME_REPORT_MAX_AGE_MS);
    let reports = gateway.state.quota.borrow().reports(since_ms);
    send_reports(gateway, &reports).await;
}

/// Sends this VM's counters of a workspace to its homes in a background task.
pub(crate) fn spawn_report(gateway: &Gateway, report: AdmissionCounters) {
    let cloned = gateway.clone();
    gateway.spawn(async move { send_reports(&cloned, &[report]).await });
}

async fn send_reports(gateway: &Gateway, reports: &[AdmissionCounters]) {
    let facts = &gateway.state.options.facts;
    let now_ms = gateway.now_ms();
    let mut by_home: HashMap<SocketAddrV4, Vec<AdmissionCounters>> = HashMap::new();
    for report in reports {
        let members = gateway.state.members.borrow();
        let homes = members.first_homes(facts.key(), report.workspace, now_ms);
        for home in homes.into_iter().filter_map(|home| home.facts) {
            let counters = by_home.entry(home.peer_address()).or_default();
            counters.push(*report);
        }
    }
    for (home, counters) in by_home {
        let message = PeerMessage::Admissions {
            vm: facts.key(),
            incarnation: facts.incarnation,
            counters,
        };
        send(gateway, &message, home).await;
    }
}

fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    match postcard::to_stdvec(message) {
        Ok(data) => Some(data),
        Err(error) => {
            log::error!("failed to encode a message to a peer: {error}");
            None
        }
    }
}

async fn send_data(gateway: &Gateway, data: &[u8], peer: SocketAddrV4) {
    // A peer that is down or unreachable is detected by its silence.
    if let Err(error) = gateway.state.socket.send_to(data, peer).await {
        log::debug!("failed to send to {peer}: {error}");
    }
}

/// Sends a message once; delivery is not confirmed.
pub(crate) async fn send(gateway: &Gateway, message: &PeerMessage, peer: SocketAddrV4) {
    if let Some(data) = encode(message) {
        send_data(gateway, &data, peer).await;
    }
}

/// Sends a message in a background task.
pub(crate) fn spawn_send(gateway: &Gateway, message: PeerMessage, peer: SocketAddrV4) {
    let cloned = gateway.clone();
    gateway.spawn(async move { send(&cloned, &message, peer).await });
}
