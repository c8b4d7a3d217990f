//! Model of an engine with continuous batching, chunked prefill and a prefix cache
//! that evicts the least recently used sessions.

use std::collections::{BTreeMap, HashMap};

use ibisdale_policy::{SessionId, SharedPrefix};

/// Timing and capacity of an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineSpec {
    pub(crate) step_base_us: f64,
    pub(crate) step_per_call_us: f64,
    pub(crate) prefill_token_us: f64,
    /// Maximum number of prompt tokens computed in one step, over all calls.
    pub(crate) step_prefill_tokens: u32,
    /// Maximum number of calls in the batch.
    pub(crate) running_limit: u32,
    pub(crate) kv_capacity_tokens: u64,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            step_base_us: 12_000.0,
            step_per_call_us: 300.0,
            prefill_token_us: 100.0,
            step_prefill_tokens: 512,
            running_limit: 32,
            kv_capacity_tokens: 160_000,
        }
    }
}

impl EngineSpec {
    /// Returns the service time of a call that is alone in the batch.
    pub(crate) fn unbatched_us(&self, new_tokens: u32, output_tokens: u32) -> u64 {
        let decode = f64::from(output_tokens) * (self.step_base_us + self.step_per_call_us);
        (f64::from(new_tokens) * self.prefill_token_us + decode) as u64
    }

    /// Returns the engine time attributed to a call in a full batch.
    pub(crate) fn batched_us(&self, new_tokens: u32, output_tokens: u32) -> f64 {
        let per_token = self.step_base_us / f64::from(self.running_limit) + self.step_per_call_us;
        f64::from(new_tokens) * self.prefill_token_us + f64::from(output_tokens) * per_token
    }
}

/// A call as sent to an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineCall {
    pub(crate) call: usize,
    pub(crate) attempt: u32,
    pub(crate) prefixes: Vec<SharedPrefix>,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    /// Prompt tokens that some engine has already computed.
    pub(crate) reusable_tokens: u32,
    /// Queued calls with lower values start first.
    pub(crate) priority: u8,
}

/// A call in the batch.
#[derive(Clone, Debug)]
struct RunningCall {
    input: EngineCall,
    cached_tokens: u32,
    remaining_prefill: u32,
    remaining_output: u32,
    /// KV cache that the call occupies, without blocks of other sessions.
    kv_tokens: u64,
}

/// Cached context of a session.
#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    /// Length of the cached prefix.
    tokens: u32,
    /// KV cache attributed to the entry; zero if its blocks belong to another entry.
    kv_tokens: u64,
    last_used: u64,
}

/// Calls and sessions whose state a step changed.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepOutcome {
    /// Calls that produced their first token, with the attempt.
    pub(crate) first_tokens: Vec<(usize, u32)>,
    pub(crate) completed: Vec<CompletedCall>,
    pub(crate) evicted: Vec<SessionId>,
}

/// A call that an engine completed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompletedCall {
    pub(crate) call: usize,
    pub(crate) attempt: u32,
    pub(crate) session: SessionId,
    pub(crate) cached_tokens: u32,
    pub(crate) context_tokens: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Engine {
    spec: EngineSpec,
    /// Queued calls by priority, then arrival.
    waiting: BTreeMap<(u8, u64), EngineCall>,
    running: Vec<RunningCall>,
    cache: HashMap<SessionId, CacheEntry>,
    /// Cached sessions by last use, the least recently used first.
    recency: BTreeMap<u64, SessionId>,
    /// Logical clock that orders arrivals and cache uses.
    clock: u64,
    /// Tokens of the KV cache that running calls and cached sessions occupy.
    kv_tokens: u64,
    pub(crate) slow_factor: f64,
    pub(crate) is_dead: bool,
    pub(crate) is_stepping: bool,
    /// Incremented when the engine dies, so that the end of a step in progress is
    /// ignored.
    pub(crate) epoch: u64,
    /// Prompt tokens recomputed although some engine had already computed them.
    pub(crate) wasted_tokens: u64,
    /// Prompt tokens computed.
    pub(crate) computed_tokens: u64,
}

