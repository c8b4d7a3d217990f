//! The other parts' side of the membership.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use async_channel::Sender;
use ibisdale_policy::{MemberKey, MemberState, MemberUpdate};

/// Members as this daemon knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberSnapshot {
    /// This daemon.
    pub(crate) own: Option<MemberUpdate>,
    /// The others that are remembered, in order of their names.
    pub(crate) others: Vec<MemberUpdate>,
}

impl MemberSnapshot {
    /// Returns the number of daemons that answer, this one included.
    pub(crate) fn answering(&self) -> usize {
        let is_answering = |update: &&MemberUpdate| update.state < MemberState::Suspect;
        self.others.iter().filter(is_answering).count() + 1
    }

    /// Returns the number of daemons that are remembered, this one included.
    pub(crate) fn known(&self) -> usize {
        self.others.len() + 1
    }

    /// Tells whether less than half of the remembered daemons answer.
    pub(crate) fn is_cut_off(&self) -> bool {
        2 * self.answering() < self.known()
    }

    /// Iterates over the other members that take new work.
    pub(crate) fn live(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.others
            .iter()
            .filter(|update| update.state == MemberState::Alive)
    }
}

/// What the membership is told.
#[derive(Debug)]
pub(super) enum MemberMessage {
    /// Another daemon's updates; the reply carries this daemon's.
    Exchange(Vec<MemberUpdate>, Sender<Vec<MemberUpdate>>),
    /// The updates that go with a probe to an address.
    Outgoing(SocketAddr, Sender<Vec<MemberUpdate>>),
    /// A probe's answer.
    Answered(Vec<MemberUpdate>),
    /// A probe had no answer, nor had those through others.
    Unanswered(MemberKey),
    /// Addresses that the VM list names.
    Proposed(Vec<SocketAddr>),
    /// The settings revision in force here.
    Revision(u64),
    /// This daemon leaves.
    Drain,
}

/// Talks to the membership; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct MemberHandle {
    sender: Sender<MemberMessage>,
    snapshot: Arc<ArcSwap<MemberSnapshot>>,
}

impl MemberHandle {
    pub(super) fn new(
        sender: Sender<MemberMessage>,
        snapshot: Arc<ArcSwap<MemberSnapshot>>,
    ) -> Self {
        Self { sender, snapshot }
    }

    /// Returns the members as they are known now.
    pub(crate) fn snapshot(&self) -> Arc<MemberSnapshot> {
        self.snapshot.load_full()
    }

    /// Takes in another daemon's updates and returns this daemon's.
    pub(crate) async fn exchange(&self, updates: Vec<MemberUpdate>) -> Vec<MemberUpdate> {
        self.ask(|reply| MemberMessage::Exchange(updates, reply))
            .await
    }

    /// Returns the updates that go with a probe to `address`.
    pub(super) async fn outgoing(&self, address: SocketAddr) -> Vec<MemberUpdate> {
        self.ask(|reply| MemberMessage::Outgoing(address, reply))
            .await
    }

    async fn ask(
        &self,
        message: impl FnOnce(Sender<Vec<MemberUpdate>>) -> MemberMessage,
    ) -> Vec<MemberUpdate> {
        let (reply, answer) = async_channel::bounded(1);
        self.notify(message(reply));
        answer.recv().await.unwrap_or_default()
    }

    pub(super) fn notify(&self, message: MemberMessage) {
        // The channel is unbounded; it fails only when the daemon stops.
        let _ = self.sender.try_send(message);
    }

    /// Sets the addresses of daemons that the VM list names.
    pub(crate) fn propose(&self, addresses: Vec<SocketAddr>) {
        self.notify(MemberMessage::Proposed(addresses));
    }

    /// Sets the settings revision in force here.
    pub(crate) fn set_revision(&self, revision: u64) {
        self.notify(MemberMessage::Revision(revision));
    }

    /// Tells the fleet that this daemon leaves.
    pub(crate) fn start_drain(&self) {
        self.notify(MemberMessage::Drain);
    }
}
