//! Continuous batching: who computes what in each step.

use std::time::Duration;

use smol::channel::Sender;

use super::cache::{BLOCK_TOKENS, EvictedSession, PrefixCache};
use super::options::EngineOptions;

/// What a running call is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SequenceItem {
    /// The call is in the batch; so many prompt tokens were cached.
    Started { cached: u64 },
    /// The token at this index is generated.
    Token { index: usize },
    /// All tokens are generated.
    Finished,
}

/// A call that waits or runs.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) session: String,
    pub(crate) priority: i64,
    /// Blocks of the prompt and of the whole answer.
    pub(crate) blocks: Vec<u64>,
    /// Blocks of the prompt alone.
    pub(crate) prompt_blocks: Vec<u64>,
    pub(crate) prompt_tokens: u64,
    pub(crate) total_tokens: u64,
    /// Index of the next token.
    pub(crate) next_token: usize,
    /// Index after the last token.
    pub(crate) end_token: usize,
    pub(crate) sender: Sender<SequenceItem>,
}

impl Sequence {
    /// Returns the blocks that the prompt fills.
    fn get_full_blocks(&self) -> &[u64] {
        let tokens = usize::try_from(self.prompt_tokens).unwrap_or(usize::MAX);
        &self.prompt_blocks[..tokens / BLOCK_TOKENS]
    }
}

#[derive(Debug)]
struct RunningSequence {
    sequence: Sequence,
    prefill_left: u64,
    planned_prefill: u64,
    planned_token: bool,
}

/// What a step brought about.
#[derive(Debug, Default)]
pub(crate) struct StepOutcome {
    pub(crate) prefill_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) completion_tokens: u64,
    pub(crate) evicted: Vec<EvictedSession>,
    /// Sessions whose calls finished, with the tokens that they hold now.
    pub(crate) stored: Vec<(String, u64)>,
}

/// Calls that wait and calls that run.
#[derive(Debug, Default)]
pub(crate) struct BatchQueue {
    waiting: Vec<Sequence>,
    running: Vec<RunningSequence>,
}

impl BatchQueue {
    /// Adds a call behind those of its priority.
    pub(crate) fn push(&mut self, sequence: Sequence) {
        let is_before = |other: &Sequence| other.priority >= sequence.priority;
        let position = self.waiting.partition_point(is_before);
        self.waiting.insert(position, sequence);
    }

    pub(crate) fn count_waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn count_running(&self) -> usize {
        self.running.len()
    }

    /// Iterates over the sessions in the batch and the tokens that they hold.
    pub(crate) fn iter_running(&self) -> impl Iterator<Item = (&str, u64)> {
        let running = self.running.iter();
        running.map(|entry| (entry.sequence.session.as_str(), entry.sequence.total_tokens))
    }

    /// Removes the calls of a session and what they hold; their streams end
    /// early.
    pub(crate) fn remove_session(&mut self, session: &str, cache: &mut PrefixCache) {
        self.waiting.retain(|sequence| sequence.session != session);
        let is_released = |entry: &mut RunningSequence| entry.sequence.session == session;
        for entry in self.running.extract_if(.., is_released) {
            cache.drop_hold(&entry.sequence.blocks);
        }
    }

    /// Admits calls and plans a step; returns the time that it takes, or none
    /// when there is nothing to do.
    pub(crate) fn plan_step(
        &mut self,
        cache: &mut PrefixCache,
        options: &EngineOptions,
        outcome: &mut StepOutcome,
    ) -> Option<Duration> {
        self.waiting.retain(|sequence| !sequence.sender.is_closed());
        self.remove_cancelled(cache, outcome);
        self.admit(cache, options, outcome);
        if self.running.is_empty() {
            return None;
        }
        Some(self.plan_work(options))
    }