impl Engine {
    pub(crate) fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            recency: BTreeMap::new(),
            clock: 0,
            kv_tokens: 0,
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
        (self.kv_tokens * 1_000 / self.spec.kv_capacity_tokens).min(1_000) as u16
    }

    pub(crate) fn enqueue(&mut self, call: EngineCall) {
        self.clock += 1;
        self.waiting.insert((call.priority, self.clock), call);
    }

    /// Kills the engine, empties its cache and returns the calls that it loses.
    pub(crate) fn kill(&mut self) -> Vec<(usize, u32)> {
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let running = std::mem::take(&mut self.running).into_iter();
        let lost = waiting
            .chain(running.map(|call| call.input))
            .map(|input| (input.call, input.attempt))
            .collect();
        self.cache.clear();
        self.recency.clear();
        self.kv_tokens = 0;
        self.is_dead = true;
        self.is_stepping = false;
        self.epoch += 1;
        lost
    }

    /// Begins a step and returns its duration, or `None` if there is no call to run.
    pub(crate) fn begin_step(&mut self, outcome: &mut StepOutcome) -> Option<u64> {
        self.fill_batch(outcome);
        if self.running.is_empty() {
            return None;
        }
        let mut budget = self.spec.step_prefill_tokens;
        let mut prefilled = 0;
        for call in &self.running {
            let tokens = call.remaining_prefill.min(budget);
            budget -= tokens;
            prefilled += tokens;
        }
        let batch_size = self.running.len() as f64;
        let step_us = self.spec.step_base_us
            + self.spec.step_per_call_us * batch_size
            + self.spec.prefill_token_us * f64::from(prefilled);
        Some((step_us * self.slow_factor) as u64)
    }

    /// Applies the results of the step in progress.
    pub(crate) fn end_step(&mut self, outcome: &mut StepOutcome) {
        let mut budget = self.spec.step_prefill_tokens;
        for call in &mut self.running {
            let is_prefilling = call.remaining_prefill > 0;
            let tokens = call.remaining_prefill.min(budget);
            budget -= tokens;
            call.remaining_prefill -= tokens;
            if call.remaining_prefill > 0 {
                continue;
            }
            if is_prefilling {
                let input = &call.input;
                outcome.first_tokens.push((input.call, input.attempt));
            }
            call.remaining_output -= 1;
        }
        let (completed, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|call| call.remaining_prefill == 0 && call.remaining_output == 0);
        self.running = running;
        for call in completed {
            self.complete_call(&call, outcome);
        }
    }

    /// Starts queued calls while the batch and the KV cache have room for them.
    fn fill_batch(&mut self, outcome: &mut StepOutcome) {
        while self.running.len() < self.spec.running_limit as usize {
            let Some((key, call)) = self.waiting.first_key_value() else {
                return;
            };
            let needed = u64::from(call.prompt_tokens + call.output_tokens);
            let running_kv_tokens: u64 = self.running.iter().map(|call| call.kv_tokens).sum();
            if !self.running.is_empty() && running_kv_tokens + needed > self.spec.kv_capacity_tokens
            {
                return;
            }
            let key = *key;
            if let Some(call) = self.waiting.remove(&key) {
                self.start_call(call, outcome);
            }
        }
    }

    fn start_call(&mut self, input: EngineCall, outcome: &mut StepOutcome) {
        let cached = self.lookup_cached(&input.prefixes);
        let session = input.prefixes[0].session;
        self.remove_entry(session);
        let prefill = (input.prompt_tokens - cached).max(1);
        self.wasted_tokens += u64::from(input.reusable_tokens.saturating_sub(cached));
        self.computed_tokens += u64::from(prefill);
        // If the matched prefix is within that of the call's own session, its KV tokens
        // count as the call's. A longer match stays attributed to another session's entry.
        let shared = if input.prefixes[0].tokens >= cached {
            0
        } else {
            cached
        };
        let kv_tokens = u64::from(input.prompt_tokens + input.output_tokens - shared);
        self.kv_tokens += kv_tokens;
        self.running.push(RunningCall {
            cached_tokens: cached,
            remaining_prefill: prefill,
            remaining_output: input.output_tokens.max(1),
            kv_tokens,
            input,
        });
        self.evict_to_capacity(outcome);
    }

    fn complete_call(&mut self, call: &RunningCall, outcome: &mut StepOutcome) {
        let input = &call.input;
        let context_tokens = input.prompt_tokens + input.output_tokens;
        let session = input.prefixes[0].session;
        self.kv_tokens -= call.kv_tokens;
        self.insert_entry(session, context_tokens, call.kv_tokens);
        for prefix in &input.prefixes[1..] {
            let cached_tokens = self
                .cache
                .get(&prefix.session)
                .map_or(0, |entry| entry.tokens);
            if cached_tokens < prefix.tokens {
                // The blocks are attributed to the entry of the call's own session.
                self.insert_entry(prefix.session, prefix.tokens, 0);
            }
        }
        outcome.completed.push(CompletedCall {
            call: input.call,
            attempt: input.attempt,
            session,
            cached_tokens: call.cached_tokens,
            context_tokens,
        });
        self.evict_to_capacity(outcome);
    }

    /// Returns the length of the longest cached prefix and marks all matches as used.
    fn lookup_cached(&mut self, prefixes: &[SharedPrefix]) -> u32 {
        let mut longest = 0;
        for prefix in prefixes {
            if let Some(entry) = self.cache.get(&prefix.session) {
                longest = longest.max(entry.tokens.min(prefix.tokens));
                self.touch(prefix.session);
            }
        }
        longest
    }

    fn touch(&mut self, session: SessionId) {
        self.clock += 1;
        if let Some(entry) = self.cache.get_mut(&session) {
            self.recency.remove(&entry.last_used);
            entry.last_used = self.clock;
            self.recency.insert(self.clock, session);
        }
    }

    fn insert_entry(&mut self, session: SessionId, tokens: u32, kv_tokens: u64) {
        self.remove_entry(session);
        self.clock += 1;
        self.kv_tokens += kv_tokens;
        let last_used = self.clock;
        self.cache.insert(
            session,
            CacheEntry {
                tokens,
                kv_tokens,
                last_used,
            },
        );
        self.recency.insert(last_used, session);
    }

    fn remove_entry(&mut self, session: SessionId) {
        if let Some(entry) = self.cache.remove(&session) {
            self.recency.remove(&entry.last_used);
            self.kv_tokens -= entry.kv_tokens;
        }
    }

    /// Evicts the least recently used sessions until the KV cache fits its capacity.
    fn evict_to_capacity(&mut self, outcome: &mut StepOutcome) {
        while self.kv_tokens > self.spec.kv_capacity_tokens {
            let Some((_, session)) = self.recency.first_key_value() else {
                return;
            };
            let session = *session;
            self.remove_entry(session);
            outcome.evicted.push(session);
        }
    }
}
