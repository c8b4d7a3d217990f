//! Group commit: turns that arrive during a sync are written and synced together next.

use std::sync::{Arc, PoisonError};
use std::time::Instant;

use ibisdale_segments::to_u64;
use ibisdale_telemetry::record_event;
use smol::channel::{Receiver, Sender, bounded};

use super::state::TurnHolder;
use crate::message::StoreOutcome;
use crate::turn::KeptTurn;
use crate::turn_log::TurnLog;

/// Maximum number of requests that are synced together.
const BATCH_MAX: usize = 256;

/// Turns to store, and where the outcome goes.
pub(crate) struct CommitRequest {
    pub(crate) turns: Vec<KeptTurn>,
    pub(crate) outcome: Sender<StoreOutcome>,
}

/// Stores turns and returns once they are synced.
///
/// Turns that are on disk already are not written again.
pub(crate) async fn store_turns(holder: &TurnHolder, mut turns: Vec<KeptTurn>) -> StoreOutcome {
    let state = &holder.state;
    if state.core.borrow().is_retiring() {
        return StoreOutcome::Retiring;
    }
    let bytes: usize = turns.iter().map(KeptTurn::content_bytes).sum();
    if !holder.has_room(to_u64(bytes)) {
        return StoreOutcome::Full;
    }
    turns.retain(|turn| !state.core.borrow().index().contains(turn.key));
    if turns.is_empty() {
        return StoreOutcome::Stored;
    }
    let (outcome, result) = bounded(1);
    state
        .stores_in_progress
        .set(state.stores_in_progress.get() + 1);
    let _in_progress = StoreGuard(holder);
    // Fails only while the holder is being dropped.
    let _ = state.commits.try_send(CommitRequest { turns, outcome });
    result.recv().await.unwrap_or(StoreOutcome::Failed)
}

struct StoreGuard<'a>(&'a TurnHolder);

impl Drop for StoreGuard<'_> {
    fn drop(&mut self) {
        let in_progress = &self.0.state.stores_in_progress;
        in_progress.set(in_progress.get() - 1);
    }
}

/// Writes and syncs requests in batches until the process ends.
pub(crate) async fn run_commits(holder: TurnHolder, requests: Receiver<CommitRequest>) {
    while let Ok(first) = requests.recv().await {
        let mut batch = vec![first];
        while batch.len() < BATCH_MAX
            && let Ok(next) = requests.try_recv()
        {
            batch.push(next);
        }
        let outcome = commit(&holder, &batch).await;
        for request in batch {
            // Fails if the caller has left.
            let _ = request.outcome.try_send(outcome);
        }
    }
}

async fn commit(holder: &TurnHolder, batch: &[CommitRequest]) -> StoreOutcome {
    let started = Instant::now();
    let state = &holder.state;
    let turns: Vec<KeptTurn> = batch
        .iter()
        .flat_map(|request| request.turns.iter().cloned())
        .collect();
    let log = Arc::clone(&state.log);
    let written = smol::unblock(move || {
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        let result = log.append(&turns);
        (turns, result, TurnLog::total_bytes(&log))
    });
    let (turns, result, used) = written.await;
    state.disk_used.set(used);
    let (outcome, label) = match result {
        Ok(locations) => {
            let now_ms = holder.now_ms();
            let mut core = state.core.borrow_mut();
            for (turn, location) in turns.into_iter().zip(locations) {
                core.add_turn(turn, location, now_ms);
            }
            (StoreOutcome::Stored, "stored")
        }
        Err(error) => {
            record_event!(DiskFailed, operation = "store turns", error = error);
            if error.is_disk_full() {
                (StoreOutcome::Full, "full")
            } else {
                (StoreOutcome::Failed, "failed")
            }
        }
    };
    let histogram = state.metrics.sync_seconds.with_label_values(&[label]);
    histogram.observe(started.elapsed().as_secs_f64());
    outcome
}