    /// Applies the planned step.
    pub(crate) fn commit_step(&mut self, cache: &mut PrefixCache, outcome: &mut StepOutcome) {
        for entry in &mut self.running {
            entry.commit(cache, outcome);
        }
        let is_finished = |entry: &mut RunningSequence| entry.is_finished();
        for entry in self.running.extract_if(.., is_finished) {
            let sequence = entry.sequence;
            cache.mark_computed(&sequence.blocks);
            cache.store_session(&sequence.session, sequence.blocks, sequence.total_tokens);
            outcome
                .stored
                .push((sequence.session, sequence.total_tokens));
            let _ = sequence.sender.try_send(SequenceItem::Finished);
        }
    }

    /// Removes calls whose callers are gone; a prompt that is computed stays
    /// in the cache.
    fn remove_cancelled(&mut self, cache: &mut PrefixCache, outcome: &mut StepOutcome) {
        let is_cancelled = |entry: &mut RunningSequence| entry.sequence.sender.is_closed();
        for entry in self.running.extract_if(.., is_cancelled) {
            let sequence = entry.sequence;
            let kept = sequence.get_full_blocks();
            if entry.prefill_left > 0 || kept.is_empty() {
                cache.drop_hold(&sequence.blocks);
                continue;
            }
            let tokens = (kept.len() * BLOCK_TOKENS) as u64;
            cache.drop_hold(&sequence.blocks[kept.len()..]);
            cache.store_session(&sequence.session, kept.to_vec(), tokens);
            outcome.stored.push((sequence.session, tokens));
        }
    }

    fn admit(
        &mut self,
        cache: &mut PrefixCache,
        options: &EngineOptions,
        outcome: &mut StepOutcome,
    ) {
        while self.running.len() < options.get_batch_max() && !self.waiting.is_empty() {
            let Ok(evicted) = cache.hold(&self.waiting[0].blocks) else {
                return;
            };
            outcome.evicted.extend(evicted);
            let sequence = self.waiting.remove(0);
            let computed = cache.count_computed(&sequence.prompt_blocks) * BLOCK_TOKENS;
            // The last token is always computed, to generate the next from it.
            let cached = (computed as u64).min(sequence.prompt_tokens.saturating_sub(1));
            outcome.cached_tokens += cached;
            let _ = sequence.sender.try_send(SequenceItem::Started { cached });
            self.running.push(RunningSequence {
                prefill_left: sequence.prompt_tokens - cached,
                sequence,
                planned_prefill: 0,
                planned_token: false,
            });
        }
    }

    fn plan_work(&mut self, options: &EngineOptions) -> Duration {
        let mut prefill_room = options.get_prefill_max();
        let mut prefilled = 0;
        let mut decoding = 0;
        for entry in &mut self.running {
            entry.planned_prefill = entry.prefill_left.min(prefill_room);
            prefill_room -= entry.planned_prefill;
            prefilled += entry.planned_prefill;
            entry.planned_token = entry.prefill_left == 0;
            decoding += u32::from(entry.planned_token);
        }
        let mut time = options.get_prefill_delay() * u32::try_from(prefilled).unwrap_or(u32::MAX);
        if decoding > 0 {
            time += options.get_token_delay() + options.get_batch_delay() * (decoding - 1);
        }
        time
    }
}

impl RunningSequence {
    fn commit(&mut self, cache: &mut PrefixCache, outcome: &mut StepOutcome) {
        if self.planned_prefill > 0 {
            outcome.prefill_tokens += self.planned_prefill;
            self.prefill_left -= self.planned_prefill;
            if self.prefill_left == 0 {
                cache.mark_computed(self.sequence.get_full_blocks());
            }
        }
        if self.planned_token && self.sequence.next_token < self.sequence.end_token {
            let index = self.sequence.next_token;
            let _ = self.sequence.sender.try_send(SequenceItem::Token { index });
            self.sequence.next_token += 1;
            outcome.completion_tokens += 1;
        }
        self.planned_prefill = 0;
        self.planned_token = false;
    }

    fn is_finished(&self) -> bool {
        self.prefill_left == 0 && self.sequence.next_token >= self.sequence.end_token
    }
}
