//! Writes of ceilings, gathered at one VM.
//!
//! Load answered: after all VMs have lost their counts, most programs need a ceiling,
//! each at its own home. One VM writes those of all homes together; a home writes
//! itself when that VM does not answer or can't write.

use std::time::Duration;

use ibisdale_telemetry::record_event;
use smol::Timer;
use smol::channel::{Sender, bounded};

use super::message::PeerMessage;
use super::rpc::call_peer;
use super::state::Gateway;
use crate::decide::{CeilingClaim, ProgramKey, stable_hash};

/// Time for which ceilings are gathered for one write; small beside the time to a
/// turn's first token.
const GATHER_TIME: Duration = Duration::from_millis(15);

/// Ceilings that wait for the next write.
#[derive(Debug, Default)]
pub(crate) struct CeilingBatch {
    waiting: Vec<WaitingCeiling>,
    is_gathering: bool,
}

#[derive(Debug)]
struct WaitingCeiling {
    claim: CeilingClaim,
    /// Those who wait; a question that is asked again waits twice.
    askers: Vec<Sender<bool>>,
}

impl CeilingBatch {
    /// Adds a ceiling; tells whether it is the first of a batch.
    fn add(&mut self, claim: CeilingClaim, asker: Sender<bool>) -> bool {
        let is_same = |known: &&mut WaitingCeiling| known.claim == claim;
        if let Some(known) = self.waiting.iter_mut().find(is_same) {
            known.askers.push(asker);
        } else {
            self.waiting.push(WaitingCeiling {
                claim,
                askers: vec![asker],
            });
        }
        !std::mem::replace(&mut self.is_gathering, true)
    }
}

/// Stores a ceiling; other calls of the program wait for it meanwhile.
pub(crate) async fn store_ceiling(gateway: &Gateway, program: ProgramKey, ceiling: u64) -> bool {
    let (ended, pending) = bounded::<()>(1);
    let claim = gateway.state.budgets.borrow().claim(program, ceiling);
    let writes = &gateway.state.ceiling_writes;
    writes.borrow_mut().insert(program, pending);
    let stored = match ask_writer(gateway, claim).await {
        Some(true) => true,
        Some(false) | None => gather(gateway, claim).await,
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
    drop(ended);
    stored
}

/// Asks the VM that writes for all; `None` when it is this one or does not answer.
async fn ask_writer(gateway: &Gateway, claim: CeilingClaim) -> Option<bool> {
    let own = gateway.state.options.facts.key();
    let writer = {
        let members = gateway.state.members.borrow();
        let homes = members.homes(own, stable_hash(b"ceilings"), gateway.now_ms());
        homes.into_iter().next().flatten()?
    };
    let question = |ask| PeerMessage::Store { ask, claim };
    match call_peer(gateway, writer.peer_address(), question).await {
        Some(PeerMessage::Stored { stored, .. }) => Some(stored),
        _ => None,
    }
}

/// Stores a ceiling together with others that come within [`GATHER_TIME`].
pub(crate) async fn gather(gateway: &Gateway, claim: CeilingClaim) -> bool {
    let (asker, result) = bounded(1);
    let is_first = {
        let mut batch = gateway.state.ceiling_batch.borrow_mut();
        batch.add(claim, asker)
    };
    if is_first {
        let writer = gateway.clone();
        gateway.spawn(async move { write_batch(&writer).await });
    }
    result.recv().await.unwrap_or(false)
}

async fn write_batch(gateway: &Gateway) {
    Timer::after(GATHER_TIME).await;
    let waiting = {
        let mut batch = gateway.state.ceiling_batch.borrow_mut();
        batch.is_gathering = false;
        std::mem::take(&mut batch.waiting)
    };
    let store = &gateway.state.options.store;
    for part in waiting.chunks(store.ceilings_max) {
        let claims = part.iter().map(|item| item.claim).collect();
        let stored = (store.save_ceilings)(claims).await;
        for (item, stored) in part.iter().zip(stored) {
            for asker in &item.askers {
                // The caller may have left meanwhile.
                let _ = asker.try_send(stored);
            }
        }
    }
}
