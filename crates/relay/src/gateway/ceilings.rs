//! Batched writes of programs' token ceilings.
//!
//! A home VM stores a ceiling before it grants calls beyond a fixed part of the budget;
//! after a loss of all counts it bounds the tokens that may already have been delivered.
//!
//! After all VMs have lost their counts, most programs need a ceiling, each at its own
//! home VM. To limit the write load, one VM, the writer, stores the ceilings of all homes
//! in batches. A home writes its own ceilings if the writer does not reply or fails.

use std::time::{Duration, Instant};

use ibisdale_telemetry::record_event;
use smol::Timer;
use smol::channel::{Sender, bounded};

use super::message::PeerMessage;
use super::rpc::call_peer;
use super::state::Gateway;
use crate::decide::{CeilingClaim, ClaimOutcome, hash_bytes};

/// Time for which ceilings are collected before they are written; short compared with the
/// time to a call's first token.
const BATCH_DELAY: Duration = Duration::from_millis(15);
/// Time after a failed write in which no other one is tried while the store answers no VM.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Ceilings to store in the next write.
#[derive(Debug, Default)]
pub(crate) struct CeilingBatch {
    pending: Vec<PendingCeiling>,
    is_write_scheduled: bool,
    /// When the last write failed, unless a later one succeeded.
    failed_at: Option<Instant>,
}

#[derive(Debug)]
struct PendingCeiling {
    /// Ceiling to store, and the home VM that asks for it.
    claim: CeilingClaim,
    /// Waiting callers; a resent request adds another waiter.
    waiters: Vec<Sender<ClaimOutcome>>,
}

impl CeilingBatch {
    /// Adds a ceiling; returns `true` if the caller has to schedule the write.
    fn add(&mut self, claim: CeilingClaim, waiter: Sender<ClaimOutcome>) -> bool {
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

/// Stores the ceiling of a program, by the writer if it can.
pub(crate) async fn store_ceiling(gateway: &Gateway, claim: CeilingClaim) -> ClaimOutcome {
    let outcome = match request_write(gateway, claim).await {
        None | Some(ClaimOutcome::Failed) => store_in_batch(gateway, claim).await,
        Some(outcome) => outcome,
    };
    let conflict = match outcome {
        ClaimOutcome::Conflict(stored) => Some(stored.ceiling),
        ClaimOutcome::Stored | ClaimOutcome::Failed => None,
    };
    record_event!(
        CeilingStored,
        program = format!("{:x}", claim.program),
        ceiling = claim.ceiling,
        stored = outcome == ClaimOutcome::Stored,
        conflict = conflict.map_or(String::new(), |ceiling| ceiling.to_string()),
    );
    outcome
}

/// Requests a write from the writer VM.
///
/// Returns `None` if this VM is the writer or the writer does not reply.
async fn request_write(gateway: &Gateway, claim: CeilingClaim) -> Option<ClaimOutcome> {
    let own = gateway.state.options.facts.key();
    let writer = {
        let members = gateway.state.members.borrow();
        let homes = members.homes_to_ask(own, hash_bytes(b"ceilings"), gateway.now_ms());
        homes.into_iter().next()?.facts?
    };
    let build_message = |call_id| PeerMessage::Store { call_id, claim };
    let reply = call_peer(gateway, writer.peer_address(), build_message).await;
    if let Some(PeerMessage::Stored { outcome, .. }) = reply {
        return Some(outcome);
    }
    let mut members = gateway.state.members.borrow_mut();
    members.record_unanswered(writer.key(), gateway.now_ms());
    None
}

/// Stores a ceiling together with others that arrive within [`BATCH_DELAY`].
///
/// Fails at once while the store answers no VM and a write has failed a short time ago.
pub(crate) async fn store_in_batch(gateway: &Gateway, claim: CeilingClaim) -> ClaimOutcome {
    let failed_at = gateway.state.ceiling_batch.borrow().failed_at;
    let has_failed = failed_at.is_some_and(|at| at.elapsed() < FAILURE_PAUSE);
    if has_failed && gateway.is_store_unavailable() {
        return ClaimOutcome::Failed;
    }
    let (waiter, result) = bounded(1);
    let has_to_schedule = {
        let mut batch = gateway.state.ceiling_batch.borrow_mut();
        batch.add(claim, waiter)
    };
    if has_to_schedule {
        let writer = gateway.clone();
        gateway.spawn(async move { write_batch(&writer).await });
    }
    result.recv().await.unwrap_or(ClaimOutcome::Failed)
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
        let outcomes = (store.store_ceilings)(claims).await;
        let has_failed = outcomes.contains(&ClaimOutcome::Failed);
        gateway.state.ceiling_batch.borrow_mut().failed_at = has_failed.then(Instant::now);
        for (item, outcome) in chunk.iter().zip(outcomes) {
            for waiter in &item.waiters {
                // Fails if the waiting caller was cancelled.
                let _ = waiter.try_send(outcome);
            }
        }
    }
}
