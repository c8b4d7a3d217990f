//! Cost model of an engine: continuous batching, chunked prefill and a prefix
//! cache that evicts the sessions not used for longest.

use std::collections::{BTreeMap, HashMap};

use ibisdale_policy::{SessionId, SharedPrefix};

/// Speeds and sizes of an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineModel {
    pub(crate) step_base_us: f64,
    pub(crate) step_per_call_us: f64,
    pub(crate) prefill_token_us: f64,
    /// Prompt tokens computed in one step at most.
    pub(crate) step_prefill_tokens: u32,
    pub(crate) running_limit: u32,
    pub(crate) kv_tokens: u64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            step_base_us: 12_000.0,
            step_per_call_us: 300.0,
            prefill_token_us: 100.0,
            step_prefill_tokens: 512,
            running_limit: 32,
            kv_tokens: 160_000,
        }
    }
}

impl EngineModel {
    /// Returns the time of a call that has an engine to itself.
    pub(crate) fn alone_us(&self, new_tokens: u32, output_tokens: u32) -> u64 {
        let decode = f64::from(output_tokens) * (self.step_base_us + self.step_per_call_us);
        (f64::from(new_tokens) * self.prefill_token_us + decode) as u64
    }

    /// Returns the part of an engine's time that a call takes in a full batch.
    pub(crate) fn batched_us(&self, new_tokens: u32, output_tokens: u32) -> f64 {
        let per_token = self.step_base_us / f64::from(self.running_limit) + self.step_per_call_us;
        f64::from(new_tokens) * self.prefill_token_us + f64::from(output_tokens) * per_token
    }
}

/// A call at an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineCall {
    pub(crate) call: usize,
    pub(crate) attempt: u32,
    pub(crate) claims: Vec<SharedPrefix>,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    /// Prompt tokens that some engine had computed before.
    pub(crate) reusable_tokens: u32,
    pub(crate) priority: u8,
}

#[derive(Clone, Debug)]
struct RunningCall {
    input: EngineCall,
    cached_tokens: u32,
    prefill_left: u32,
    output_left: u32,
    memory: u64,
}

#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    tokens: u32,
    memory: u64,
    used: u64,
}

/// What a step brought about.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepOutcome {
    pub(crate) first_tokens: Vec<(usize, u32)>,
    pub(crate) ended: Vec<EndedCall>,
    pub(crate) evicted: Vec<SessionId>,
}

/// A call that an engine has answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedCall {
    pub(crate) call: usize,
    pub(crate) attempt: u32,
    pub(crate) session: SessionId,
    pub(crate) cached_tokens: u32,
    pub(crate) context_tokens: u32,
}

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct EnginePool {
    model: EngineModel,
    waiting: BTreeMap<(u8, u64), EngineCall>,
    running: Vec<RunningCall>,
    cache: HashMap<SessionId, CacheEntry>,
    recency: BTreeMap<u64, SessionId>,
    clock: u64,
    memory: u64,
    pub(crate) slow_factor: f64,
    pub(crate) is_dead: bool,
    pub(crate) is_stepping: bool,
    /// Raised when the engine dies, so that its steps under way count for nothing.
    pub(crate) epoch: u64,
    pub(crate) wasted_tokens: u64,
    pub(crate) computed_tokens: u64,
}

impl EnginePool {
    pub(crate) fn new(model: EngineModel) -> Self {
        Self {
            model,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            recency: BTreeMap::new(),
            clock: 0,
            memory: 0,
            slow_factor: 1.0,
            is_dead: false,
            is_stepping: false,
            epoch: 0,
            wasted_tokens: 0,
            computed_tokens: 0,
        }
    }

    pub(crate) fn queue_length(&self) -> u32 {
        self.waiting.len() as u32
    }

    pub(crate) fn running(&self) -> u32 {
        self.running.len() as u32
    }

    pub(crate) fn kv_use_permille(&self) -> u16 {
        (self.memory * 1_000 / self.model.kv_tokens).min(1_000) as u16
    }

    pub(crate) fn accept(&mut self, call: EngineCall) {
        self.clock += 1;
        self.waiting.insert((call.priority, self.clock), call);
    }

    /// Ends the engine and returns the calls it loses.
    pub(crate) fn kill(&mut self) -> Vec<(usize, u32)> {
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let running = std::mem::take(&mut self.running).into_iter();
        let lost = waiting
            .chain(running.map(|call| call.input))
            .map(|input| (input.call, input.attempt))
            .collect();
        self.cache.clear();
        self.recency.clear();
        self.memory = 0;
        self.is_dead = true;
        self.is_stepping = false;
        self.epoch += 1;
        lost
    }

