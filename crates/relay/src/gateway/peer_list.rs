//! What a VM sends to another that was unknown, silent or restarted.

use std::net::SocketAddrV4;

use super::message::PeerMessage;
use super::peer_link::{peer_addresses, send_state, spawn_send};
use super::state::Gateway;
use crate::decide::WindowReport;

/// Maximum number of workspaces whose request counts are sent in one message; the counts
/// of a one-minute window take up to a kilobyte per workspace.
const WINDOW_REPORTS_MAX: usize = 50;
/// Number of workspaces up to which all counters are sent, in one message; each takes at
/// most 30 bytes.
const COUNTERS_MAX: usize = 2_000;

/// Replaces the request counts that were assumed at the start by those of a peer's last
/// quota window, and sends this VM's state to the listed VMs that were unknown.
pub(super) fn handle_peer_list(
    gateway: &Gateway,
    peers: Vec<SocketAddrV4>,
    window_reports: &[WindowReport],
) {
    let now_ms = gateway.now_ms();
    gateway
        .state
        .quota
        .borrow_mut()
        .apply_snapshot(window_reports, now_ms);
    let cloned = gateway.clone();
    gateway.spawn(async move {
        let gateway = cloned;
        let own = gateway.state.options.facts.peer_address();
        let known = peer_addresses(&gateway);
        let unknown_peers: Vec<_> = peers
            .into_iter()
            .filter(|peer| *peer != own && !known.contains(peer))
            .collect();
        send_state(&gateway, &unknown_peers).await;
    });
}

/// Sends this VM's counters to a peer, which takes them as the baseline and counts only
/// the requests beyond it.
pub(super) fn send_counters(gateway: &Gateway, peer: SocketAddrV4) {
    let counters = gateway.state.quota.borrow().reports(0);
    // Without this message, the peer takes the first counters it receives as the baseline.
    if counters.len() <= COUNTERS_MAX {
        let facts = &gateway.state.options.facts;
        let message = PeerMessage::Counters {
            vm: facts.key(),
            incarnation: facts.incarnation,
            counters,
        };
        spawn_send(gateway, message, peer);
    }
}

/// Sends the known VMs and the request counts of the last quota window to a peer, split
/// so that each message fits into a datagram.
pub(super) fn send_peer_list(
    gateway: &Gateway,
    peers: Vec<SocketAddrV4>,
    window_reports: &[WindowReport],
    peer: SocketAddrV4,
) {
    let mut chunks = window_reports.chunks(WINDOW_REPORTS_MAX);
    let first = chunks.next().unwrap_or_default().to_vec();
    let message = PeerMessage::PeerList {
        peers,
        window_reports: first,
    };
    spawn_send(gateway, message, peer);
    for chunk in chunks {
        let message = PeerMessage::PeerList {
            peers: Vec::new(),
            window_reports: chunk.to_vec(),
        };
        spawn_send(gateway, message, peer);
    }
}
