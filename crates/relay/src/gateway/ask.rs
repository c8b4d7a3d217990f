//! Questions to other daemons and their answers.

use std::net::SocketAddrV4;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use smol::channel::bounded;

use super::message::PeerMessage;
use super::peers::send;
use super::state::Gateway;

/// Time after which an unanswered question is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(40);
/// Times a question is asked.
const ASK_TIMES: u32 = 3;

/// Asks a peer until it answers; `None` when it does not.
pub(crate) async fn ask(
    gateway: &Gateway,
    peer: SocketAddrV4,
    question: impl Fn(u64) -> PeerMessage,
) -> Option<PeerMessage> {
    let number = gateway.state.next_ask.get();
    gateway.state.next_ask.set(number + 1);
    let (sender, receiver) = bounded(1);
    gateway.state.asks.borrow_mut().insert(number, sender);
    let _entry = AskEntry { gateway, number };
    let message = question(number);
    for _ in 0..ASK_TIMES {
        send(gateway, &message, peer).await;
        let answer = async { receiver.recv().await.ok() };
        let expire = async {
            Timer::after(ASK_AGAIN).await;
            None
        };
        if let Some(answer) = answer.or(expire).await {
            return Some(answer);
        }
    }
    None
}

/// An open question; a caller that leaves must not leave it behind.
struct AskEntry<'a> {
    gateway: &'a Gateway,
    number: u64,
}

impl Drop for AskEntry<'_> {
    fn drop(&mut self) {
        self.gateway.state.asks.borrow_mut().remove(&self.number);
    }
}
