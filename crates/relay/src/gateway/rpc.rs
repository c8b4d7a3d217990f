//! Request-response exchanges with other VMs over UDP.

use std::net::SocketAddrV4;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use smol::channel::{Receiver, bounded};

use super::message::PeerMessage;
use super::peer_link::send;
use super::state::Gateway;
use crate::decide::HomeCandidate;

/// Time after which an unanswered message is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of times that a message is sent.
const SENDS_MAX: u32 = 3;
/// Maximum number of replies to one call, each send may get two.
const REPLIES_MAX: usize = 2 * SENDS_MAX as usize;

/// Sends a message to a peer and waits for the reply, resending if none arrives.
///
/// `build_message` gets the identifier of the call, which the reply repeats. Returns `None`
/// when no reply arrives after [`SENDS_MAX`] sends.
pub(crate) async fn call_peer(
    gateway: &Gateway,
    peer: SocketAddrV4,
    build_message: impl Fn(u64) -> PeerMessage,
) -> Option<PeerMessage> {
    call_peer_for(gateway, peer, Duration::ZERO, build_message).await
}

/// Like [`call_peer`]; a peer that confirms the call has `time` to decide on it.
pub(crate) async fn call_peer_for(
    gateway: &Gateway,
    peer: SocketAddrV4,
    time: Duration,
    build_message: impl Fn(u64) -> PeerMessage,
) -> Option<PeerMessage> {
    let call_id = gateway.state.next_call_id.get();
    gateway.state.next_call_id.set(call_id + 1);
    let (sender, receiver) = bounded(REPLIES_MAX);
    gateway
        .state
        .pending_peer_calls
        .borrow_mut()
        .insert(call_id, sender);
    let _pending = PendingCall { gateway, call_id };
    let message = build_message(call_id);
    for _ in 0..SENDS_MAX {
        send(gateway, &message, peer).await;
        match receive_within(&receiver, RETRY_INTERVAL).await {
            Some(PeerMessage::Deciding { .. }) => return receive_decision(&receiver, time).await,
            Some(reply) => return Some(reply),
            None => {}
        }
    }
    None
}

async fn receive_within(receiver: &Receiver<PeerMessage>, time: Duration) -> Option<PeerMessage> {
    let reply = async { receiver.recv().await.ok() };
    let timed_out = async {
        Timer::after(time).await;
        None
    };
    reply.or(timed_out).await
}

/// Returns the first reply that is a decision.
async fn receive_decision(receiver: &Receiver<PeerMessage>, time: Duration) -> Option<PeerMessage> {
    loop {
        let reply = receive_within(receiver, time).await?;
        if !matches!(reply, PeerMessage::Deciding { .. }) {
            return Some(reply);
        }
    }
}

/// Returns the home of `key` to ask first.
///
/// One that does not answer is passed over the next time, so that asking again reaches each VM in
/// turn, this one among them.
pub(crate) fn first_home(gateway: &Gateway, key: u64) -> Option<HomeCandidate> {
    let own = gateway.state.options.facts.key();
    let members = gateway.state.members.borrow();
    let homes = members.homes_to_ask(own, key, gateway.now_ms());
    homes.into_iter().next()
}

/// Unregisters a pending call when dropped.
struct PendingCall<'a> {
    gateway: &'a Gateway,
    call_id: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.gateway
            .state
            .pending_peer_calls
            .borrow_mut()
            .remove(&self.call_id);
    }
}

/// Runs all futures concurrently and returns their results in order.
pub(crate) async fn join_all<T>(futures: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = futures.map(|future| executor.spawn(future)).collect();
    let collect = async {
        let mut results = Vec::with_capacity(tasks.len());
        for task in tasks {
            results.push(task.await);
        }
        results
    };
    executor.run(collect).await
}
