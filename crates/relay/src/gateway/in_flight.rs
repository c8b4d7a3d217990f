//! Guards that count requests in flight.

use std::cell::Cell;

use super::state::Gateway;
use crate::decide::{AttemptOutcome, ReplicaKey};

/// Counts a request as in flight at a replica until the guard is dropped.
///
/// Dropping the guard also records the outcome, which affects the choice of replicas.
pub(crate) struct ReplicaRequestGuard {
    gateway: Gateway,
    replica: ReplicaKey,
    prompt_tokens: Cell<u64>,
    outcome: Cell<AttemptOutcome>,
}

impl ReplicaRequestGuard {
    pub(crate) fn begin(gateway: &Gateway, replica: ReplicaKey, prompt_tokens: u64) -> Self {
        let mut replicas = gateway.state.replicas.borrow_mut();
        replicas.begin_request(replica, prompt_tokens);
        drop(replicas);
        Self {
            gateway: gateway.clone(),
            replica,
            prompt_tokens: Cell::new(prompt_tokens),
            outcome: Cell::new(AttemptOutcome::Unknown),
        }
    }

    pub(crate) fn replica(&self) -> ReplicaKey {
        self.replica
    }

    /// Removes the prompt from the replica's pending tokens.
    ///
    /// Called when data of the body arrives, which shows that the prompt was processed, and
    /// when the request ends.
    pub(crate) fn remove_pending_prompt(&self) {
        let tokens = self.prompt_tokens.take();
        let mut replicas = self.gateway.state.replicas.borrow_mut();
        replicas.finish_prefill(self.replica, tokens);
    }

    /// Stops counting the request and records `outcome`; a guard that is dropped without
    /// this call records `Unknown`.
    pub(crate) fn finish(self, outcome: AttemptOutcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for ReplicaRequestGuard {
    fn drop(&mut self) {
        self.remove_pending_prompt();
        let now_ms = self.gateway.now_ms();
        let mut replicas = self.gateway.state.replicas.borrow_mut();
        replicas.finish_request(self.replica, self.outcome.get(), now_ms);
    }
}

/// Counts a caller's request as in flight at this gateway until the guard is dropped.
pub(crate) struct CallerRequestGuard {
    gateway: Gateway,
}

impl CallerRequestGuard {
    pub(crate) fn begin(gateway: &Gateway) -> Self {
        let count = &gateway.state.in_flight;
        count.set(count.get() + 1);
        Self {
            gateway: gateway.clone(),
        }
    }
}

impl Drop for CallerRequestGuard {
    fn drop(&mut self) {
        let count = &self.gateway.state.in_flight;
        count.set(count.get().saturating_sub(1));
    }
}