    /// Begins a step and returns its length, unless there is nothing to do.
    pub(crate) fn begin_step(&mut self, outcome: &mut StepOutcome) -> Option<u64> {
        self.start_waiting(outcome);
        if self.running.is_empty() {
            return None;
        }
        let mut budget = self.model.step_prefill_tokens;
        let mut prefilled = 0;
        for call in &self.running {
            let tokens = call.prefill_left.min(budget);
            budget -= tokens;
            prefilled += tokens;
        }
        let decoding = self.running.len() as f64;
        let micros = self.model.step_base_us
            + self.model.step_per_call_us * decoding
            + self.model.prefill_token_us * f64::from(prefilled);
        Some((micros * self.slow_factor) as u64)
    }

    /// Applies the step that has ended.
    pub(crate) fn end_step(&mut self, outcome: &mut StepOutcome) {
        let mut budget = self.model.step_prefill_tokens;
        for call in &mut self.running {
            let is_prefilling = call.prefill_left > 0;
            let tokens = call.prefill_left.min(budget);
            budget -= tokens;
            call.prefill_left -= tokens;
            if call.prefill_left > 0 {
                continue;
            }
            if is_prefilling {
                let input = &call.input;
                outcome.first_tokens.push((input.call, input.attempt));
            }
            call.output_left -= 1;
        }
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|call| call.prefill_left == 0 && call.output_left == 0);
        self.running = running;
        for call in ended {
            self.end_call(&call, outcome);
        }
    }

    fn start_waiting(&mut self, outcome: &mut StepOutcome) {
        while self.running.len() < self.model.running_limit as usize {
            let Some((key, call)) = self.waiting.first_key_value() else {
                return;
            };
            let needed = u64::from(call.prompt_tokens + call.output_tokens);
            let running: u64 = self.running.iter().map(|call| call.memory).sum();
            if !self.running.is_empty() && running + needed > self.model.kv_tokens {
                return;
            }
            let key = *key;
            if let Some(call) = self.waiting.remove(&key) {
                self.start_call(call, outcome);
            }
        }
    }

    fn start_call(&mut self, input: EngineCall, outcome: &mut StepOutcome) {
        let cached = self.find_cached(&input.claims);
        let own = input.claims[0].session;
        self.drop_entry(own);
        let prefill = (input.prompt_tokens - cached).max(1);
        self.wasted_tokens += u64::from(input.reusable_tokens.saturating_sub(cached));
        self.computed_tokens += u64::from(prefill);
        let shared = if input.claims[0].tokens >= cached {
            0
        } else {
            cached
        };
        let memory = u64::from(input.prompt_tokens + input.output_tokens - shared);
        self.memory += memory;
        self.running.push(RunningCall {
            cached_tokens: cached,
            prefill_left: prefill,
            output_left: input.output_tokens.max(1),
            memory,
            input,
        });
        self.shrink(outcome);
    }

    fn end_call(&mut self, call: &RunningCall, outcome: &mut StepOutcome) {
        let input = &call.input;
        let context_tokens = input.prompt_tokens + input.output_tokens;
        let session = input.claims[0].session;
        self.memory -= call.memory;
        self.insert_entry(session, context_tokens, call.memory);
        for claim in &input.claims[1..] {
            let known = self
                .cache
                .get(&claim.session)
                .map_or(0, |entry| entry.tokens);
            if known < claim.tokens {
                // The blocks are those of the own session and held once.
                self.insert_entry(claim.session, claim.tokens, 0);
            }
        }
        outcome.ended.push(EndedCall {
            call: input.call,
            attempt: input.attempt,
            session,
            cached_tokens: call.cached_tokens,
            context_tokens,
        });
        self.shrink(outcome);
    }

    fn find_cached(&mut self, claims: &[SharedPrefix]) -> u32 {
        let mut longest = 0;
        for claim in claims {
            if let Some(entry) = self.cache.get(&claim.session) {
                longest = longest.max(entry.tokens.min(claim.tokens));
                self.touch(claim.session);
            }
        }
        longest
    }

    fn touch(&mut self, session: SessionId) {
        self.clock += 1;
        if let Some(entry) = self.cache.get_mut(&session) {
            self.recency.remove(&entry.used);
            entry.used = self.clock;
            self.recency.insert(self.clock, session);
        }
    }

    fn insert_entry(&mut self, session: SessionId, tokens: u32, memory: u64) {
        self.drop_entry(session);
        self.clock += 1;
        self.memory += memory;
        let used = self.clock;
        self.cache.insert(
            session,
            CacheEntry {
                tokens,
                memory,
                used,
            },
        );
        self.recency.insert(used, session);
    }

    fn drop_entry(&mut self, session: SessionId) {
        if let Some(entry) = self.cache.remove(&session) {
            self.recency.remove(&entry.used);
            self.memory -= entry.memory;
        }
    }

    fn shrink(&mut self, outcome: &mut StepOutcome) {
        while self.memory > self.model.kv_tokens {
            let Some((_, session)) = self.recency.first_key_value() else {
                return;
            };
            let session = *session;
            self.drop_entry(session);
            outcome.evicted.push(session);
        }
    }
}
