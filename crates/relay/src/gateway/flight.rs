//! A request at a replica, counted until it ends.

use std::cell::Cell;

use super::state::Gateway;
use crate::decide::{CallOutcome, ReplicaKey};

/// Counts a request at a replica; dropping it ends the count.
pub(crate) struct ReplicaFlight {
    gateway: Gateway,
    replica: ReplicaKey,
    prompt_tokens: Cell<u64>,
    outcome: Cell<CallOutcome>,
}

impl ReplicaFlight {
    pub(crate) fn begin(gateway: &Gateway, replica: ReplicaKey, prompt_tokens: u64) -> Self {
        let mut replicas = gateway.state.replicas.borrow_mut();
        replicas.begin(replica, prompt_tokens);
        drop(replicas);
        Self {
            gateway: gateway.clone(),
            replica,
            prompt_tokens: Cell::new(prompt_tokens),
            outcome: Cell::new(CallOutcome::Unknown),
        }
    }

    pub(crate) fn replica(&self) -> ReplicaKey {
        self.replica
    }

    /// Notes that the prompt has been read: the first event has come.
    pub(crate) fn prompt_read(&self) {
        let tokens = self.prompt_tokens.take();
        let mut replicas = self.gateway.state.replicas.borrow_mut();
        replicas.finish_prefill(self.replica, tokens);
    }

    /// Ends the count with what the call tells of the replica.
    pub(crate) fn close(self, outcome: CallOutcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for ReplicaFlight {
    fn drop(&mut self) {
        self.prompt_read();
        let now_ms = self.gateway.now_ms();
        let mut replicas = self.gateway.state.replicas.borrow_mut();
        replicas.finish(self.replica, self.outcome.get(), now_ms);
    }
}

/// Counts a request of a caller; dropping it ends the count.
pub(crate) struct RequestCount {
    gateway: Gateway,
}

impl RequestCount {
    pub(crate) fn begin(gateway: &Gateway) -> Self {
        let count = &gateway.state.in_flight;
        count.set(count.get() + 1);
        Self {
            gateway: gateway.clone(),
        }
    }
}

impl Drop for RequestCount {
    fn drop(&mut self) {
        let count = &self.gateway.state.in_flight;
        count.set(count.get().saturating_sub(1));
    }
}
