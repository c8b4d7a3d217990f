//! Batched writes of programs' token ceilings.
//!
//! A home VM stores a ceiling before it grants calls beyond a fixed part of the budget;
//! after a loss of all counts it bounds the tokens that may already have been delivered.
//!
//! After all VMs have lost their counts, most programs need a ceiling, each at its own
//! home VM. To limit the write load, one VM, the writer, stores the ceilings of all homes
//! in batches. A home writes its own ceilings if the writer does not reply or fails.

use std::time::Duration;

use ibisdale_telemetry::record_event;
use smol::Timer;
use smol::channel::{Sender, bounded};

use super::message::PeerMessage;
use super::rpc::call_peer;
use super::state::Gateway;
use crate::decide::{CeilingClaim, ProgramKey, hash_bytes};

/// Time for which ceilings are collected before they are written; short compared with the
/// time to a call's first token.
const BATCH_DELAY: Duration = Duration::from_millis(15);

/// Ceilings to store in the next write.
#[derive(Debug, Default)]
pub(crate) struct CeilingBatch {
    pending: Vec<PendingCeiling>,
    is_write_scheduled: bool,
}

#[derive(Debug)]
struct PendingCeiling {
    /// Ceiling to store, and the home VM that asks for it.
    claim: CeilingClaim,
    /// Waiting callers; a resent request adds another waiter.
    waiters: Vec<Sender<bool>>,
}

impl CeilingBatch {
    /// Adds a ceiling; returns `true` if the caller has to schedule the write.
    fn add(&mut self, claim: CeilingClaim, waiter: Sender<bool>) -> bool {
        let is_same = |known: &&mut PendingCeiling| known.claim == claim;
        if let Some(known) = self.pending.iter_mut().find(is_same) {
            known.waiters.push(waiter);
        } else {
            self.pending.push(PendingCeiling {
                claim,
                waiters: vec![waiter],
            });
        }
        !std::mem::replace(&mut self.is_write_scheduled, true)
    }
}

/// Stores a ceiling and returns whether it is stored.
///
/// Other calls of the program wait for the write through `ceiling_writes`.
pub(crate) async fn store_ceiling(gateway: &Gateway, program: ProgramKey, ceiling: u64) -> bool {
    let (end_sender, end_receiver) = bounded::<()>(1);
    let claim = gateway.state.budgets.borrow().claim(program, ceiling);
    let writes = &gateway.state.ceiling_writes;
    writes.borrow_mut().insert(program, end_receiver);
    let stored = match request_write(gateway, claim).await {
        Some(true) => true,
        Some(false) | None => store_in_batch(gateway, claim).await,
    };
    record_event!(
        CeilingStored,
        program = format!("{program:x}"),
        ceiling = ceiling,
        stored = stored
    );
    if stored {
        gateway.record_ceiling(program, ceiling);
    }
    writes.borrow_mut().remove(&program);
    drop(end_sender);
    stored
}

/// Requests a write from the writer VM.
///
/// Returns `None` if this VM is the writer or the writer does not reply.
async fn request_write(gateway: &Gateway, claim: CeilingClaim) -> Option<bool> {
    let own = gateway.state.options.facts.key();
    let writer = {
        let members = gateway.state.members.borrow();
        let homes = members.ranked_homes(own, hash_bytes(b"ceilings"), gateway.now_ms());
        homes.into_iter().next().flatten()?
    };
    let build_message = |call_id| PeerMessage::Store { call_id, claim };
    match call_peer(gateway, writer.peer_address(), build_message).await {
        Some(PeerMessage::Stored { stored, .. }) => Some(stored),
        _ => None,
    }
}

/// Stores a ceiling together with others that arrive within [`BATCH_DELAY`].
pub(crate) async fn store_in_batch(gateway: &Gateway, claim: CeilingClaim) -> bool {
    let (waiter, result) = bounded(1);
    let has_to_schedule = {
        let mut batch = gateway.state.ceiling_batch.borrow_mut();
        batch.add(claim, waiter)
    };
    if has_to_schedule {
        let writer = gateway.clone();
        gateway.spawn(async move { write_batch(&writer).await });
    }
    result.recv().await.unwrap_or(false)
}

async fn write_batch(gateway: &Gateway) {
    Timer::after(BATCH_DELAY).await;
    let pending = {
        let mut batch = gateway.state.ceiling_batch.borrow_mut();
        batch.is_write_scheduled = false;
        std::mem::take(&mut batch.pending)
    };
    let store = &gateway.state.options.store;
    for chunk in pending.chunks(store.ceilings_max) {
        let claims = chunk.iter().map(|item| item.claim).collect();
        let stored = (store.store_ceilings)(claims).await;
        for (item, stored) in chunk.iter().zip(stored) {
            for waiter in &item.waiters {
                // Fails if the waiting caller was cancelled.
                let _ = waiter.try_send(stored);
            }
        }
    }
}
