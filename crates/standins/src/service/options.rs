//! Options, faults and counters of the order service.

use std::collections::BTreeMap;
use std::time::Duration;

/// A way in which the service fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceFault {
    /// Answers as it should.
    #[default]
    None,
    /// Executes, and answers after the given time.
    AnswerLate(Duration),
    /// Closes the connection without executing or answering.
    CloseBeforeAnswer,
    /// Executes, and closes the connection within the answer's body.
    CloseInBody,
    /// Executes, and answers with a body that is not JSON.
    Garbage,
    /// Neither executes nor answers, and keeps the connection open.
    Hang,
    /// Executes, and closes the connection without answering.
    LoseAnswer,
    /// Refuses with status 503 and says that nothing ran.
    Refuse,
}

/// Options of a [`ServiceServer`](crate::ServiceServer).
#[derive(Clone, Debug, Default)]
pub struct ServiceOptions {
    credential: Option<String>,
    fault: ServiceFault,
    capacity: u32,
}

impl ServiceOptions {
    /// Creates options of a service that asks for no credential and has no fault.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the credential that each request must carry.
    #[must_use]
    pub fn credential(mut self, credential: impl Into<String>) -> Self {
        self.credential = Some(credential.into());
        self
    }

    /// Sets the fault to start with.
    #[must_use]
    pub fn fault(mut self, fault: ServiceFault) -> Self {
        self.fault = fault;
        self
    }

    /// Sets the capacity that load reports state, in requests at once.
    #[must_use]
    pub fn capacity(mut self, capacity: u32) -> Self {
        self.capacity = capacity;
        self
    }

    /// Returns the credential that each request must carry.
    #[must_use]
    pub fn get_credential(&self) -> Option<&str> {
        self.credential.as_deref()
    }

    /// Returns the fault to start with.
    #[must_use]
    pub fn get_fault(&self) -> ServiceFault {
        self.fault
    }

    /// Returns the capacity that load reports state, in requests at once.
    #[must_use]
    pub fn get_capacity(&self) -> u32 {
        self.capacity
    }
}

/// What the service has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounters {
    /// Requests received, executed or not.
    pub requests: u64,
    /// Requests under way.
    pub running: u32,
    /// Executions by request, identified by `Idempotency-Key` or the body's
    /// `request_id`.
    pub executions: BTreeMap<String, u64>,
    /// Requests that carried a key other than the service's own credential.
    pub foreign_keys: u64,
}

impl ServiceCounters {
    /// Returns how often the request was executed.
    #[must_use]
    pub fn get_executions(&self, request: &str) -> u64 {
        self.executions.get(request).copied().unwrap_or(0)
    }

    /// Returns the most executions that any request had.
    #[must_use]
    pub fn get_most_executions(&self) -> u64 {
        self.executions.values().copied().max().unwrap_or(0)
    }
}
