//! Options, faults and counters of the engine.

use std::time::Duration;

/// A way in which the engine fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    /// Answers as it should.
    #[default]
    None,
    /// Closes the connection before the answer's head.
    CloseBeforeAnswer,
    /// Closes the connection after the given number of tokens.
    CloseAfter(u32),
    /// Sends a chunk that is not JSON after the given number of tokens.
    GarbageAfter(u32),
    /// Sends nothing more after the given number of tokens.
    StallAfter(u32),
    /// Ends the answer as whole, without `[DONE]`, after the given number of
    /// tokens.
    EndWithoutDone(u32),
    /// Refuses chat calls with status 503.
    Refuse,
}

/// Options of an [`EngineServer`](crate::EngineServer).
#[derive(Clone, Debug)]
pub struct EngineOptions {
    models: Vec<String>,
    credential: Option<String>,
    token_delay: Duration,
    checks_fencing: bool,
    fault: EngineFault,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineOptions {
    /// Creates options of an engine that serves any model at once, asks for no
    /// credential, checks fencing numbers and has no fault.
    #[must_use]
    pub fn new() -> Self {
        Self {
            models: Vec::new(),
            credential: None,
            token_delay: Duration::ZERO,
            checks_fencing: true,
            fault: EngineFault::None,
        }
    }

    /// Adds a model; an engine without one serves any.
    #[must_use]
    pub fn model(mut self, model: impl Into<String>) -> Self {
        self.models.push(model.into());
        self
    }

    /// Sets the credential that each request must carry.
    #[must_use]
    pub fn credential(mut self, credential: impl Into<String>) -> Self {
        self.credential = Some(credential.into());
        self
    }

    /// Sets the time that each generated token takes.
    #[must_use]
    pub fn token_delay(mut self, delay: Duration) -> Self {
        self.token_delay = delay;
        self
    }

    /// Sets whether orders with an old fencing number are refused.
    #[must_use]
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }

    /// Sets the fault to start with.
    #[must_use]
    pub fn fault(mut self, fault: EngineFault) -> Self {
        self.fault = fault;
        self
    }

    /// Returns the models served; none means any.
    #[must_use]
    pub fn get_models(&self) -> &[String] {
        &self.models
    }

    /// Returns the credential that each request must carry.
    #[must_use]
    pub fn get_credential(&self) -> Option<&str> {
        self.credential.as_deref()
    }

    /// Returns the time that each generated token takes.
    #[must_use]
    pub fn get_token_delay(&self) -> Duration {
        self.token_delay
    }

    /// Tells whether orders with an old fencing number are refused.
    #[must_use]
    pub fn is_checking_fencing(&self) -> bool {
        self.checks_fencing
    }

    /// Returns the fault to start with.
    #[must_use]
    pub fn get_fault(&self) -> EngineFault {
        self.fault
    }
}

/// What the engine has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Chat calls accepted.
    pub chats: u64,
    /// Chat calls answered whole.
    pub finished: u64,
    /// Chat calls given up by the caller, or cut by a fault.
    pub cancelled: u64,
    /// Chat calls under way.
    pub running: u64,
    /// Prompt tokens computed, not found in the cache.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Sessions released by order.
    pub releases: u64,
    /// Orders and calls refused for an old fencing number.
    pub stale_orders: u64,
    /// Requests that carried a key other than the engine's own credential.
    pub foreign_keys: u64,
}
