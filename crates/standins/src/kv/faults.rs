//! Faults that tests switch on.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use ibisdale_platform::KvCallKind;

/// How an outage shows to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Open connections are cut and new ones are refused.
    Refused,
    /// Connections open, but no call takes effect or is answered.
    Silent,
}

/// How one call fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFate {
    Answered,
    AnswerLost,
    Ignored,
}

#[derive(Debug, Default)]
pub(crate) struct FaultState {
    pub(crate) is_silent: bool,
    pub(crate) delay: Duration,
    pub(crate) read_lag: i64,
    pub(crate) is_expiry_paused: bool,
    lost_answers: u32,
    lost_kind: Option<KvCallKind>,
    seen_peers: HashSet<SocketAddr>,
    silent_peers: HashSet<SocketAddr>,
}

impl FaultState {
    pub(crate) fn lose_answers(&mut self, kind: Option<KvCallKind>, count: u32) {
        self.lost_kind = kind;
        self.lost_answers = count;
    }

    /// Makes all connections seen so far silent; later ones work.
    pub(crate) fn silence_peers(&mut self) {
        self.silent_peers.extend(self.seen_peers.drain());
    }

    pub(crate) fn is_silent_to(&self, peer: SocketAddr) -> bool {
        self.is_silent || self.silent_peers.contains(&peer)
    }

    /// Decides how a call fares, and uses up a fault that is counted.
    pub(crate) fn take_fate(&mut self, kind: KvCallKind, peer: SocketAddr) -> CallFate {
        if self.is_silent_to(peer) {
            return CallFate::Ignored;
        }
        self.seen_peers.insert(peer);
        let is_lost = self.lost_kind.is_none_or(|lost| lost == kind);
        if is_lost && self.lost_answers > 0 {
            self.lost_answers -= 1;
            return CallFate::AnswerLost;
        }
        CallFate::Answered
    }
}
