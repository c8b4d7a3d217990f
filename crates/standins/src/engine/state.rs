//! Sessions, counters and cache events of the engine.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use super::options::{EngineCounters, EngineFault, EngineOptions};

/// Cache events kept for readers.
const EVENTS_KEPT: usize = 1_024;

/// What the engine holds for one session.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SessionBody {
    pub(crate) session: String,
    pub(crate) tokens: u64,
    pub(crate) fencing_number: u64,
}

/// A change of the cache.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEventBody {
    pub(crate) number: u64,
    pub(crate) kind: &'static str,
    pub(crate) session: String,
    pub(crate) tokens: u64,
}

/// The engine's state, behind one lock.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) options: EngineOptions,
    pub(crate) fault: EngineFault,
    pub(crate) counters: EngineCounters,
    sessions: BTreeMap<String, u64>,
    fences: BTreeMap<String, u64>,
    events: VecDeque<CacheEventBody>,
    last_event: u64,
}

/// An order or call came with an older fencing number than one before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StaleFence {
    pub(crate) current: u64,
}

impl EngineState {
    pub(crate) fn new(options: EngineOptions) -> Self {
        Self {
            fault: options.get_fault(),
            options,
            counters: EngineCounters::default(),
            sessions: BTreeMap::new(),
            fences: BTreeMap::new(),
            events: VecDeque::new(),
            last_event: 0,
        }
    }

    /// Accepts a fencing number for a session, or refuses an older one.
    pub(crate) fn check_fence(&mut self, session: &str, number: u64) -> Result<(), StaleFence> {
        let current = self.fences.entry(session.to_owned()).or_default();
        if number < *current && self.options.is_checking_fencing() {
            self.counters.stale_orders += 1;
            return Err(StaleFence { current: *current });
        }
        *current = number.max(*current);
        Ok(())
    }

    /// Takes a prompt into a session's cache and returns the tokens that were
    /// there already.
    pub(crate) fn take_prompt(&mut self, session: &str, tokens: u64) -> u64 {
        let held = self.sessions.entry(session.to_owned()).or_default();
        let cached = (*held).min(tokens);
        *held = tokens;
        self.counters.cached_tokens += cached;
        self.counters.prefill_tokens += tokens - cached;
        self.push_event("stored", session, tokens);
        cached
    }

    /// Releases a session; tells whether anything was held.
    pub(crate) fn release(&mut self, session: &str) -> bool {
        let Some(tokens) = self.sessions.remove(session) else {
            return false;
        };
        self.counters.releases += 1;
        self.push_event("removed", session, tokens);
        true
    }

    /// Returns the sessions that hold memory.
    pub(crate) fn list_sessions(&self) -> Vec<SessionBody> {
        let sessions = self.sessions.iter();
        sessions
            .map(|(session, tokens)| SessionBody {
                session: session.clone(),
                tokens: *tokens,
                fencing_number: self.fences.get(session).copied().unwrap_or(0),
            })
            .collect()
    }

    /// Returns the tokens held for all sessions.
    pub(crate) fn held_tokens(&self) -> u64 {
        self.sessions.values().sum()
    }

    /// Returns the cache events after `number` and the last number given out.
    pub(crate) fn events_after(&self, number: u64) -> (Vec<CacheEventBody>, u64) {
        let events = self.events.iter().filter(|event| event.number > number);
        (events.cloned().collect(), self.last_event)
    }

    fn push_event(&mut self, kind: &'static str, session: &str, tokens: u64) {
        self.last_event += 1;
        self.events.push_back(CacheEventBody {
            number: self.last_event,
            kind,
            session: session.to_owned(),
            tokens,
        });
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
