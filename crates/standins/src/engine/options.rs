//! Options, faults and counters of the engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Calls in the batch at most, by default.
const BATCH_MAX: usize = 64;
/// Calls that may wait, by default.
const QUEUE_MAX: usize = 1_024;
/// Tokens that the cache holds by default.
const CACHE_TOKENS: u64 = 4 * 1_024 * 1_024;
/// Prompt tokens computed in a step at most, by default.
const PREFILL_MAX: u64 = 2_048;

/// What an engine does of the calls it gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Computes prompts and generates.
    #[default]
    Mixed,
    /// Computes prompts and generates one token, for another to go on.
    Prefill,
    /// Generates from prompts computed elsewhere.
    Decode,
}

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
    checks_fencing: bool,
    token_delay: Duration,
    batch_delay: Duration,
    prefill_delay: Duration,
    prefill_max: u64,
    batch_max: usize,
    queue_max: usize,
    cache_tokens: u64,
    event_delay: Duration,
    event_loss_interval: u64,
    load_lag: Duration,
    load_model_delay: Duration,
    transfer_delay: Duration,
    time_scale: f64,
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
            checks_fencing: true,
            token_delay: Duration::ZERO,
            batch_delay: Duration::ZERO,
            prefill_delay: Duration::ZERO,
            prefill_max: PREFILL_MAX,
            batch_max: BATCH_MAX,
            queue_max: QUEUE_MAX,
            cache_tokens: CACHE_TOKENS,
            event_delay: Duration::ZERO,
            event_loss_interval: 0,
            load_lag: Duration::ZERO,
            load_model_delay: Duration::ZERO,
            transfer_delay: Duration::ZERO,
            time_scale: 1.0,
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

    /// Sets whether orders with an old fencing number are refused.
    #[must_use]
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }

    /// Sets the time of a step in which one call generates a token.
    #[must_use]
    pub fn token_delay(mut self, delay: Duration) -> Self {
        self.token_delay = delay;
        self
    }

    /// Sets the time that each further call generating a token adds to a step.
    #[must_use]
    pub fn batch_delay(mut self, delay: Duration) -> Self {
        self.batch_delay = delay;
        self
    }

    /// Sets the time that each prompt token adds to a step.
    #[must_use]
    pub fn prefill_delay(mut self, delay: Duration) -> Self {
        self.prefill_delay = delay;
        self
    }

    /// Sets the prompt tokens computed in a step at most.
    #[must_use]
    pub fn prefill_max(mut self, tokens: u64) -> Self {
        self.prefill_max = tokens;
        self
    }

    /// Sets the calls in the batch at most.
    #[must_use]
    pub fn batch_max(mut self, calls: usize) -> Self {
        self.batch_max = calls;
        self
    }

    /// Sets the calls that may wait; further ones are refused.
    #[must_use]
    pub fn queue_max(mut self, calls: usize) -> Self {
        self.queue_max = calls;
        self
    }

    /// Sets the tokens that the cache holds.
    #[must_use]
    pub fn cache_tokens(mut self, tokens: u64) -> Self {
        self.cache_tokens = tokens;
        self
    }

    /// Sets the time after which cache events are seen.
    #[must_use]
    pub fn event_delay(mut self, delay: Duration) -> Self {
        self.event_delay = delay;
        self
    }

    /// Sets which cache events are lost: those whose number is a multiple; zero loses none.
    #[must_use]
    pub fn event_loss_interval(mut self, interval: u64) -> Self {
        self.event_loss_interval = interval;
        self
    }

    /// Sets the time that load reports lag behind.
    #[must_use]
    pub fn load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }

    /// Sets the time that loading a model takes.
    #[must_use]
    pub fn load_model_delay(mut self, delay: Duration) -> Self {
        self.load_model_delay = delay;
        self
    }

    /// Sets the time that exporting or importing a token takes.
    #[must_use]
    pub fn transfer_delay(mut self, delay: Duration) -> Self {
        self.transfer_delay = delay;
        self
    }

    /// Sets the factor on all times above; below one runs faster.
    #[must_use]
    pub fn time_scale(mut self, scale: f64) -> Self {
        self.time_scale = scale;
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

    /// Tells whether orders with an old fencing number are refused.
    #[must_use]
    pub fn is_checking_fencing(&self) -> bool {
        self.checks_fencing
    }

    /// Returns the time of a step in which one call generates a token.
    #[must_use]
    pub fn get_token_delay(&self) -> Duration {
        self.token_delay
    }

    /// Returns the time that each further call generating a token adds to a step.
    #[must_use]
    pub fn get_batch_delay(&self) -> Duration {
        self.batch_delay
    }

    /// Returns the time that each prompt token adds to a step.
    #[must_use]
    pub fn get_prefill_delay(&self) -> Duration {
        self.prefill_delay
    }

    /// Returns the prompt tokens computed in a step at most.
    #[must_use]
    pub fn get_prefill_max(&self) -> u64 {
        self.prefill_max
    }

    /// Returns the calls in the batch at most.
    #[must_use]
    pub fn get_batch_max(&self) -> usize {
        self.batch_max
    }

    /// Returns the calls that may wait; further ones are refused.
    #[must_use]
    pub fn get_queue_max(&self) -> usize {
        self.queue_max
    }

    /// Returns the tokens that the cache holds.
    #[must_use]
    pub fn get_cache_tokens(&self) -> u64 {
        self.cache_tokens
    }

    /// Returns the time after which cache events are seen.
    #[must_use]
    pub fn get_event_delay(&self) -> Duration {
        self.event_delay
    }

    /// Returns which cache events are lost: those whose number is a multiple; zero loses none.
    #[must_use]
    pub fn get_event_loss_interval(&self) -> u64 {
        self.event_loss_interval
    }

    /// Returns the time that load reports lag behind.
    #[must_use]
    pub fn get_load_lag(&self) -> Duration {
        self.load_lag
    }

    /// Returns the time that loading a model takes.
    #[must_use]
    pub fn get_load_model_delay(&self) -> Duration {
        self.load_model_delay
    }

    /// Returns the time that exporting or importing a token takes.
    #[must_use]
    pub fn get_transfer_delay(&self) -> Duration {
        self.transfer_delay
    }

    /// Returns the factor on all times above; below one runs faster.
    #[must_use]
    pub fn get_time_scale(&self) -> f64 {
        self.time_scale
    }

    /// Returns the fault to start with.
    #[must_use]
    pub fn get_fault(&self) -> EngineFault {
        self.fault
    }

    /// Returns a duration after the time scale.
    pub(crate) fn scale(&self, time: Duration) -> Duration {
        time.mul_f64(self.time_scale.max(0.0))
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
    /// Chat calls under way, those that wait included.
    pub running: u64,
    /// Chat calls refused because too many wait.
    pub refused: u64,
    /// Chat calls that went on with an answer begun before.
    pub resumed: u64,
    /// Steps of the batch.
    pub steps: u64,
    /// Prompt tokens computed, not found in the cache.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Sessions evicted for want of room.
    pub evictions: u64,
    /// Sessions released by order.
    pub releases: u64,
    /// Sessions exported.
    pub exports: u64,
    /// Sessions imported.
    pub imports: u64,
    /// Orders about models and roles that were carried out.
    pub orders: u64,
    /// Orders and calls refused for an old fencing number.
    pub stale_orders: u64,
    /// Requests that carried a key other than the engine's own credential.
    pub foreign_keys: u64,
}
