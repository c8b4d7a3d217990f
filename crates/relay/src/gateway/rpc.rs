//! Request-response exchanges with other VMs over UDP.

use std::net::SocketAddrV4;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use smol::channel::bounded;

use super::message::PeerMessage;
use super::peers::send;
use super::state::Gateway;

/// Time after which an unanswered message is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of times that a message is sent.
const SENDS_MAX: u32 = 3;

/// Sends a message to a peer and waits for the reply, resending if none arrives.
///
/// `build_message` gets the number that matches the reply to this call. Returns `None`
/// when the peer does not reply to any of the messages.
pub(crate) async fn call_peer(
    gateway: &Gateway,
    peer: SocketAddrV4,
    build_message: impl Fn(u64) -> PeerMessage,
) -> Option<PeerMessage> {
    let number = gateway.state.next_ask.get();
    gateway.state.next_ask.set(number + 1);
    let (sender, receiver) = bounded(1);
    gateway.state.asks.borrow_mut().insert(number, sender);
    let _pending = PendingCall { gateway, number };
    let message = build_message(number);
    for _ in 0..SENDS_MAX {
        send(gateway, &message, peer).await;
        let reply = async { receiver.recv().await.ok() };
        let expire = async {
            Timer::after(RETRY_INTERVAL).await;
            None
        };
        if let Some(reply) = reply.or(expire).await {
            return Some(reply);
        }
    }
    None
}

/// A call that waits for its reply; unregisters it when the call is cancelled.
struct PendingCall<'a> {
    gateway: &'a Gateway,
    number: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.gateway.state.asks.borrow_mut().remove(&self.number);
    }
}
