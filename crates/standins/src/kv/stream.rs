//! The stream of a watch.

use std::sync::Arc;

use async_channel::Receiver;
use futures_lite::FutureExt;
use ibisdale_net::{BodySender, NetError, ShutdownSignal};
use ibisdale_platform::wire::{Int64, StreamLine, WatchCreateRequest, WatchResponse};

use super::answer::json_line;
use super::read::KeyRange;
use super::server::ServerState;

/// Sends changes as they come, until the peer leaves or the server is cut.
pub(crate) async fn run_watch(
    state: Arc<ServerState>,
    request: WatchCreateRequest,
    sender: BodySender,
    cut: ShutdownSignal,
    is_silenced: impl Fn() -> bool,
) {
    let changes = state.subscribe();
    let is_whole = {
        let cut = async {
            cut.wait().await;
            false
        };
        let gone = async {
            sender.closed().await;
            false
        };
        let feed = feed_watch(&state, &request, &sender, &changes, is_silenced);
        let feed = async { feed.await.is_ok() };
        feed.or(cut).or(gone).await
    };
    if is_whole {
        // The peer may be gone, which ends the stream as well.
        let _ = sender.close().await;
    }
}

async fn feed_watch(
    state: &ServerState,
    request: &WatchCreateRequest,
    sender: &BodySender,
    changes: &Receiver<()>,
    is_silenced: impl Fn() -> bool,
) -> Result<(), NetError> {
    let range = KeyRange::new(&request.key.0, &request.range_end.0);
    let mut next = request.start_revision.0;
    let mut line = WatchResponse {
        created: true,
        ..WatchResponse::default()
    };
    {
        let shared = state.lock();
        line.header = shared.store.header();
        if next == 0 {
            next = shared.store.revision + 1;
        }
    }
    send_line(sender, &line).await?;
    loop {
        let line = {
            let shared = state.lock();
            let line = next_line(&shared.store, &range, next);
            next = next.max(shared.store.revision + 1);
            line
        };
        let is_ended = line.canceled;
        if !is_silenced() && (is_ended || !line.events.is_empty()) {
            send_line(sender, &line).await?;
        }
        if is_ended || changes.recv().await.is_err() {
            return Ok(());
        }
    }
}

fn next_line(store: &super::store::KvStore, range: &KeyRange, next: i64) -> WatchResponse {
    let mut line = WatchResponse {
        header: store.header(),
        ..WatchResponse::default()
    };
    if let Ok(events) = store.events_from(range, next) {
        line.events = events;
    } else {
        line.canceled = true;
        line.compact_revision = Int64(store.compacted);
    }
    line
}

async fn send_line(sender: &BodySender, line: &WatchResponse) -> Result<(), NetError> {
    sender.send(json_line(&StreamLine::Result(line))).await
}
