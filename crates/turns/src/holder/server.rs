//! Connections of entry VMs and other holders.

use std::io;
use std::net::TcpListener;
use std::time::Duration;

use futures_lite::FutureExt;
use ibisdale_clients::{ConnectionLimiter, OpenConnection};
use ibisdale_telemetry::record_event;
use smol::channel::{Receiver, Sender, bounded};
use smol::{Async, Timer};

use super::commit::store_turns;
use super::state::TurnHolder;
use crate::message::{HolderReply, HolderRequest, StoreOutcome};
use crate::turn::TurnKey;
use crate::wire::{encode_message, read_held, read_length, write_message};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of replies that wait for a connection to be written.
const REPLIES_MAX: usize = 256;

/// Accepts connections until the process ends.
pub(crate) async fn accept(holder: TurnHolder, listener: Async<TcpListener>) {
    let limits = &holder.state.options.client_limits;
    let limiter = ConnectionLimiter::new(limits.connections(), &holder.state.clients);
    let limiter = limiter.evicting_transfers();
    loop {
        limiter.wait_for_room().await;
        match listener.accept().await {
            Ok((stream, peer)) => {
                let Some(open) = limiter.admit() else {
                    log::debug!("closed a connection of {peer}: all others are in use");
                    continue;
                };
                let server = holder.clone();
                holder.spawn(async move {
                    let closed = async {
                        open.wait_for_close().await;
                        Err(io::ErrorKind::ConnectionAborted.into())
                    };
                    if let Err(error) = serve(&server, &open, stream).or(closed).await {
                        log::debug!("the connection of {peer} ended: {error}");
                    }
                });
            }
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(
    holder: &TurnHolder,
    open: &OpenConnection,
    stream: Async<std::net::TcpStream>,
) -> io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    let stream = std::rc::Rc::new(stream);
    let (replies, outgoing) = bounded(REPLIES_MAX);
    let writer = std::rc::Rc::clone(&stream);
    holder.spawn(async move {
        if let Err(error) = write_replies(&writer, &outgoing).await {
            log::debug!("failed to write a reply: {error}");
        }
        // Ends the reading side of the connection as well.
        let _ = writer.get_ref().shutdown(std::net::Shutdown::Both);
    });
    let mut reader = &*stream;
    loop {
        let length = read_length(&mut reader).await?;
        let progress = open.begin_request();
        let read = read_held(&mut reader, length, &holder.state.clients);
        let ((call, request), held): ((u64, HolderRequest), _) = read.await?;
        let (server, replies): (TurnHolder, Sender<Vec<u8>>) = (holder.clone(), replies.clone());
        holder.spawn(async move {
            let reply = handle(&server, request).await;
            match encode_message(&(call, reply)) {
                // Fails if the connection has ended.
                Ok(encoded) => drop(replies.send(encoded).await),
                Err(error) => log::error!("failed to encode a reply: {error}"),
            }
            drop((held, progress));
        });
    }
}

async fn write_replies(
    stream: &Async<std::net::TcpStream>,
    outgoing: &Receiver<Vec<u8>>,
) -> io::Result<()> {
    let mut stream = stream;
    while let Ok(encoded) = outgoing.recv().await {
        write_message(&mut stream, &encoded).await?;
    }
    Ok(())
}

async fn handle(holder: &TurnHolder, request: HolderRequest) -> HolderReply {
    match request {
        HolderRequest::Store { turns } => {
            let outcome = store_turns(holder, turns).await;
            count_store(holder, outcome);
            HolderReply::Store(outcome)
        }
        HolderRequest::GetChain { key } => get_chain(holder, key).await,
        HolderRequest::Check {
            sender,
            receiver_generation,
            keys,
            is_last,
        } => {
            let now_ms = holder.now_ms();
            let mut core = holder.state.core.borrow_mut();
            let generation = core.info().generation;
            let missing = core.answer_check(&sender, receiver_generation, keys, is_last, now_ms);
            HolderReply::Checked {
                generation,
                missing,
            }
        }
        HolderRequest::Retire => retire(holder),
    }
}

fn count_store(holder: &TurnHolder, outcome: StoreOutcome) {
    let label = match outcome {
        StoreOutcome::Stored => "stored",
        StoreOutcome::Retiring => "retiring",
        StoreOutcome::Full => "full",
        StoreOutcome::Failed => "failed",
    };
    holder
        .state
        .metrics
        .stored
        .with_label_values(&[label])
        .inc();
}

async fn get_chain(holder: &TurnHolder, key: TurnKey) -> HolderReply {
    let state = &holder.state;
    let links = state.core.borrow_mut().chain(key, holder.now_ms());
    let is_absent = links.is_empty();
    let (turns, is_readable) = match holder.read_links(links).await {
        Ok(turns) => (turns, true),
        Err(error) => {
            record_event!(DiskFailed, operation = "read a chain", error = error);
            (Vec::new(), false)
        }
    };
    let label = match (is_absent, is_readable) {
        (true, _) => "absent",
        (false, true) => "found",
        (false, false) => "unreadable",
    };
    state.metrics.lookups.with_label_values(&[label]).inc();
    let core = state.core.borrow();
    HolderReply::Chain {
        turns,
        is_whole: core.is_whole() && is_readable,
        holders_digest: core.holders().digest(),
    }
}

fn retire(holder: &TurnHolder) -> HolderReply {
    let state = &holder.state;
    let uncompared = state.core.borrow_mut().retire(holder.now_ms());
    let left = uncompared + state.stores_in_progress.get();
    let name = String::from_utf8_lossy(&state.options.info.name);
    record_event!(HolderRetiring, vm = name, left = left);
    HolderReply::Retiring {
        left: u64::try_from(left).unwrap_or(u64::MAX),
    }
}
