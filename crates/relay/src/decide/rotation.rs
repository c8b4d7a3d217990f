//! Order in which gossip rounds take the peers.

use std::net::SocketAddrV4;

/// Time between gossip rounds, each of which reaches all peers in a small fleet, in
/// milliseconds.
pub const ROUND_MS: u64 = 250;
/// Maximum number of peers that a round sends to; in larger fleets, the rounds take the
/// peers in turn.
const ROUND_PEERS_MAX: usize = 64;

/// Returns the number of rounds in which a VM sends to each of its peers once, which bounds
/// the age in rounds of what it knows of a peer if no message is lost.
#[must_use]
pub fn rounds_per_pass(peer_count: usize) -> u32 {
    let rounds = peer_count.div_ceil(ROUND_PEERS_MAX).max(1);
    u32::try_from(rounds).unwrap_or(u32::MAX)
}

/// Position of a VM's gossip rounds in the list of its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerRotation {
    next: usize,
}

impl PeerRotation {
    /// Returns the peers of the next round.
    #[must_use]
    pub fn next_round(&mut self, peers: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        if peers.is_empty() {
            return Vec::new();
        }
        let size = peers.len().min(ROUND_PEERS_MAX);
        let chosen = (0..size).map(|step| peers[(self.next + step) % peers.len()]);
        let chosen = chosen.collect();
        self.next = (self.next + size) % peers.len();
        chosen
    }
}
